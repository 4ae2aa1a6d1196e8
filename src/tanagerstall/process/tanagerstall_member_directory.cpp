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
MemberDirectory::RecordCapability(const std::string& aAddress,
                                  bool aReadsCompressed)
{
  if (aReadsCompressed) {
    readCompressed_.insert(aAddress);
  } else {
    readCompressed_.erase(aAddress);
  }
}

DocumentEncoding
MemberDirectory::CommandEncoding() const
{
  bool canAllRead =
    !addresses_.empty() && std::all_of(addresses_.begin(),
                                       addresses_.end(),
                                       [this](const std::string& aIt) {
                                         return readCompressed_.contains(aIt);
                                       });
  return canAllRead ? DocumentEncoding::Compressed : DocumentEncoding::Plain;
}

} // namespace tanagerstall
