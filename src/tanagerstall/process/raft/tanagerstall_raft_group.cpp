#include "tanagerstall/process/raft/tanagerstall_raft_group.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Runs a function of the state machine. A command that can't be decoded throws
/// before it changes the state, on every member alike.
GroupResult
RunMachine(const std::function<Bytes(BytesView)>& aFunction, BytesView aBytes)
{
  try {
    return aFunction(aBytes);
  } catch (const DiskError&) {
    throw;
  } catch (const std::exception& error) {
    return tl::make_unexpected(
      GroupError{ GroupFault::Malformed, error.what() });
  }
}

} // namespace

RaftGroup::RaftGroup(MemberKey aSelf,
                     RaftSettings aSettings,
                     LogStorage aStorage,
                     StateMachine aMachine,
                     std::uint64_t aSeed,
                     TimePoint aNow,
                     Hooks aHooks)
  : settings_(aSettings)
  , storage_(std::move(aStorage))
  , machine_(std::move(aMachine))
  , hooks_(std::move(aHooks))
  , raft_(aSelf, std::move(aSettings), storage_.Open(), aSeed, aNow)
{
  if (raft_.Log().Snapshot()) {
    machine_.installSnapshot_(raft_.Log().Snapshot()->state_);
  }
}

void
RaftGroup::Bootstrap(LogStorage& aStorage,
                     Membership aFirst,
                     const StateMachine& aMachine)
{
  auto start = aStorage.Open();
  if (start.snapshot_ || !start.entries_.empty()) {
    throw DiskError("the data folder already holds the group's log");
  }
  for (auto& first : aFirst) {
    first.isVoter_ = true;
  }
  auto snapshot = std::make_shared<RaftSnapshot>(
    RaftSnapshot{ 1, 1, std::move(aFirst), aMachine.takeSnapshot_() });
  RaftStart fresh{ { 1, 0 }, snapshot, 1, 1, {} };
  aStorage.WriteSnapshot(fresh.hardState_, *snapshot, RaftLog(fresh));
}

void
RaftGroup::Propose(BytesView aCommand, const GroupCallback& aDone)
{
  if (aCommand.size() > settings_.maxCommandBytes_) {
    aDone(tl::make_unexpected(
      GroupError{ GroupFault::Malformed, "the command is too large" }));
    return;
  }
  if (unwritten_) {
    aDone(tl::make_unexpected(DiskFull()));
    return;
  }
  AddProposal(raft_.Propose({ aCommand.begin(), aCommand.end() }), aDone);
}

void
RaftGroup::ChangeMembers(Membership aMembers, const GroupCallback& aDone)
{
  if (raft_.Role() != RaftRole::Leader) {
    aDone(tl::make_unexpected(NotLeader()));
    return;
  }
  if (unwritten_) {
    aDone(tl::make_unexpected(DiskFull()));
    return;
  }
  auto index = raft_.ProposeMembers(std::move(aMembers));
  if (!index) {
    aDone(tl::make_unexpected(GroupError{
      GroupFault::Unavailable, "another membership change is in progress" }));
    return;
  }
  AddProposal(index, aDone);
}

void
RaftGroup::AddProposal(std::optional<LogIndex> aIndex,
                       const GroupCallback& aDone)
{
  if (!aIndex) {
    aDone(tl::make_unexpected(NotLeader()));
    return;
  }
  proposals_[*aIndex] = { raft_.CurrentTerm(), aDone };
  hooks_.scheduleFlush_();
}

void
RaftGroup::Query(BytesView aQuery, const GroupCallback& aDone)
{
  if (unwritten_) {
    aDone(tl::make_unexpected(DiskFull()));
    return;
  }
  if (!raft_.Read(++lastRead_)) {
    aDone(tl::make_unexpected(NotLeader()));
    return;
  }
  queries_[lastRead_] = { { aQuery.begin(), aQuery.end() }, aDone };
  hooks_.scheduleFlush_();
}

void
RaftGroup::Receive(const RaftMessage& aMessage, TimePoint aNow)
{
  if (!unwritten_) {
    raft_.Receive(aMessage, aNow);
  }
  hooks_.scheduleFlush_();
}

void
RaftGroup::Tick(TimePoint aNow)
{
  if (!unwritten_) {
    raft_.Tick(aNow);
  }
  hooks_.scheduleFlush_();
}

void
RaftGroup::Flush()
{
  bool isRepeated = unwritten_.has_value();
  RaftOutput output =
    isRepeated ? *std::exchange(unwritten_, {}) : raft_.TakeOutput();
  if (!TryPersist(output, isRepeated)) {
    return;
  }
  for (const auto& message : output.messages_) {
    hooks_.send_(message);
  }
  if (output.installedSnapshot_) {
    machine_.installSnapshot_(output.installedSnapshot_->state_);
  }
  for (const auto& entry : output.committed_) {
    Apply(entry);
  }
  for (std::uint64_t read : output.reads_) {
    AnswerRead(read);
  }
  if (output.hasLostLeadership_) {
    FailPending({ GroupFault::Unavailable, "the leader lost its quorum" });
  }
  if (raft_.IsSnapshotDue()) {
    unwrittenSnapshot_ = raft_.Compact(machine_.takeSnapshot_());
  }
  WriteDueSnapshot();
}

/// Writes a compacted log. Until that succeeds, the files hold the snapshot and
/// the entries from before, which lead to the same state.
void
RaftGroup::WriteDueSnapshot()
{
  if (!unwrittenSnapshot_) {
    return;
  }
  try {
    storage_.WriteSnapshot(
      raft_.CurrentHardState(), *unwrittenSnapshot_, raft_.Log());
    unwrittenSnapshot_ = nullptr;
    isSnapshotDelayed_ = false;
  } catch (const DiskFullError& error) {
    if (!std::exchange(isSnapshotDelayed_, true)) {
      LogEvent(Severity::Warning,
               "snapshot delayed, disk full",
               { { "error", error.what() } });
    }
  }
}

/// Makes the output durable. If the disk is full, keeps the output for the next
/// try, fails the pending calls and returns false.
bool
RaftGroup::TryPersist(RaftOutput& aOutput, bool aIsRepeated)
{
  try {
    Persist(aOutput);
  } catch (const DiskFullError& error) {
    if (!aIsRepeated) {
      LogEvent(
        Severity::Error, "paused, disk full", { { "error", error.what() } });
    }
    unwritten_ = std::move(aOutput);
    FailPending(DiskFull());
    return false;
  }
  if (aIsRepeated) {
    LogEvent(Severity::Info, "resumed, disk has room", {});
  }
  return true;
}

GroupError
RaftGroup::DiskFull()
{
  return { GroupFault::Unavailable, "this member's disk is full" };
}

void
RaftGroup::Persist(const RaftOutput& aOutput)
{
  if (aOutput.installedSnapshot_) {
    // WriteSnapshot() also writes the entries after the snapshot.
    storage_.WriteSnapshot(
      raft_.CurrentHardState(), *aOutput.installedSnapshot_, raft_.Log());
    unwrittenSnapshot_ = nullptr;
  } else if (aOutput.hardState_ || !aOutput.entries_.empty()) {
    storage_.Write(raft_.CurrentHardState(), aOutput.entries_);
  }
}

void
RaftGroup::Apply(const LogEntry& aEntry)
{
  GroupResult result = Bytes{};
  if (aEntry.kind_ == EntryKind::Command) {
    result = RunMachine(machine_.apply_, aEntry.command_);
  }
  auto it = proposals_.find(aEntry.index_);
  if (it == proposals_.end()) {
    return;
  }
  Proposal proposal = std::move(it->second);
  proposals_.erase(it);
  if (proposal.term_ != aEntry.term_) {
    result = tl::make_unexpected(
      GroupError{ GroupFault::Unavailable,
                  "another leader's entry replaced the proposal" });
  }
  proposal.done_(std::move(result));
}

void
RaftGroup::AnswerRead(std::uint64_t aRead)
{
  auto it = queries_.find(aRead);
  if (it == queries_.end()) {
    return;
  }
  PendingQuery waiting = std::move(it->second);
  queries_.erase(it);
  waiting.done_(RunMachine(machine_.query_, waiting.query_));
}

void
RaftGroup::FailPending(const GroupError& aError)
{
  auto proposals = std::exchange(proposals_, {});
  auto queries = std::exchange(queries_, {});
  for (auto& [index, proposal] : proposals) {
    proposal.done_(tl::make_unexpected(aError));
  }
  for (auto& [read, query] : queries) {
    query.done_(tl::make_unexpected(aError));
  }
}

std::optional<Member>
RaftGroup::Leader() const
{
  for (const auto& member : raft_.Log().Members()) {
    if (member.key_ == raft_.Leader()) {
      return member;
    }
  }
  return std::nullopt;
}

GroupError
RaftGroup::NotLeader() const
{
  auto leader = Leader();
  return { GroupFault::NotLeader, leader ? leader->controlAddress_ : "" };
}

GroupHealth
RaftGroup::Health(TimePoint aNow) const
{
  GroupHealth health;
  health.isLeader_ = raft_.Role() == RaftRole::Leader;
  if (!health.isLeader_) {
    return health;
  }
  for (const auto& progress : raft_.Progress(aNow)) {
    if (progress.member_.isVoter_) {
      ++health.voters_;
      bool isCaughtUp =
        progress.isResponsive_ && progress.match_ >= raft_.CommitIndex();
      health.caughtUpVoters_ += isCaughtUp ? 1 : 0;
    }
  }
  health.survivesLoss_ = health.caughtUpVoters_ > health.voters_ / 2 + 1;
  return health;
}

} // namespace tanagerstall
