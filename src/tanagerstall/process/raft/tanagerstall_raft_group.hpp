#ifndef TANAGERSTALL_RAFT_GROUP_HPP_INCLUDED
#define TANAGERSTALL_RAFT_GROUP_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_storage.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft.hpp"
#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"

#include <map>

namespace tanagerstall {

/// Whether a group tolerates the loss of one more instance.
struct GroupHealth
{
  /// Whether this member is the leader; the other fields are set only then.
  bool isLeader_ = false;
  /// Number of responsive voters that hold every committed entry.
  std::size_t caughtUpVoters_ = 0;
  std::size_t voters_ = 0;
  /// Whether a quorum of these voters remains after the loss of any one.
  bool survivesLoss_ = false;
};

/// A replicated state machine at one member: combines the Raft algorithm with
/// its storage and the callers that wait for results. Events take effect in
/// Flush(), so that one sync covers all events before it. While the disk is
/// full the group pauses: it sends and answers nothing, ignores messages and
/// refuses calls, and goes on once the pending write succeeds. Any call may
/// throw another DiskError, which has to end the process.
class RaftGroup
{
public:
  struct Hooks
  {
    std::function<void(const RaftMessage&)> send_;
    /// Schedules a call of Flush().
    std::function<void()> scheduleFlush_;
  };

  RaftGroup(MemberKey aSelf,
            RaftSettings aSettings,
            LogStorage aStorage,
            StateMachine aMachine,
            std::uint64_t aSeed,
            TimePoint aNow,
            Hooks aHooks);

  /// Writes the initial state of a new group with these voters. Throws
  /// DiskError if the storage is not empty.
  static void Bootstrap(LogStorage& aStorage,
                        Membership aFirst,
                        const StateMachine& aMachine);

  /// Replicates a command; passes on the state machine's result once it is
  /// committed and applied.
  void Propose(BytesView aCommand, const GroupCallback& aDone);
  /// Reads the state once a quorum has confirmed this member's leadership.
  void Query(BytesView aQuery, const GroupCallback& aDone);
  /// Replicates a new membership; the result is empty. Fails with Unavailable
  /// while another change is in progress.
  void ChangeMembers(Membership aMembers, const GroupCallback& aDone);

  void Receive(const RaftMessage& aMessage, TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Executes the actions that result from the events since the last call:
  /// writes and syncs, sends, applies and answers.
  void Flush();

  const Raft& Core() const { return raft_; }
  /// Whether a write is pending because the disk is full.
  bool IsDiskFull() const { return unwritten_.has_value(); }
  /// Returns the leader, if this member knows it.
  std::optional<Member> Leader() const;
  GroupHealth Health(TimePoint aNow) const;

private:
  struct Proposal
  {
    Term term_ = 0;
    GroupCallback done_;
  };

  struct PendingQuery
  {
    Bytes query_;
    GroupCallback done_;
  };

  void AddProposal(std::optional<LogIndex> aIndex, const GroupCallback& aDone);
  void Persist(const RaftOutput& aOutput);
  bool TryPersist(RaftOutput& aOutput, bool aIsRepeated);
  void WriteDueSnapshot();
  static GroupError DiskFull();
  void Apply(const LogEntry& aEntry);
  void AnswerRead(std::uint64_t aRead);
  void FailPending(const GroupError& aError);
  GroupError NotLeader() const;

  RaftSettings settings_;
  LogStorage storage_;
  StateMachine machine_;
  Hooks hooks_;
  Raft raft_;
  std::map<LogIndex, Proposal> proposals_;
  std::map<std::uint64_t, PendingQuery> queries_;
  std::uint64_t lastRead_ = 0;
  /// The output that the full disk has not taken yet.
  std::optional<RaftOutput> unwritten_;
  /// A snapshot of the log's start that the full disk has not taken yet.
  SharedSnapshot unwrittenSnapshot_;
  /// Whether the last write of a snapshot failed because the disk was full.
  bool isSnapshotDelayed_ = false;
};

} // namespace tanagerstall

#endif
