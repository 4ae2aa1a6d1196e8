#ifndef TANAGERSTALL_RAFT_REPAIR_HPP_INCLUDED
#define TANAGERSTALL_RAFT_REPAIR_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_group.hpp"

namespace tanagerstall {

/// What an operator wants of the members of a group.
struct RepairGoal
{
  /// To be a voter; no member where its key is 0.
  Member add_;
  /// Every other member of this name is to go; nobody where it is empty.
  std::string removeName_;
};

struct RepairStatus
{
  /// Whether nothing is left to do for the goal.
  bool isFinished_ = false;
  bool survivesLoss_ = false;
  std::size_t voters_ = 0;
  /// What is awaited, in words.
  std::string detail_;
  std::vector<MemberProgress> members_;
  MemberKey leader_ = 0;
  LogIndex commit_ = 0;

  /// Whether a repair may be reported done: a second instance may be lost
  /// now. A cluster of one or two can't promise that.
  bool IsDone() const { return isFinished_ && (survivesLoss_ || voters_ < 3); }
};

/// The next members on the way to a goal: add a learner, make it a voter once
/// it has caught up, then let the old member go.
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

/// Takes the next step at a group's leader and says how far the goal is.
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
