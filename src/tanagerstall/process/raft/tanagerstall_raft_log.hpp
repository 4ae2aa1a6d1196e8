#ifndef TANAGERSTALL_RAFT_LOG_HPP_INCLUDED
#define TANAGERSTALL_RAFT_LOG_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"

#include <deque>

namespace tanagerstall {

/// The part of a member's log that is held in memory, and the members that
/// it names.
class RaftLog
{
public:
  explicit RaftLog(RaftStart aStart);

  LogIndex BaseIndex() const { return baseIndex_; }
  Term BaseTerm() const { return baseTerm_; }
  LogIndex LastIndex() const { return baseIndex_ + entries_.size(); }
  Term LastTerm() const;
  /// The term of an entry; nothing where it isn't held.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  /// An entry that is held.
  const LogEntry& At(LogIndex aIndex) const;
  /// Entries from an index on, up to a count of bytes, but at least one.
  std::vector<LogEntry> EntriesFrom(LogIndex aIndex,
                                    std::size_t aMaxBytes) const;

  /// Adds one entry; drops what stood at its index and after.
  void TruncateAndAppend(LogEntry aEntry);
  /// Drops everything; the log goes on after the snapshot.
  void Install(SharedSnapshot aSnapshot);
  /// Takes a snapshot and drops entries up to `aKeptAfter`.
  void Compact(SharedSnapshot aSnapshot, LogIndex aKeptAfter);

  const SharedSnapshot& Snapshot() const { return snapshot_; }
  /// The members that the newest membership entry names.
  const Membership& Members() const { return members_; }
  /// The index of that entry.
  LogIndex MembersIndex() const { return membersIndex_; }
  /// The members as of an entry.
  Membership MembersAt(LogIndex aIndex) const;

private:
  void RecomputeMembers();

  LogIndex baseIndex_;
  Term baseTerm_;
  std::deque<LogEntry> entries_;
  SharedSnapshot snapshot_;
  Membership members_;
  LogIndex membersIndex_ = 0;
};

} // namespace tanagerstall

#endif
