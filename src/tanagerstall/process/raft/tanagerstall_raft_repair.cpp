#include "tanagerstall/process/raft/tanagerstall_raft_repair.hpp"

#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_codec.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

bool
IsMarkedForRemoval(const Member& aMember, const RepairGoal& aGoal)
{
  return !aGoal.removeName_.empty() && aMember.name_ == aGoal.removeName_ &&
         aMember.key_ != aGoal.add_.key_;
}

bool
HasCaughtUp(const std::vector<MemberProgress>& aProgress,
            MemberKey aKey,
            LogIndex aCommit)
{
  return std::any_of(
    aProgress.begin(), aProgress.end(), [&](const MemberProgress& aIt) {
      return aIt.member_.key_ == aKey && aIt.isResponsive_ &&
             aIt.match_ >= aCommit;
    });
}

/// Returns whether a quorum of these members responds and holds every
/// committed entry.
bool
HasHealthyQuorum(const Membership& aMembers,
                 const std::vector<MemberProgress>& aProgress,
                 LogIndex aCommit)
{
  std::size_t voters = 0;
  std::size_t healthy = 0;
  for (const auto& member : aMembers) {
    if (member.isVoter_) {
      ++voters;
      healthy += HasCaughtUp(aProgress, member.key_, aCommit) ? 1 : 0;
    }
  }
  return healthy > voters / 2;
}

} // namespace

RepairStep
NextRepairStep(const Membership& aNow,
               const RepairGoal& aGoal,
               const std::vector<MemberProgress>& aProgress,
               LogIndex aCommit)
{
  Membership next = aNow;
  MemberKey added = aGoal.add_.key_;
  if (added != 0) {
    auto it = std::find_if(next.begin(), next.end(), [&](const Member& aIt) {
      return aIt.key_ == added;
    });
    if (it == next.end()) {
      next.push_back(aGoal.add_);
      next.back().isVoter_ = false;
      return { next, false, "the new member is being added as a learner" };
    }
    if (!HasCaughtUp(aProgress, added, aCommit)) {
      return { std::nullopt, false, "the new member is catching up" };
    }
    if (!it->isVoter_) {
      it->isVoter_ = true;
      return { next, false, "the new member is being promoted to a voter" };
    }
  }
  auto old = std::find_if(next.begin(), next.end(), [&](const Member& aIt) {
    return IsMarkedForRemoval(aIt, aGoal);
  });
  if (old != next.end()) {
    next.erase(old);
    if (!HasHealthyQuorum(next, aProgress, aCommit)) {
      return { std::nullopt,
               false,
               "the old member can't be removed: the remaining voters have no "
               "quorum that has caught up" };
    }
    return { next, false, "the old member is being removed" };
  }
  return { std::nullopt, true, "" };
}

tl::expected<RepairStatus, GroupError>
AdvanceRepair(RaftGroup& aGroup, const RepairGoal& aGoal, TimePoint aNow)
{
  const Raft& core = aGroup.Core();
  if (core.Role() != RaftRole::Leader) {
    auto leader = aGroup.Leader();
    return tl::make_unexpected(GroupError{
      GroupFault::NotLeader, leader ? leader->controlAddress_ : "" });
  }
  auto progress = core.Progress(aNow);
  auto step =
    NextRepairStep(core.Log().Members(), aGoal, progress, core.CommitIndex());
  bool isSettled = core.Log().MembersIndex() <= core.CommitIndex();
  if (step.next_ && isSettled) {
    aGroup.ChangeMembers(*step.next_, [](const GroupResult&) {});
  }
  auto health = aGroup.Health(aNow);
  RepairStatus status;
  status.isFinished_ = step.isFinished_ && isSettled;
  status.survivesLoss_ = health.survivesLoss_;
  status.voters_ = health.voters_;
  status.detail_ = step.detail_;
  if (status.isFinished_ && !status.IsDone()) {
    status.detail_ = "other members are catching up";
  }
  status.members_ = std::move(progress);
  status.leader_ = core.Leader();
  status.commit_ = core.CommitIndex();
  return status;
}

Bytes
EncodeGoal(const RepairGoal& aGoal)
{
  capnp::MallocMessageBuilder message;
  auto goal = message.initRoot<wire::RepairGoal>();
  WriteMember(goal.initAdd(), aGoal.add_);
  goal.setRemoveName(ToText(aGoal.removeName_));
  return Flatten(message);
}

RepairGoal
DecodeGoal(BytesView aBytes)
{
  FlatMessage message(aBytes);
  auto goal = message.Root<wire::RepairGoal>();
  return { ReadMember(goal.getAdd()), ToString(goal.getRemoveName()) };
}

Bytes
EncodeStatus(const RepairStatus& aStatus)
{
  capnp::MallocMessageBuilder message;
  auto status = message.initRoot<wire::RepairStatus>();
  status.setFinished(aStatus.isFinished_);
  status.setSurvivesLoss(aStatus.survivesLoss_);
  status.setVoters(static_cast<std::uint32_t>(aStatus.voters_));
  status.setDetail(ToText(aStatus.detail_));
  auto members = status.initMembers(aStatus.members_.size());
  for (unsigned i = 0; i < aStatus.members_.size(); ++i) {
    WriteMember(members[i].initMember(), aStatus.members_[i].member_);
    members[i].setMatch(aStatus.members_[i].match_);
    members[i].setHeard(aStatus.members_[i].isResponsive_);
  }
  status.setLeader(aStatus.leader_);
  status.setCommit(aStatus.commit_);
  return Flatten(message);
}

RepairStatus
DecodeStatus(BytesView aBytes)
{
  FlatMessage message(aBytes);
  auto from = message.Root<wire::RepairStatus>();
  RepairStatus status;
  status.isFinished_ = from.getFinished();
  status.survivesLoss_ = from.getSurvivesLoss();
  status.voters_ = from.getVoters();
  status.detail_ = ToString(from.getDetail());
  for (auto member : from.getMembers()) {
    status.members_.push_back(
      { ReadMember(member.getMember()), member.getMatch(), member.getHeard() });
  }
  status.leader_ = from.getLeader();
  status.commit_ = from.getCommit();
  return status;
}

} // namespace tanagerstall
