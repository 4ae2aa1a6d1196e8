#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <memory>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace tanagerstall {

namespace {

constexpr std::uint64_t kFrameMagic = 0x6c6174736e617467ULL;

struct FrameHeader
{
  std::uint64_t magic_;
  std::uint64_t length_;
  std::uint64_t contentChecksum_;
  /// Checksum of the fields above.
  std::uint64_t headerChecksum_;
};

std::uint64_t
HeaderChecksum(const FrameHeader& aHeader)
{
  return Checksum({ reinterpret_cast<const std::uint8_t*>(&aHeader),
                    offsetof(FrameHeader, headerChecksum_) });
}

/// Returns the content of the frame at an offset, or nothing if there is no
/// whole frame.
std::optional<BytesView>
FrameAt(BytesView aFile, std::uint64_t aOffset)
{
  if (aFile.size() - aOffset < sizeof(FrameHeader)) {
    return std::nullopt;
  }
  FrameHeader header{};
  std::memcpy(&header, aFile.data() + aOffset, sizeof(header));
  std::uint64_t remaining = aFile.size() - aOffset - sizeof(header);
  if (header.magic_ != kFrameMagic ||
      header.headerChecksum_ != HeaderChecksum(header) ||
      header.length_ > remaining) {
    return std::nullopt;
  }
  auto content = aFile.subspan(aOffset + sizeof(header), header.length_);
  if (Checksum(content) != header.contentChecksum_) {
    return std::nullopt;
  }
  return content;
}

[[noreturn]] void
ThrowSystemError(const std::string& aWhat, const std::filesystem::path& aFile)
{
  int error = errno;
  std::string text =
    "can't " + aWhat + " " + aFile.string() + ": " + std::strerror(error);
  if (error == ENOSPC || error == EDQUOT) {
    throw DiskFullError(text);
  }
  throw DiskError(text);
}

/// A folder with an exclusive lock, and its files opened for writing.
class LockedFolder
{
public:
  explicit LockedFolder(std::filesystem::path aPath)
    : path_(std::move(aPath))
  {
    std::error_code error;
    std::filesystem::create_directories(path_, error);
    SyncParent();
    folder_ = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder_ < 0) {
      ThrowSystemError("open", path_);
    }
    if (::flock(folder_, LOCK_EX | LOCK_NB) != 0) {
      ::close(folder_);
      throw DiskError("the data folder " + path_.string() +
                      " is in use by another process");
    }
  }
  ~LockedFolder()
  {
    for (auto& [name, file] : files_) {
      ::close(file);
    }
    ::close(folder_);
  }
  LockedFolder(const LockedFolder&) = delete;
  LockedFolder& operator=(const LockedFolder&) = delete;

  std::optional<Bytes> Read(const std::string& aFile)
  {
    int file = ::open((path_ / aFile).c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) {
      if (errno == ENOENT) {
        return std::nullopt;
      }
      ThrowSystemError("open", path_ / aFile);
    }
    struct stat status = {};
    bool isWhole = ::fstat(file, &status) == 0;
    Bytes bytes(static_cast<std::size_t>(status.st_size));
    std::size_t done = 0;
    while (isWhole && done < bytes.size()) {
      auto count = ::read(file, bytes.data() + done, bytes.size() - done);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      isWhole = count > 0;
      done += isWhole ? static_cast<std::size_t>(count) : 0;
    }
    int error = errno;
    ::close(file);
    if (!isWhole) {
      errno = error;
      ThrowSystemError("read", path_ / aFile);
    }
    return bytes;
  }

  /// Appends all bytes or none: a part that was written before the disk was
  /// full is removed, at the latest before the next append.
  void Append(const std::string& aFile, BytesView aBytes)
  {
    int file = Open(aFile);
    RemoveIncomplete(aFile);
    std::uint64_t length = LengthOf(aFile);
    while (!aBytes.empty()) {
      auto count = ::write(file, aBytes.data(), aBytes.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        incomplete_[aFile] = length;
        ThrowSystemError("write", path_ / aFile);
      }
      aBytes = aBytes.subspan(static_cast<std::size_t>(count));
    }
  }

  void Truncate(const std::string& aFile, std::uint64_t aLength)
  {
    if (::ftruncate(Open(aFile), static_cast<off_t>(aLength)) != 0) {
      ThrowSystemError("truncate", path_ / aFile);
    }
    auto& synced = synced_[aFile];
    synced = std::min(synced, aLength);
  }

  /// If the sync fails, what was appended since the last one is removed before
  /// the next append: a later sync need not cover it.
  void Sync(const std::string& aFile)
  {
    if (::fdatasync(Open(aFile)) != 0) {
      incomplete_[aFile] = synced_[aFile];
      ThrowSystemError("sync", path_ / aFile);
    }
    synced_[aFile] = LengthOf(aFile);
  }

  void Rename(const std::string& aFrom, const std::string& aTo)
  {
    Close(aFrom);
    Close(aTo);
    incomplete_.erase(aTo);
    if (::rename((path_ / aFrom).c_str(), (path_ / aTo).c_str()) != 0) {
      ThrowSystemError("rename", path_ / aFrom);
    }
  }

  void Remove(const std::string& aFile)
  {
    Close(aFile);
    incomplete_.erase(aFile);
    if (::unlink((path_ / aFile).c_str()) != 0 && errno != ENOENT) {
      ThrowSystemError("remove", path_ / aFile);
    }
  }

  void SyncFolder()
  {
    if (::fsync(folder_) != 0) {
      ThrowSystemError("sync", path_);
    }
  }

private:
  /// Makes the folder's entry in its parent durable.
  void SyncParent() const
  {
    auto parent = std::filesystem::absolute(path_).parent_path();
    int folder = ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool isSynced = folder >= 0 && ::fsync(folder) == 0;
    ::close(folder);
    if (!isSynced) {
      ThrowSystemError("sync", parent);
    }
  }

  /// Removes what is left of an append that failed.
  void RemoveIncomplete(const std::string& aFile)
  {
    auto it = incomplete_.find(aFile);
    if (it == incomplete_.end()) {
      return;
    }
    if (LengthOf(aFile) != it->second) {
      Truncate(aFile, it->second);
    }
    incomplete_.erase(it);
  }

  std::uint64_t LengthOf(const std::string& aFile)
  {
    auto length = ::lseek(Open(aFile), 0, SEEK_END);
    if (length < 0) {
      ThrowSystemError("seek in", path_ / aFile);
    }
    return static_cast<std::uint64_t>(length);
  }

  int Open(const std::string& aFile)
  {
    auto it = files_.find(aFile);
    if (it != files_.end()) {
      return it->second;
    }
    int file = ::open(
      (path_ / aFile).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0) {
      ThrowSystemError("open", path_ / aFile);
    }
    files_[aFile] = file;
    synced_[aFile] = LengthOf(aFile);
    return file;
  }

  void Close(const std::string& aFile)
  {
    auto it = files_.find(aFile);
    if (it != files_.end()) {
      ::close(it->second);
      files_.erase(it);
      synced_.erase(aFile);
    }
  }

  std::filesystem::path path_;
  int folder_ = -1;
  std::map<std::string, int> files_;
  /// The lengths of open files at their last sync.
  std::map<std::string, std::uint64_t> synced_;
  /// The lengths that files had before an append or a sync failed.
  std::map<std::string, std::uint64_t> incomplete_;
};

/// Removes a file, unless the full disk refuses that as well.
void
RemoveIfRoom(const LogDisk& aDisk, const std::string& aFile)
{
  try {
    aDisk.remove_(aFile);
  } catch (const DiskFullError&) {
    // The next ReplaceFile() of this file removes it first.
  }
}

} // namespace

LogDisk
OpenLogDisk(const std::filesystem::path& aFolder)
{
  auto folder = std::make_shared<LockedFolder>(aFolder);
  return {
    [folder](const std::string& aFile) { return folder->Read(aFile); },
    [folder](const std::string& aFile, BytesView aBytes) {
      folder->Append(aFile, aBytes);
    },
    [folder](const std::string& aFile, std::uint64_t aLength) {
      folder->Truncate(aFile, aLength);
    },
    [folder](const std::string& aFile) { folder->Sync(aFile); },
    [folder](const std::string& aFrom, const std::string& aTo) {
      folder->Rename(aFrom, aTo);
    },
    [folder](const std::string& aFile) { folder->Remove(aFile); },
    [folder] { folder->SyncFolder(); },
  };
}

void
ReplaceFile(const LogDisk& aDisk, const std::string& aFile, BytesView aBytes)
{
  std::string temporary = aFile + ".new";
  aDisk.remove_(temporary);
  try {
    aDisk.append_(temporary, aBytes);
    aDisk.sync_(temporary);
    aDisk.rename_(temporary, aFile);
  } catch (const DiskFullError&) {
    // What was written would take the room that appends to other files need.
    RemoveIfRoom(aDisk, temporary);
    throw;
  }
  aDisk.syncFolder_();
}

Bytes
MakeFrame(BytesView aContent)
{
  FrameHeader header{ kFrameMagic, aContent.size(), Checksum(aContent), 0 };
  header.headerChecksum_ = HeaderChecksum(header);
  Bytes frame(sizeof(header) + aContent.size());
  std::memcpy(frame.data(), &header, sizeof(header));
  std::copy(aContent.begin(), aContent.end(), frame.begin() + sizeof(header));
  return frame;
}

FrameScan
ScanFrames(BytesView aFile, const std::string& aName)
{
  FrameScan scan;
  while (auto content = FrameAt(aFile, scan.end_)) {
    scan.frames_.push_back(*content);
    scan.end_ += sizeof(FrameHeader) + content->size();
  }
  for (std::uint64_t at = scan.end_ + 1;
       at + sizeof(FrameHeader) <= aFile.size();
       ++at) {
    if (FrameAt(aFile, at)) {
      throw DiskError(aName + " is corrupt at byte " +
                      std::to_string(scan.end_) +
                      ", before whole records; replace this member");
    }
  }
  return scan;
}

} // namespace tanagerstall
