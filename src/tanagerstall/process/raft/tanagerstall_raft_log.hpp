#ifndef TANAGERSTALL_RAFT_LOG_HPP_INCLUDED
#define TANAGERSTALL_RAFT_LOG_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"

#include <deque>

namespace tanagerstall {

/// The log entries in memory, from the one after the base entry on, with the
/// newest snapshot and the membership that they define.
class RaftLog
{
public:
  explicit RaftLog(RaftStart aStart);

  LogIndex BaseIndex() const { return baseIndex_; }
  Term BaseTerm() const { return baseTerm_; }
  LogIndex LastIndex() const { return baseIndex_ + entries_.size(); }
  Term LastTerm() const;
  /// Returns an entry's term, also of the base entry, or nothing if the entry
  /// isn't in memory.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  /// Returns an entry, which has to be in memory.
  const LogEntry& At(LogIndex aIndex) const;
  /// Returns entries from an index on, up to a size in bytes of their commands
  /// but at least one.
  std::vector<LogEntry> EntriesFrom(LogIndex aIndex,
                                    std::size_t aMaxBytes) const;

  /// Removes the entries from the entry's index on, then appends it.
  void TruncateAndAppend(LogEntry aEntry);
  /// Replaces the whole log by a snapshot.
  void Install(SharedSnapshot aSnapshot);
  /// Stores a snapshot and removes the entries up to `aKeptAfter`, inclusive.
  void Compact(SharedSnapshot aSnapshot, LogIndex aKeptAfter);

  const SharedSnapshot& Snapshot() const { return snapshot_; }
  /// Returns the membership of the newest membership entry, whether or not it
  /// is committed.
  const Membership& Members() const { return members_; }
  /// Returns the index of that entry.
  LogIndex MembersIndex() const { return membersIndex_; }
  /// Returns the membership in effect at an entry.
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
