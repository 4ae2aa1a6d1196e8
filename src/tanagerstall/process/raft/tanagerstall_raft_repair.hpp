#ifndef TANAGERSTALL_RAFT_REPAIR_HPP_INCLUDED
#define TANAGERSTALL_RAFT_REPAIR_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_group.hpp"

namespace tanagerstall {

/// The membership change that an operator requests.
struct RepairGoal
{
  /// The member to add as a voter; none if its key is 0.
  Member add_;
  /// Every other member of this name is removed; none if it is empty.
  std::string removeName_;
};

struct RepairStatus
{
  /// Whether the goal is reached and committed.
  bool isFinished_ = false;
  bool survivesLoss_ = false;
  std::size_t voters_ = 0;
  /// What the repair waits for, as text for the operator.
  std::string detail_;
  std::vector<MemberProgress> members_;
  MemberKey leader_ = 0;
  LogIndex commit_ = 0;

  /// Returns whether the repair is complete, which requires that the group
  /// tolerates the loss of another instance. One of one or two voters never
  /// does, so it is exempt.
  bool IsDone() const { return isFinished_ && (survivesLoss_ || voters_ < 3); }
};

/// The next membership change towards a goal: add the new member as a learner,
/// promote it once it has caught up, then remove the old member.
struct RepairStep
{
  std::optional<Membership> next_;
  bool isFinished_ = false;
  std::string detail_;
};

RepairStep
NextRepairStep(const Membership& aNow,
               const RepairGoal& aGoal,
               const std::vector<MemberProgress>& aProgress,
               LogIndex aCommit);

/// Starts the next step towards a goal and returns the status. Fails with
/// NotLeader if this member is not the group's leader.
tl::expected<RepairStatus, GroupError>
AdvanceRepair(RaftGroup& aGroup, const RepairGoal& aGoal, TimePoint aNow);

Bytes
EncodeGoal(const RepairGoal& aGoal);
RepairGoal
DecodeGoal(BytesView aBytes);
Bytes
EncodeStatus(const RepairStatus& aStatus);
RepairStatus
DecodeStatus(BytesView aBytes);

} // namespace tanagerstall

#endif
