#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/version/tanagerstall_host_name.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

tl::unexpected<PlanError>
Invalid(std::string aMessage)
{
  return tl::make_unexpected(PlanError{ std::move(aMessage) });
}

} // namespace

tl::expected<void, PlanError>
TrafficPlan::CheckRoute(const Route& aRoute) const
{
  const std::string where = "route \"" + aRoute.name_ + "\": ";
  if (aRoute.pathPrefix_.empty() || aRoute.pathPrefix_.front() != '/' ||
      aRoute.pathPrefix_.back() != '/') {
    return Invalid(where + "the path prefix must begin and end with a slash");
  }
  if (aRoute.timeout_ <= Milliseconds::zero()) {
    return Invalid(where + "the timeout must be above 0");
  }
  std::uint64_t weights = 0;
  for (const auto& target : aRoute.services_) {
    if (!services_.contains(target.service_)) {
      return Invalid(where + "unknown service \"" + target.service_ + "\"");
    }
    weights += target.weight_;
  }
  if (weights == 0) {
    return Invalid(where + "the weights of the services add up to 0");
  }
  return {};
}

tl::expected<void, PlanError>
TrafficPlan::ValidateAndIndex()
{
  return IndexRoutes().and_then([this] { return IndexKeys(); });
}

tl::expected<void, PlanError>
TrafficPlan::IndexRoutes()
{
  byHost_.clear();
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    if (auto checked = CheckRoute(routes_[i]); !checked) {
      return checked;
    }
    byHost_[NormalizeHost(routes_[i].host_)].push_back(i);
  }
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(
      routes.begin(), routes.end(), [&](std::size_t aLeft, std::size_t aRight) {
        const auto& left = routes_[aLeft].pathPrefix_;
        const auto& right = routes_[aRight].pathPrefix_;
        return left.size() != right.size() ? left.size() > right.size()
                                           : left < right;
      });
    auto same = std::adjacent_find(
      routes.begin(), routes.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return routes_[aLeft].pathPrefix_ == routes_[aRight].pathPrefix_;
      });
    if (same != routes.end()) {
      return Invalid("two routes share \"" + host + routes_[*same].pathPrefix_ +
                     "\"");
    }
  }
  return {};
}

tl::expected<void, PlanError>
TrafficPlan::IndexKeys()
{
  byKeyHash_.clear();
  if (!organisations_) {
    return {};
  }
  const auto& organisations = *organisations_;
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    for (const auto& hash : organisations[i].keyHashes_) {
      auto [it, isNew] = byKeyHash_.emplace(hash, i);
      if (!isNew && it->second != i) {
        return Invalid("two organisations share a key: \"" +
                       organisations[it->second].name_ + "\" and \"" +
                       organisations[i].name_ + "\"");
      }
    }
  }
  return {};
}

const Route*
TrafficPlan::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  auto it = byHost_.find(aHost);
  if (it == byHost_.end()) {
    return nullptr;
  }
  for (std::size_t index : it->second) {
    if (aPath.starts_with(routes_[index].pathPrefix_)) {
      return &routes_[index];
    }
  }
  return nullptr;
}

const PlanOrganisation*
TrafficPlan::FindOrganisation(std::string_view aKey) const
{
  if (aKey.empty()) {
    return nullptr;
  }
  auto it = byKeyHash_.find(Sha256Hex(aKey));
  return it == byKeyHash_.end() ? nullptr : &organisations_->at(it->second);
}

} // namespace tanagerstall
