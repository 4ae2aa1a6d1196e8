#ifndef TANAGERSTALL_RAFT_HPP_INCLUDED
#define TANAGERSTALL_RAFT_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_log.hpp"

#include <map>
#include <random>
#include <utility>

namespace tanagerstall {

enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// What to do after events, in this order: keep (and sync) the snapshot, the
/// hard state and the entries; send; install or apply; answer reads.
struct RaftOutput
{
  /// A snapshot from the leader, to keep and to install.
  SharedSnapshot installedSnapshot_;
  std::optional<HardState> hardState_;
  /// Entries to keep; each drops what stood at its index and after.
  std::vector<LogEntry> entries_;
  std::vector<RaftMessage> messages_;
  std::vector<LogEntry> committed_;
  /// Reads that the state now answers.
  std::vector<std::uint64_t> reads_;
  /// Leadership was lost: proposals and reads that wait have no answer.
  bool hasLostLeadership_ = false;
};

/// How far a member is, as its leader knows.
struct MemberProgress
{
  Member member_;
  /// The last entry that the member holds durably.
  LogIndex match_ = 0;
  /// Whether the member answered within an election timeout.
  bool isResponsive_ = false;
};

/// One member of a replicated group as a state machine: takes events and the
/// time, does no input or output.
class Raft
{
public:
  Raft(MemberKey aSelf,
       RaftSettings aSettings,
       RaftStart aStart,
       std::uint64_t aSeed,
       TimePoint aNow);

  void Tick(TimePoint aNow);
  void Receive(const RaftMessage& aMessage, TimePoint aNow);
  /// Adds a command. Gives its index, or nothing where this is no leader.
  std::optional<LogIndex> Propose(Bytes aCommand);
  /// Adds new members. Gives nothing also while the last change is not
  /// committed, or where more than one vote would change.
  std::optional<LogIndex> ProposeMembers(Membership aMembers);
  /// Asks to read the state under a number of the caller's choice.
  bool Read(std::uint64_t aRead);
  /// Takes what is to be done; entries proposed since the last call go out
  /// together.
  RaftOutput TakeOutput();
  /// Notes a snapshot of the state after the last applied entry.
  SharedSnapshot Compact(Bytes aState);

  RaftRole Role() const { return role_; }
  Term CurrentTerm() const { return hardState_.term_; }
  const HardState& CurrentHardState() const { return hardState_; }
  MemberKey Leader() const { return leader_; }
  LogIndex CommitIndex() const { return commit_; }
  const RaftLog& Log() const { return log_; }
  /// Whether entries since the last snapshot call for the next.
  bool IsSnapshotDue() const;
  /// Of the leader: how far every member is.
  std::vector<MemberProgress> Progress(TimePoint aNow) const;
  /// Of the leader: a learner that has caught up, or 0.
  MemberKey CaughtUpLearner(TimePoint aNow) const;

private:
  struct Peer
  {
    LogIndex next_ = 1;
    LogIndex match_ = 0;
    /// The newest round that the member has answered.
    std::uint64_t round_ = 0;
    /// Refusals of rounds up to this one are old.
    std::uint64_t refusedRound_ = 0;
    TimePoint lastReplyAt_;
    /// The snapshot that is being sent, and how much of it arrived.
    SharedSnapshot snapshot_;
    std::uint64_t offset_ = 0;
  };

  struct PendingRead
  {
    std::uint64_t read_ = 0;
    LogIndex index_ = 0;
    std::uint64_t round_ = 0;
  };

  bool IsVoter(MemberKey aKey) const;
  bool IsMember(MemberKey aKey) const;
  bool HasQuorum(const std::function<bool(MemberKey)>& aHas) const;
  bool IsUpToDate(const RaftMessage& aMessage) const;
  bool IsIgnored(const RaftMessage& aMessage) const;
  void Dispatch(const RaftMessage& aMessage, TimePoint aNow);
  void ResetElection(TimePoint aNow);
  void BecomeFollower(Term aTerm, MemberKey aLeader);
  void Campaign(RaftRole aRole, TimePoint aNow);
  void CountVotes(TimePoint aNow);
  void BecomeLeader(TimePoint aNow);
  void Append(EntryKind aKind, Bytes aCommand, Membership aMembers);
  void Send(RaftMessage aMessage);
  RaftMessage Reply(const RaftMessage& aTo, MessageKind aKind) const;

  void OnPreVote(const RaftMessage& aMessage, TimePoint aNow);
  void OnVote(const RaftMessage& aMessage, TimePoint aNow);
  void OnVoteReply(const RaftMessage& aMessage, TimePoint aNow);
  void OnAppend(const RaftMessage& aMessage, TimePoint aNow);
  void OnSnapshot(const RaftMessage& aMessage, TimePoint aNow);
  Peer* RecordReply(const RaftMessage& aMessage, TimePoint aNow);
  void OnAppendReply(const RaftMessage& aMessage, TimePoint aNow);
  void OnSnapshotReply(const RaftMessage& aMessage, TimePoint aNow);
  void OnPreVoteReply(const RaftMessage& aMessage, TimePoint aNow);
  void StoreEntries(const RaftMessage& aMessage);
  void StoreChunk(const RaftMessage& aMessage, RaftMessage& aReply);
  LogIndex LastPossibleMatch(LogIndex aIndex) const;

  void SendAppend(MemberKey aTo, Peer& aPeer);
  void SendChunk(MemberKey aTo, Peer& aPeer);
  void Broadcast();
  void AdvanceCommit();
  void ConfirmReads();

  MemberKey self_;
  RaftSettings settings_;
  RaftLog log_;
  HardState hardState_;
  HardState emittedHardState_;
  std::mt19937_64 random_;
  RaftRole role_ = RaftRole::Follower;
  MemberKey leader_ = 0;
  bool hasSeenLeader_ = false;
  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  TimePoint electionAt_;
  TimePoint lastLeaderMessageAt_;
  TimePoint heartbeatAt_;
  std::map<MemberKey, bool> votes_;
  std::map<MemberKey, Peer> peers_;
  std::uint64_t round_ = 0;
  LogIndex firstOfTerm_ = 0;
  std::size_t bytesSinceSnapshot_ = 0;
  bool isBroadcastDue_ = false;
  std::vector<PendingRead> pendingReads_;
  /// A snapshot that is arriving.
  RaftSnapshot incomingSnapshot_;
  RaftOutput output_;
};

} // namespace tanagerstall

#endif
