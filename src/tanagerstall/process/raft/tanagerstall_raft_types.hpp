#ifndef TANAGERSTALL_RAFT_TYPES_HPP_INCLUDED
#define TANAGERSTALL_RAFT_TYPES_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// Identifies a member by the incarnation of its data folder; 0 stands for no
/// member.
using MemberKey = std::uint64_t;
using LogIndex = std::uint64_t;
using Term = std::uint64_t;

/// One member of a group. A member without a vote is a learner, which only
/// receives the log.
struct Member
{
  MemberKey key_ = 0;
  std::string name_;
  /// IP:port that other members connect to.
  std::string memberAddress_;
  /// IP:port that entries connect to.
  std::string controlAddress_;
  bool isVoter_ = false;

  bool operator==(const Member&) const = default;
};

using Membership = std::vector<Member>;

/// The number of voters that a group's leader maintains.
struct VoterTarget
{
  /// The fewest voters that bear the tolerated losses; unresponsive ones are
  /// removed down to this number.
  std::size_t minimum_ = 0;
  /// Learners are promoted up to this number; 0 leaves membership to an
  /// operator.
  std::size_t wanted_ = 0;
};

enum class EntryKind : std::uint8_t
{
  /// The first entry of a new leader, which commits those of earlier terms.
  Empty,
  Command,
  Members
};

struct LogEntry
{
  LogIndex index_ = 0;
  Term term_ = 0;
  EntryKind kind_ = EntryKind::Empty;
  /// Set if the kind is Command.
  Bytes command_;
  /// Set if the kind is Members; in effect from this entry on.
  Membership members_;
};

/// What a member has to make durable before it replies.
struct HardState
{
  Term term_ = 0;
  MemberKey votedFor_ = 0;

  bool operator==(const HardState&) const = default;
};

/// The state machine's state after an entry, which replaces the log up to it.
struct RaftSnapshot
{
  LogIndex index_ = 0;
  Term term_ = 0;
  Membership members_;
  Bytes state_;
};

using SharedSnapshot = std::shared_ptr<const RaftSnapshot>;

enum class MessageKind : std::uint8_t
{
  PreVote,
  PreVoteReply,
  Vote,
  VoteReply,
  Append,
  AppendReply,
  Snapshot,
  SnapshotReply
};

struct RaftMessage
{
  MessageKind kind_ = MessageKind::Append;
  MemberKey from_ = 0;
  MemberKey to_ = 0;
  Term term_ = 0;
  /// By kind of message: the entry before the sent ones, the sender's last
  /// entry, the last entry that a reply confirms, or the snapshot's entry.
  LogIndex index_ = 0;
  Term indexTerm_ = 0;
  LogIndex commit_ = 0;
  /// The leader's round of messages; the reply returns it.
  std::uint64_t round_ = 0;
  bool isAccepted_ = false;
  std::vector<LogEntry> entries_;
  /// The position of the snapshot chunk and the snapshot's size, in bytes.
  std::uint64_t offset_ = 0;
  std::uint64_t total_ = 0;
  Bytes chunk_;
  Membership members_;
};

/// Safety rules of Raft that tests disable in order to verify that the checker
/// detects the violation.
struct RaftRules
{
  /// Whether replicating an entry of a term to a quorum commits it.
  std::function<bool(Term aEntry, Term aCurrent)> commitsByCount_ =
    [](Term aEntry, Term aCurrent) { return aEntry == aCurrent; };
  /// Whether a read waits until a quorum has confirmed the leadership.
  std::function<bool()> confirmsReads_ = [] { return true; };
};

struct RaftSettings
{
  Duration heartbeat_ = std::chrono::milliseconds(150);
  /// The minimum election timeout; the maximum is twice that.
  Duration electionTimeout_ = std::chrono::milliseconds(1000);
  /// The minimum election timeout until this process has seen a leader, so that
  /// members that start together elect one soon; 0 for `electionTimeout_`.
  Duration firstElectionTimeout_{ 0 };
  /// Maximum size of the commands in one message, in bytes; a single entry may
  /// be larger.
  std::size_t maxBatchBytes_ = 1U << 20U;
  std::size_t snapshotChunkBytes_ = 256U << 10U;
  /// Number of applied entries since the last snapshot that triggers the next
  /// one.
  std::size_t snapshotEntries_ = 10'000;
  /// Size of the applied commands in bytes that triggers it earlier.
  std::size_t snapshotBytes_ = 16U << 20U;
  /// Number of entries kept in the log after a snapshot, so that members that
  /// lag behind slightly need no snapshot.
  std::size_t keptEntries_ = 1'000;
  /// Maximum size of these entries' commands, in bytes.
  std::size_t keptBytes_ = 4U << 20U;
  /// Largest command, in bytes.
  std::size_t maxCommandBytes_ = 8U << 20U;
  RaftRules rules_;
};

/// The state that a member reads from its storage when it starts.
struct RaftStart
{
  HardState hardState_;
  SharedSnapshot snapshot_;
  LogIndex baseIndex_ = 0;
  Term baseTerm_ = 0;
  std::vector<LogEntry> entries_;
};

} // namespace tanagerstall

#endif
