#ifndef TANAGERSTALL_LOG_DISK_HPP_INCLUDED
#define TANAGERSTALL_LOG_DISK_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <filesystem>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace tanagerstall {

/// A disk operation failed or stored data is corrupt. The process has to end.
class DiskError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// The disk has no room for a write. The file is as it was before, so the write
/// can be repeated once there is room.
class DiskFullError : public DiskError
{
public:
  using DiskError::DiskError;
};

/// File operations in one data folder. Every function throws DiskError on
/// failure; functions that write throw DiskFullError if there is no room.
struct LogDisk
{
  /// Returns the whole content, or nothing if the file doesn't exist.
  std::function<std::optional<Bytes>(const std::string& aFile)> read_;
  /// Appends to a file and creates it if it doesn't exist.
  std::function<void(const std::string& aFile, BytesView aBytes)> append_;
  /// Truncates the file to a length in bytes.
  std::function<void(const std::string& aFile, std::uint64_t aLength)>
    truncate_;
  /// Makes the file's content durable.
  std::function<void(const std::string& aFile)> sync_;
  std::function<void(const std::string& aFrom, const std::string& aTo)> rename_;
  std::function<void(const std::string& aFile)> remove_;
  /// Makes created, renamed and removed file names durable.
  std::function<void()> syncFolder_;
};

/// Opens a folder of the file system and creates it if it doesn't exist. The
/// result holds a lock on the folder; throws DiskError if another process does.
LogDisk
OpenLogDisk(const std::filesystem::path& aFolder);

/// Replaces a file's content atomically and durably. Leaves no temporary file
/// behind if the disk is full.
void
ReplaceFile(const LogDisk& aDisk, const std::string& aFile, BytesView aBytes);

/// Returns the content preceded by a header with its length and checksums.
Bytes
MakeFrame(BytesView aContent);

/// The contents of a file's frames; they refer to the scanned bytes.
struct FrameScan
{
  std::vector<BytesView> frames_;
  /// Offset of the end of the last whole frame, in bytes.
  std::uint64_t end_ = 0;
};

/// Reads frames up to the first incomplete one. Throws DiskError if a whole
/// frame follows it, as that is corruption and not a torn write at the end.
FrameScan
ScanFrames(BytesView aFile, const std::string& aName);

} // namespace tanagerstall

#endif
