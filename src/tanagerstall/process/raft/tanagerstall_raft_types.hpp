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

/// The random incarnation of a member's data folder; 0 is no member.
using MemberKey = std::uint64_t;
using LogIndex = std::uint64_t;
using Term = std::uint64_t;

/// One member of a group. A learner gets the log and has no vote.
struct Member
{
  MemberKey key_ = 0;
  std::string name_;
  /// IP:port for the other members.
  std::string memberAddress_;
  /// IP:port for entries.
  std::string controlAddress_;
  bool isVoter_ = false;

  bool operator==(const Member&) const = default;
};

using Membership = std::vector<Member>;

enum class EntryKind : std::uint8_t
{
  /// A new leader's first entry.
  Empty,
  Command,
  Members
};

struct LogEntry
{
  LogIndex index_ = 0;
  Term term_ = 0;
  EntryKind kind_ = EntryKind::Empty;
  /// The command.
  Bytes command_;
  /// The members from this entry on.
  Membership members_;
};

/// What a member must remember before it answers.
struct HardState
{
  Term term_ = 0;
  MemberKey votedFor_ = 0;

  bool operator==(const HardState&) const = default;
};

/// The state after an entry, in place of the log up to it.
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
  /// The entry before the sent ones, the sender's last entry, the entry that
  /// a reply confirms, or the snapshot's entry.
  LogIndex index_ = 0;
  Term indexTerm_ = 0;
  LogIndex commit_ = 0;
  /// Counts the leader's rounds; a reply repeats it.
  std::uint64_t round_ = 0;
  bool isAccepted_ = false;
  std::vector<LogEntry> entries_;
  /// A part of a snapshot.
  std::uint64_t offset_ = 0;
  std::uint64_t total_ = 0;
  Bytes chunk_;
  Membership members_;
};

/// The rules that tests break on purpose to see that the checker notices.
struct RaftRules
{
  /// Whether a quorum that holds an entry of a term commits it.
  std::function<bool(Term aEntry, Term aCurrent)> commitsByCount_ =
    [](Term aEntry, Term aCurrent) { return aEntry == aCurrent; };
  /// Whether a read waits until a quorum has confirmed the leader.
  std::function<bool()> confirmsReads_ = [] { return true; };
};

struct RaftSettings
{
  Duration heartbeat_ = std::chrono::milliseconds(150);
  /// The shortest election timeout; the longest is twice as long.
  Duration electionTimeout_ = std::chrono::milliseconds(1000);
  /// The same until this run has heard of a leader, so that members which
  /// start together soon have one; 0 for no difference.
  Duration firstElectionTimeout_{ 0 };
  /// Bytes of commands in one message; one entry may be larger.
  std::size_t maxBatchBytes_ = 1U << 20U;
  std::size_t snapshotChunkBytes_ = 256U << 10U;
  /// Entries since the last snapshot that call for the next one.
  std::size_t snapshotEntries_ = 10'000;
  /// Bytes of commands that call for it sooner.
  std::size_t snapshotBytes_ = 16U << 20U;
  /// Entries kept after a snapshot for members that lag a little.
  std::size_t keptEntries_ = 1'000;
  /// Bytes of commands that may be kept for them.
  std::size_t keptBytes_ = 4U << 20U;
  /// Largest command, in bytes.
  std::size_t maxCommandBytes_ = 8U << 20U;
  RaftRules rules_;
};

/// What a member starts with: what its storage held.
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
