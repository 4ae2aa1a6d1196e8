#ifndef TANAGERSTALL_RAFT_GROUP_HPP_INCLUDED
#define TANAGERSTALL_RAFT_GROUP_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_storage.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft.hpp"
#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"

#include <map>

namespace tanagerstall {

/// How well a group would stand the loss of one more instance.
struct GroupHealth
{
  /// Whether this member leads and could tell.
  bool isLeader_ = false;
  /// Voters whose log holds every committed entry, heard of just now.
  std::size_t caughtUpVoters_ = 0;
  std::size_t voters_ = 0;
  /// Whether any one of those voters may be lost and a quorum remains.
  bool survivesLoss_ = false;
};

/// A replicated state machine at one member: the log's decisions, its
/// storage, and who waits for answers. Callers flush after their events, so
/// that what came in together is synced together. DiskError passes through
/// every call and has to end the process.
class RaftGroup
{
public:
  struct Hooks
  {
    std::function<void(const RaftMessage&)> send_;
    /// Asks for a Flush() soon.
    std::function<void()> scheduleFlush_;
  };

  RaftGroup(MemberKey aSelf,
            RaftSettings aSettings,
            LogStorage aStorage,
            StateMachine aMachine,
            std::uint64_t aSeed,
            TimePoint aNow,
            Hooks aHooks);

  /// Writes the state of a new group with these voters. For empty storage
  /// only.
  static void Bootstrap(LogStorage& aStorage,
                        Membership aFirst,
                        const StateMachine& aMachine);

  /// Commits a command; answers with the state machine's result.
  void Propose(BytesView aCommand, const GroupCallback& aDone);
  /// Reads the state once a quorum has confirmed this leader.
  void Query(BytesView aQuery, const GroupCallback& aDone);
  /// Commits new members; answers with nothing in it. Unavailable while
  /// another change is in progress.
  void ChangeMembers(Membership aMembers, const GroupCallback& aDone);

  void Receive(const RaftMessage& aMessage, TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Syncs, sends, applies and answers what the events since the last call
  /// brought.
  void Flush();

  const Raft& Core() const { return raft_; }
  /// The member that leads, as far as this one knows.
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
  void Apply(const LogEntry& aEntry);
  void AnswerRead(std::uint64_t aRead);
  void FailPending();
  GroupError NotLeader() const;

  RaftSettings settings_;
  LogStorage storage_;
  StateMachine machine_;
  Hooks hooks_;
  Raft raft_;
  std::map<LogIndex, Proposal> proposals_;
  std::map<std::uint64_t, PendingQuery> queries_;
  std::uint64_t lastRead_ = 0;
};

} // namespace tanagerstall

#endif
