#ifndef TANAGERSTALL_LOG_STORAGE_HPP_INCLUDED
#define TANAGERSTALL_LOG_STORAGE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_log.hpp"

namespace tanagerstall {

/// The durable part of one group: "NAME.log" and "NAME.snapshot". Whatever a
/// call writes is synced when it returns; every call may throw DiskError.
class LogStorage
{
public:
  LogStorage(LogDisk aDisk, std::string aName);

  /// Reads what is there and cuts a torn tail.
  /// Throws DiskError where something is damaged.
  RaftStart Open();
  /// Adds to the log, with one sync.
  void Write(const HardState& aHardState,
             const std::vector<LogEntry>& aEntries);
  /// Keeps a snapshot and begins a new log file with what the log holds.
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
