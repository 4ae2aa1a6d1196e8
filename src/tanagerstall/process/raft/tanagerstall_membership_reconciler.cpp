#include "tanagerstall/process/raft/tanagerstall_membership_reconciler.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// After this time without a response a voter is replaced by a caught-up
/// learner.
constexpr Duration kVoterTimeout = std::chrono::seconds(4);
/// After this time without a response a voter is removed if the group can spare
/// it. Short, as its successor may have started long before.
constexpr Duration kSpareVoterTimeout = std::chrono::seconds(1);
/// After this time without a response a learner is removed.
constexpr Duration kLearnerTimeout = std::chrono::seconds(30);

const MemberProgress*
FindProgress(const std::vector<MemberProgress>& aProgress, MemberKey aKey)
{
  auto it = std::find_if(
    aProgress.begin(), aProgress.end(), [&](const MemberProgress& aIt) {
      return aIt.member_.key_ == aKey;
    });
  return it == aProgress.end() ? nullptr : &*it;
}

bool
IsCaughtUp(const std::vector<MemberProgress>& aProgress,
           MemberKey aKey,
           LogIndex aCommit)
{
  const auto* progress = FindProgress(aProgress, aKey);
  return progress != nullptr && progress->isResponsive_ &&
         progress->match_ >= aCommit;
}

bool
IsResponsive(const std::vector<MemberProgress>& aProgress, MemberKey aKey)
{
  const auto* progress = FindProgress(aProgress, aKey);
  return progress != nullptr && progress->isResponsive_;
}

std::size_t
CountVoters(const Membership& aMembers)
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [](const Member& aIt) {
      return aIt.isVoter_;
    }));
}

/// Returns whether a quorum of these members responds and holds every
/// committed entry.
bool
HasQuorum(const Membership& aMembers,
          const std::vector<MemberProgress>& aProgress,
          LogIndex aCommit)
{
  auto ready =
    std::count_if(aMembers.begin(), aMembers.end(), [&](const Member& aIt) {
      return aIt.isVoter_ && IsCaughtUp(aProgress, aIt.key_, aCommit);
    });
  return static_cast<std::size_t>(ready) > CountVoters(aMembers) / 2;
}

/// Returns whether a member that was added later responds at this one's
/// address, which means that this one lost its disk.
bool
IsSuperseded(const Member& aMember,
             const Membership& aMembers,
             const std::vector<MemberProgress>& aProgress)
{
  auto self = std::find(aMembers.begin(), aMembers.end(), aMember);
  return std::any_of(self, aMembers.end(), [&](const Member& aIt) {
    return aIt.key_ != aMember.key_ &&
           aIt.memberAddress_ == aMember.memberAddress_ &&
           IsResponsive(aProgress, aIt.key_);
  });
}

/// Whether a learner could take the place of a voter at once.
bool
HasReadyLearner(const Membership& aMembers,
                const std::vector<MemberProgress>& aProgress,
                LogIndex aCommit)
{
  return std::any_of(aMembers.begin(), aMembers.end(), [&](const Member& aIt) {
    return !aIt.isVoter_ && IsCaughtUp(aProgress, aIt.key_, aCommit);
  });
}

/// Whether the group loses nothing with an unresponsive voter. One of an even
/// number only raises the quorum, and a learner that has caught up takes the
/// place of one of an odd number. Otherwise it is kept until it is replaced: a
/// member that was cut off may be back when others are lost.
bool
CanSpareVoter(const Membership& aMembers,
              const std::vector<MemberProgress>& aProgress,
              LogIndex aCommit,
              const VoterTarget& aTarget)
{
  std::size_t voters = CountVoters(aMembers);
  return voters > aTarget.minimum_ &&
         (voters % 2 == 0 || voters > aTarget.wanted_ ||
          HasReadyLearner(aMembers, aProgress, aCommit));
}

MembershipStep
RemoveMember(const Membership& aMembers,
             const Member& aMember,
             const char* aReason)
{
  MembershipStep step{ aMembers, aReason, aMember.name_ };
  std::erase_if(step.members_,
                [&](const Member& aIt) { return aIt.key_ == aMember.key_; });
  return step;
}

} // namespace

Duration
MembershipReconciler::UnresponsiveTime(MemberKey aKey, TimePoint aNow) const
{
  auto it = unresponsiveSince_.find(aKey);
  return it == unresponsiveSince_.end() ? Duration::zero() : aNow - it->second;
}

std::optional<MembershipStep>
MembershipReconciler::Next(const Membership& aMembers,
                           const std::vector<MemberProgress>& aProgress,
                           LogIndex aCommit,
                           const VoterTarget& aTarget,
                           TimePoint aNow)
{
  for (const auto& member : aMembers) {
    if (IsResponsive(aProgress, member.key_)) {
      unresponsiveSince_.erase(member.key_);
    } else {
      unresponsiveSince_.try_emplace(member.key_, aNow);
    }
  }
  std::size_t voters = CountVoters(aMembers);
  bool canSpareVoter = CanSpareVoter(aMembers, aProgress, aCommit, aTarget);
  bool isVoterLost = false;
  for (const auto& member : aMembers) {
    Duration unresponsiveFor = UnresponsiveTime(member.key_, aNow);
    bool isSuperseded = IsSuperseded(member, aMembers, aProgress);
    isVoterLost =
      isVoterLost || (member.isVoter_ && unresponsiveFor > kVoterTimeout);
    bool isSpared =
      member.isVoter_ && canSpareVoter && unresponsiveFor > kSpareVoterTimeout;
    if (!isSuperseded && !isSpared) {
      continue;
    }
    auto step =
      RemoveMember(aMembers,
                   member,
                   isSuperseded ? "its disk was replaced"
                                : "it doesn't respond and the others suffice");
    if (HasQuorum(step.members_, aProgress, aCommit)) {
      return step;
    }
  }
  for (const auto& member : aMembers) {
    if (member.isVoter_) {
      continue;
    }
    if (UnresponsiveTime(member.key_, aNow) > kLearnerTimeout) {
      return RemoveMember(aMembers, member, "the learner stopped responding");
    }
    bool isWanted =
      voters < aTarget.wanted_ || (isVoterLost && voters == aTarget.wanted_);
    if (isWanted && IsCaughtUp(aProgress, member.key_, aCommit)) {
      MembershipStep step{ aMembers,
                           "the learner is promoted to a voter",
                           member.name_ };
      for (auto& it : step.members_) {
        it.isVoter_ = it.isVoter_ || it.key_ == member.key_;
      }
      return step;
    }
  }
  return std::nullopt;
}

RepairGoal
RestrictToLearner(const RepairGoal& aGoal, const Membership& aMembers)
{
  bool isMember =
    std::any_of(aMembers.begin(), aMembers.end(), [&](const Member& aIt) {
      return aIt.key_ == aGoal.add_.key_;
    });
  return isMember ? RepairGoal() : aGoal;
}

} // namespace tanagerstall
