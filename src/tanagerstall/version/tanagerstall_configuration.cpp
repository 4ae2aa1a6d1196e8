#include "tanagerstall/version/tanagerstall_configuration.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>

namespace tanagerstall {

RequestRule
ServiceRecord::RuleFor(std::string_view aMethod, std::string_view aPath) const
{
  for (const auto& rule : rules_) {
    bool isMethod = rule.method_ == "*" || rule.method_ == aMethod;
    if (isMethod && aPath.starts_with(rule.pathPrefix_)) {
      return rule;
    }
  }
  return {};
}

const OrganisationRecord*
Configuration::FindByToken(std::string_view aToken) const
{
  std::string hash = Sha256Hex(aToken);
  for (const auto& [name, organisation] : organisations_) {
    const auto& hashes = organisation.tokenHashes_;
    if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end()) {
      return &organisation;
    }
  }
  return nullptr;
}

} // namespace tanagerstall
