#ifndef TANAGERSTALL_MEMBERSHIP_RECONCILER_HPP_INCLUDED
#define TANAGERSTALL_MEMBERSHIP_RECONCILER_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_repair.hpp"

namespace tanagerstall {

/// One change of a group's members, with at most one vote in it.
struct MembershipStep
{
  Membership members_;
  /// What changes, in words.
  std::string reason_;
  /// The name of the member that it is about.
  std::string member_;
};

/// Keeps a group's voters right without an operator: gives caught-up learners
/// a vote while voters are missing or lost, and takes the vote of members that
/// have been replaced. Lives with the leader; a plain state machine.
class MembershipReconciler
{
public:
  /// The next change, if one is called for and safe now.
  std::optional<MembershipStep> Next(
    const Membership& aMembers,
    const std::vector<MemberProgress>& aProgress,
    LogIndex aCommit,
    std::size_t aWantedVoters,
    TimePoint aNow);

private:
  Duration UnresponsiveTime(MemberKey aKey, TimePoint aNow) const;

  /// Since when members have not answered.
  std::map<MemberKey, TimePoint> unresponsiveSince_;
};

/// The goal with the new member as a learner only, as long as it is none of
/// the members; a goal that changes nothing otherwise.
RepairGoal
RestrictToLearner(const RepairGoal& aGoal, const Membership& aMembers);

} // namespace tanagerstall

#endif
