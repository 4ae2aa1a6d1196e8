#include "tanagerstall/version/tanagerstall_declaration_source.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The delay before requesting from a member, for each of its drawbacks. A
/// preferred member learns of a change within a few rounds of the Raft log.
constexpr Duration kDelayPerDrawback = std::chrono::milliseconds(250);
/// Another member is asked if a request takes longer than this; a megabyte over
/// a narrow link takes most of it.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1200);

/// How long a starting entry waits for a leader's number. The control
/// processes elect one within this time if they have a quorum.
constexpr Duration kConfirmationWait = std::chrono::seconds(3);

/// Counts the reasons against requesting from a member: being in another region
/// and being the leader.
int
CountDrawbacks(const DeclarationUpdate& aUpdate)
{
  return (aUpdate.isInOwnRegion_ ? 0 : 1) + (aUpdate.isLeader_ ? 1 : 0);
}

} // namespace

void
DeclarationSource::OnUpdate(const std::string& aControl,
                            const DeclarationUpdate& aUpdate,
                            TimePoint aNow)
{
  updates_[aControl] = aUpdate;
  firstUpdateAt_ = firstUpdateAt_.value_or(aNow);
  if (aUpdate.isLeader_) {
    hasLeaderReported_ = true;
    leaderNumber_ = std::max(leaderNumber_, aUpdate.number_);
  }
  if (aUpdate.number_ > newestNumber_) {
    newestNumber_ = aUpdate.number_;
    newestSince_ = aNow;
  }
}

bool
DeclarationSource::IsConfirmed(std::uint64_t aNumber, TimePoint aNow) const
{
  if (hasLeaderReported_) {
    return aNumber >= leaderNumber_;
  }
  return firstUpdateAt_ && aNow - *firstUpdateAt_ >= kConfirmationWait;
}

bool
DeclarationSource::ShouldRequestFrom(const std::string& aControl,
                                     const DeclarationNumber& aHeld,
                                     TimePoint aNow)
{
  auto it = updates_.find(aControl);
  if (it == updates_.end() || it->second.number_ <= aHeld) {
    return false;
  }
  bool isRequested =
    requestedNumber_ > aHeld && aNow < requestedAt_ + kRequestTimeout;
  auto wait = CountDrawbacks(it->second) * kDelayPerDrawback;
  if (isRequested || aNow < newestSince_ + wait) {
    return false;
  }
  requestedNumber_ = it->second.number_;
  requestedAt_ = aNow;
  return true;
}

} // namespace tanagerstall
