#include "tanagerstall/process/tanagerstall_member_directory.hpp"

#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <algorithm>

namespace tanagerstall {

void
MemberDirectory::Update(const Membership& aMembers, std::uint16_t aPort)
{
  addresses_.clear();
  for (const auto& member : aMembers) {
    if (auto address = ParseAddress(member.memberAddress_)) {
      addresses_.push_back(Address{ address->host_, aPort }.ToString());
    }
  }
}

void
MemberDirectory::RecordCapabilities(const std::string& aAddress,
                                    const MemberCapabilities& aCapabilities)
{
  capabilities_[aAddress] = aCapabilities;
}

DocumentEncoding
MemberDirectory::CommandEncoding() const
{
  return CanAll(&MemberCapabilities::readsCompressed_)
           ? DocumentEncoding::Compressed
           : DocumentEncoding::Plain;
}

bool
MemberDirectory::CanAllApplyRollouts() const
{
  return CanAll(&MemberCapabilities::appliesRollouts_);
}

bool
MemberDirectory::CanAllApplyNumberZero() const
{
  return CanAll(&MemberCapabilities::appliesNumberZero_);
}

bool
MemberDirectory::CanAll(bool MemberCapabilities::*aCapability) const
{
  return !addresses_.empty() &&
         std::all_of(
           addresses_.begin(), addresses_.end(), [&](const std::string& aIt) {
             auto it = capabilities_.find(aIt);
             return it != capabilities_.end() && it->second.*aCapability;
           });
}

} // namespace tanagerstall
