#ifndef TANAGERSTALL_MEMBERSHIP_RECONCILER_HPP_INCLUDED
#define TANAGERSTALL_MEMBERSHIP_RECONCILER_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_repair.hpp"

namespace tanagerstall {

/// One membership change, which adds or removes at most one voter.
struct MembershipStep
{
  Membership members_;
  /// Why the membership changes, for the log.
  std::string reason_;
  /// The name of the member that is added, promoted or removed.
  std::string member_;
};

/// Reconciles a group's voters with their target number without an operator:
/// promotes caught-up learners while voters are missing or unresponsive, and
/// removes members that have been replaced. An even number of voters doesn't
/// keep one that is unresponsive, so that the quorum is as small as it can be.
/// A removed member that comes back joins again as a learner. Runs at the
/// group's leader and performs no input or output.
class MembershipReconciler
{
public:
  /// Returns the next membership change, or nothing if none is needed or none
  /// would leave a quorum that holds every committed entry. Has to be called
  /// regularly, as it tracks since when members have not responded.
  std::optional<MembershipStep> Next(
    const Membership& aMembers,
    const std::vector<MemberProgress>& aProgress,
    LogIndex aCommit,
    const VoterTarget& aTarget,
    TimePoint aNow);

private:
  Duration UnresponsiveTime(MemberKey aKey, TimePoint aNow) const;

  /// When each unresponsive member was first seen to be unresponsive.
  std::map<MemberKey, TimePoint> unresponsiveSince_;
};

/// Returns the goal while its new member is not in the group, which adds that
/// member as a learner. Returns an empty goal once it is, so that only the
/// reconciler gives it a vote.
RepairGoal
RestrictToLearner(const RepairGoal& aGoal, const Membership& aMembers);

} // namespace tanagerstall

#endif
