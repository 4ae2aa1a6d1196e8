#ifndef TANAGERSTALL_LOG_STORAGE_HPP_INCLUDED
#define TANAGERSTALL_LOG_STORAGE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_log.hpp"

namespace tanagerstall {

/// Stores one group's log and snapshot in the files "NAME.log" and
/// "NAME.snapshot". What a call writes is durable when it returns; every call
/// may throw DiskError.
class LogStorage
{
public:
  LogStorage(LogDisk aDisk, std::string aName);

  /// Reads both files, truncates an incomplete record at the end of the log and
  /// creates an empty log in a new folder. Throws DiskError on corruption.
  RaftStart Open();
  /// Appends the hard state and entries to the log file as one synced record.
  void Write(const HardState& aHardState,
             const std::vector<LogEntry>& aEntries);
  /// Replaces the snapshot, then the log file by one with the entries that
  /// `aLog` holds.
  void WriteSnapshot(const HardState& aHardState,
                     const RaftSnapshot& aSnapshot,
                     const RaftLog& aLog);

private:
  void ReadSnapshot(RaftStart& aStart);
  void ReadLog(RaftStart& aStart);
  void DiscardObsoleteLog(RaftStart& aStart);

  LogDisk disk_;
  std::string logFile_;
  std::string snapshotFile_;
};

} // namespace tanagerstall

#endif
