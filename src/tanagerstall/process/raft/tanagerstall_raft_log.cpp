#include "tanagerstall/process/raft/tanagerstall_raft_log.hpp"

namespace tanagerstall {

RaftLog::RaftLog(RaftStart aStart)
  : baseIndex_(aStart.baseIndex_)
  , baseTerm_(aStart.baseTerm_)
  , entries_(aStart.entries_.begin(), aStart.entries_.end())
  , snapshot_(std::move(aStart.snapshot_))
{
  RecomputeMembers();
}

Term
RaftLog::LastTerm() const
{
  return entries_.empty() ? baseTerm_ : entries_.back().term_;
}

std::optional<Term>
RaftLog::TermAt(LogIndex aIndex) const
{
  if (aIndex == baseIndex_) {
    return baseTerm_;
  }
  if (aIndex < baseIndex_ || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).term_;
}

const LogEntry&
RaftLog::At(LogIndex aIndex) const
{
  return entries_[aIndex - baseIndex_ - 1];
}

std::vector<LogEntry>
RaftLog::EntriesFrom(LogIndex aIndex, std::size_t aMaxBytes) const
{
  std::vector<LogEntry> found;
  std::size_t bytes = 0;
  for (LogIndex index = aIndex; index <= LastIndex(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.command_.size();
    if (!found.empty() && bytes > aMaxBytes) {
      break;
    }
    found.push_back(entry);
  }
  return found;
}

void
RaftLog::TruncateAndAppend(LogEntry aEntry)
{
  bool isTruncated = aEntry.index_ <= LastIndex();
  entries_.resize(aEntry.index_ - baseIndex_ - 1);
  if (aEntry.kind_ == EntryKind::Members) {
    members_ = aEntry.members_;
    membersIndex_ = aEntry.index_;
  }
  entries_.push_back(std::move(aEntry));
  if (isTruncated) {
    RecomputeMembers();
  }
}

void
RaftLog::Install(SharedSnapshot aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  baseIndex_ = snapshot_->index_;
  baseTerm_ = snapshot_->term_;
  entries_.clear();
  RecomputeMembers();
}

void
RaftLog::Compact(SharedSnapshot aSnapshot, LogIndex aKeptAfter)
{
  snapshot_ = std::move(aSnapshot);
  while (baseIndex_ < aKeptAfter) {
    baseTerm_ = entries_.front().term_;
    entries_.pop_front();
    ++baseIndex_;
  }
  RecomputeMembers();
}

Membership
RaftLog::MembersAt(LogIndex aIndex) const
{
  for (LogIndex index = std::min(aIndex, LastIndex()); index > baseIndex_;
       --index) {
    if (At(index).kind_ == EntryKind::Members) {
      return At(index).members_;
    }
  }
  return snapshot_ ? snapshot_->members_ : Membership{};
}

void
RaftLog::RecomputeMembers()
{
  membersIndex_ = snapshot_ ? snapshot_->index_ : 0;
  members_ = snapshot_ ? snapshot_->members_ : Membership{};
  for (LogIndex index = LastIndex(); index > baseIndex_; --index) {
    if (At(index).kind_ == EntryKind::Members) {
      members_ = At(index).members_;
      membersIndex_ = index;
      break;
    }
  }
}

} // namespace tanagerstall
