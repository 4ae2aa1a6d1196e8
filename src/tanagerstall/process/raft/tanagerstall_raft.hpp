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

/// The actions that result from events. The caller executes them in this order:
/// write and sync the snapshot, the hard state and the entries; send the
/// messages; install the snapshot or apply the entries; answer the reads.
struct RaftOutput
{
  /// A snapshot received from the leader, to store and to install.
  SharedSnapshot installedSnapshot_;
  std::optional<HardState> hardState_;
  /// Entries to store; each one replaces the stored entries from its index on.
  std::vector<LogEntry> entries_;
  std::vector<RaftMessage> messages_;
  std::vector<LogEntry> committed_;
  /// Numbers of the reads that can be answered from the state now.
  std::vector<std::uint64_t> reads_;
  /// This member lost its leadership, so that pending proposals and reads fail.
  bool hasLostLeadership_ = false;
};

/// A member's replication progress as known to the leader.
struct MemberProgress
{
  Member member_;
  /// Index of the last entry that the member is known to hold durably.
  LogIndex match_ = 0;
  /// Whether the member replied within the last election timeout.
  bool isResponsive_ = false;
};

/// The Raft algorithm of one group member. Handles events at the given time and
/// returns the resulting actions; performs no input or output itself.
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
  /// Appends a command. Returns its index, or nothing if this member is not the
  /// leader.
  std::optional<LogIndex> Propose(Bytes aCommand);
  /// Appends a new membership. Returns its index, or nothing if this member is
  /// not the leader, an earlier membership or this term's first entry is not
  /// committed, or more than one voter would change.
  std::optional<LogIndex> ProposeMembers(Membership aMembers);
  /// Starts a linearizable read, identified by the caller's number. Returns
  /// false if this member is not the leader.
  bool Read(std::uint64_t aRead);
  /// Returns the actions since the last call and forgets them. Entries proposed
  /// since then are sent together.
  RaftOutput TakeOutput();
  /// Makes a snapshot from the state after the last applied entry and compacts
  /// the log.
  SharedSnapshot Compact(Bytes aState);

  RaftRole Role() const { return role_; }
  Term CurrentTerm() const { return hardState_.term_; }
  const HardState& CurrentHardState() const { return hardState_; }
  MemberKey Leader() const { return leader_; }
  LogIndex CommitIndex() const { return commit_; }
  const RaftLog& Log() const { return log_; }
  /// Returns whether enough was applied since the last snapshot for the next.
  bool IsSnapshotDue() const;
  /// Returns every member's progress; meaningful at the leader only.
  std::vector<MemberProgress> Progress(TimePoint aNow) const;
  /// Returns a learner that has caught up, or 0 if there is none or this member
  /// is not the leader.
  MemberKey CaughtUpLearner(TimePoint aNow) const;

private:
  struct Peer
  {
    LogIndex next_ = 1;
    LogIndex match_ = 0;
    /// The newest round that the member has replied to.
    std::uint64_t round_ = 0;
    /// Rejections of rounds up to this one are outdated and ignored.
    std::uint64_t refusedRound_ = 0;
    TimePoint lastReplyAt_;
    /// The snapshot being sent, and how many of its bytes have arrived.
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
  /// The chunks received so far of a snapshot from the leader.
  RaftSnapshot incomingSnapshot_;
  RaftOutput output_;
};

} // namespace tanagerstall

#endif
