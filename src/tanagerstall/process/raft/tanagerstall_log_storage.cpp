#include "tanagerstall/process/raft/tanagerstall_log_storage.hpp"

#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_codec.hpp"

#include <span>
#include <utility>

namespace tanagerstall {

namespace {

Bytes
MakeLogFrame(LogIndex aBaseIndex,
             Term aBaseTerm,
             const HardState& aHardState,
             std::span<const LogEntry> aEntries)
{
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::LogFrame>();
  frame.setBaseIndex(aBaseIndex);
  frame.setBaseTerm(aBaseTerm);
  auto hardState = frame.initHardState();
  hardState.setTerm(aHardState.term_);
  hardState.setVotedFor(aHardState.votedFor_);
  auto entries = frame.initEntries(aEntries.size());
  for (unsigned i = 0; i < aEntries.size(); ++i) {
    WriteEntry(entries[i], aEntries[i]);
  }
  return MakeFrame(Flatten(message));
}

void
AppendTo(Bytes& aTo, const Bytes& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

/// Stores an entry at its index and removes the entries from there on.
void
InsertEntry(RaftStart& aStart, LogEntry aEntry, const std::string& aName)
{
  if (aEntry.index_ <= aStart.baseIndex_ ||
      aEntry.index_ > aStart.baseIndex_ + aStart.entries_.size() + 1) {
    throw DiskError(aName + " is corrupt: entry " +
                    std::to_string(aEntry.index_) + " is out of order");
  }
  aStart.entries_.resize(aEntry.index_ - aStart.baseIndex_ - 1);
  aStart.entries_.push_back(std::move(aEntry));
}

} // namespace

LogStorage::LogStorage(LogDisk aDisk, std::string aName)
  : disk_(std::move(aDisk))
  , logFile_(aName + ".log")
  , snapshotFile_(aName + ".snapshot")
{
}

RaftStart
LogStorage::Open()
{
  RaftStart start;
  ReadSnapshot(start);
  ReadLog(start);
  DiscardObsoleteLog(start);
  return start;
}

void
LogStorage::ReadSnapshot(RaftStart& aStart)
{
  auto file = disk_.read_(snapshotFile_);
  if (!file) {
    return;
  }
  auto scan = ScanFrames(*file, snapshotFile_);
  // The file was renamed into place when it was complete, so that an
  // incomplete one is corrupt.
  if (scan.frames_.size() != 2 || scan.end_ != file->size()) {
    throw DiskError(snapshotFile_ + " is corrupt; replace this member");
  }
  FlatMessage message(scan.frames_[0]);
  auto head = message.Root<wire::SnapshotFrame>();
  aStart.snapshot_ = std::make_shared<RaftSnapshot>(
    RaftSnapshot{ head.getIndex(),
                  head.getTerm(),
                  ReadMembers(head.getMembers()),
                  { scan.frames_[1].begin(), scan.frames_[1].end() } });
}

void
LogStorage::ReadLog(RaftStart& aStart)
{
  auto file = disk_.read_(logFile_);
  if (!file) {
    if (aStart.snapshot_) {
      throw DiskError(logFile_ + " is missing; replace this member");
    }
    ReplaceFile(disk_, logFile_, MakeLogFrame(0, 0, {}, {}));
    return;
  }
  auto scan = ScanFrames(*file, logFile_);
  if (scan.frames_.empty()) {
    throw DiskError(logFile_ + " has no whole record; replace this member");
  }
  if (scan.end_ != file->size()) {
    disk_.truncate_(logFile_, scan.end_);
  }
  // The process before may have ended between a write and its sync. The member
  // confirms what it reads here without writing it again.
  disk_.sync_(logFile_);
  bool isFirst = true;
  for (BytesView content : scan.frames_) {
    FlatMessage message(content);
    auto frame = message.Root<wire::LogFrame>();
    if (std::exchange(isFirst, false)) {
      aStart.baseIndex_ = frame.getBaseIndex();
      aStart.baseTerm_ = frame.getBaseTerm();
    }
    auto hardState = frame.getHardState();
    aStart.hardState_ = { hardState.getTerm(), hardState.getVotedFor() };
    for (auto entry : frame.getEntries()) {
      InsertEntry(aStart, ReadEntry(entry), logFile_);
    }
  }
}

void
LogStorage::DiscardObsoleteLog(RaftStart& aStart)
{
  if (!aStart.snapshot_) {
    if (aStart.baseIndex_ != 0) {
      throw DiskError(snapshotFile_ + " is missing; replace this member");
    }
    return;
  }
  const RaftSnapshot& snapshot = *aStart.snapshot_;
  LogIndex last = aStart.baseIndex_ + aStart.entries_.size();
  bool isInLog =
    snapshot.index_ >= aStart.baseIndex_ && snapshot.index_ <= last;
  if (isInLog) {
    Term term =
      snapshot.index_ == aStart.baseIndex_
        ? aStart.baseTerm_
        : aStart.entries_[snapshot.index_ - aStart.baseIndex_ - 1].term_;
    isInLog = term == snapshot.term_;
  }
  if (snapshot.index_ < aStart.baseIndex_) {
    throw DiskError(snapshotFile_ +
                    " is older than the start of the log; replace this member");
  }
  if (!isInLog) {
    // The process ended after it wrote the snapshot and before it wrote the
    // log that goes with it.
    aStart.baseIndex_ = snapshot.index_;
    aStart.baseTerm_ = snapshot.term_;
    aStart.entries_.clear();
    ReplaceFile(
      disk_,
      logFile_,
      MakeLogFrame(snapshot.index_, snapshot.term_, aStart.hardState_, {}));
  }
}

void
LogStorage::Write(const HardState& aHardState,
                  const std::vector<LogEntry>& aEntries)
{
  disk_.append_(logFile_, MakeLogFrame(0, 0, aHardState, aEntries));
  disk_.sync_(logFile_);
}

void
LogStorage::WriteSnapshot(const HardState& aHardState,
                          const RaftSnapshot& aSnapshot,
                          const RaftLog& aLog)
{
  capnp::MallocMessageBuilder message;
  auto head = message.initRoot<wire::SnapshotFrame>();
  head.setIndex(aSnapshot.index_);
  head.setTerm(aSnapshot.term_);
  WriteMembers(head.initMembers(aSnapshot.members_.size()), aSnapshot.members_);
  Bytes file = MakeFrame(Flatten(message));
  AppendTo(file, MakeFrame(aSnapshot.state_));
  ReplaceFile(disk_, snapshotFile_, file);
  std::vector<LogEntry> entries;
  for (LogIndex index = aLog.BaseIndex() + 1; index <= aLog.LastIndex();
       ++index) {
    entries.push_back(aLog.At(index));
  }
  ReplaceFile(
    disk_,
    logFile_,
    MakeLogFrame(aLog.BaseIndex(), aLog.BaseTerm(), aHardState, entries));
}

} // namespace tanagerstall
