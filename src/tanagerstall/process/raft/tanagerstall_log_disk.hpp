#ifndef TANAGERSTALL_LOG_DISK_HPP_INCLUDED
#define TANAGERSTALL_LOG_DISK_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <filesystem>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace tanagerstall {

/// The disk failed or holds damage; the process can't go on.
class DiskError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// The files of one data folder. Every hook throws DiskError on a failure.
struct LogDisk
{
  /// The whole content; nothing where there is no such file.
  std::function<std::optional<Bytes>(const std::string& aFile)> read_;
  /// Writes at the end; makes the file where there is none.
  std::function<void(const std::string& aFile, BytesView aBytes)> append_;
  /// Cuts the file to a length in bytes.
  std::function<void(const std::string& aFile, std::uint64_t aLength)>
    truncate_;
  /// Makes the content durable.
  std::function<void(const std::string& aFile)> sync_;
  std::function<void(const std::string& aFrom, const std::string& aTo)> rename_;
  std::function<void(const std::string& aFile)> remove_;
  /// Makes the names of the files durable.
  std::function<void()> syncFolder_;
};

/// The files of a real folder, which is made where it is missing. Holds a
/// lock, so that no second process uses the folder.
LogDisk
OpenLogDisk(const std::filesystem::path& aFolder);

/// Replaces a file by one with this content, durably and all or nothing.
void
ReplaceFile(const LogDisk& aDisk, const std::string& aFile, BytesView aBytes);

/// Content with its length and checksums ahead of it.
Bytes
MakeFrame(BytesView aContent);

/// The frames of a file.
struct FrameScan
{
  std::vector<BytesView> frames_;
  /// Bytes up to the end of the last whole frame.
  std::uint64_t end_ = 0;
};

/// Reads frames up to a torn tail. Throws DiskError where a whole frame
/// follows the first broken one: that is damage and no torn write.
FrameScan
ScanFrames(BytesView aFile, const std::string& aName);

} // namespace tanagerstall

#endif
