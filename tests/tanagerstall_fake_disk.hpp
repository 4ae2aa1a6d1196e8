#ifndef TANAGERSTALL_FAKE_DISK_HPP_INCLUDED
#define TANAGERSTALL_FAKE_DISK_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <random>

namespace tanagerstall {

/// A disk in memory that loses content and file names that were not synced when
/// it crashes.
class FakeDisk
{
public:
  std::function<void(const std::string& aCall, const std::string& aFile)>
    onCall_ = [](const std::string&, const std::string&) {};
  bool failsSyncs_ = false;
  bool isFull_ = false;
  /// Bytes that all files together can take. An append that exceeds it writes
  /// what fits; as on a real disk, that part is removed with the next append to
  /// the file or with the file.
  std::size_t capacity_ = std::numeric_limits<std::size_t>::max();
  /// Makes syncs succeed without making content durable.
  bool ignoresSyncs_ = false;

  LogDisk Hooks()
  {
    return {
      [this](const std::string& aFile) -> std::optional<Bytes> {
        auto it = directory_.find(aFile);
        return it == directory_.end() ? std::nullopt
                                      : std::optional(it->second->content_);
      },
      [this](const std::string& aFile, BytesView aBytes) {
        onCall_("append", aFile);
        if (isFull_) {
          throw DiskFullError("no room");
        }
        Append(aFile, aBytes);
      },
      [this](const std::string& aFile, std::uint64_t aLength) {
        Open(aFile).content_.resize(aLength);
      },
      [this](const std::string& aFile) { Sync(aFile); },
      [this](const std::string& aFrom, const std::string& aTo) {
        directory_[aTo] = directory_.at(aFrom);
        directory_.erase(aFrom);
      },
      [this](const std::string& aFile) {
        directory_.erase(aFile);
        incomplete_.erase(aFile);
      },
      [this] { durableDirectory_ = directory_; },
    };
  }

  /// Simulates a crash of the machine: unsynced content is lost except, if
  /// `aIsTorn`, for a random prefix of it; unsynced changes of file names are
  /// lost in half of the crashes.
  void Crash(std::mt19937_64& aRandom, bool aIsTorn)
  {
    if (aRandom() % 2 == 0) {
      directory_ = durableDirectory_;
    }
    for (auto& [name, file] : directory_) {
      std::size_t more = file->content_.size() > file->synced_.size()
                           ? file->content_.size() - file->synced_.size()
                           : 0;
      Bytes torn = file->synced_;
      if (aIsTorn && more > 0) {
        torn.insert(
          torn.end(),
          file->content_.begin() + static_cast<std::ptrdiff_t>(torn.size()),
          file->content_.begin() +
            static_cast<std::ptrdiff_t>(torn.size() + aRandom() % more));
      }
      file->content_ = torn;
      file->synced_ = torn;
    }
    durableDirectory_ = directory_;
    incomplete_.clear();
    failsSyncs_ = false;
  }

  void Erase()
  {
    directory_.clear();
    durableDirectory_.clear();
    incomplete_.clear();
  }

  std::size_t UsedBytes() const
  {
    std::size_t used = 0;
    for (const auto& [name, file] : directory_) {
      used += file->content_.size();
    }
    return used;
  }

  Bytes& Content(const std::string& aFile)
  {
    return directory_.at(aFile)->content_;
  }

private:
  struct File
  {
    Bytes content_;
    Bytes synced_;
  };

  File& Open(const std::string& aFile)
  {
    auto& file = directory_[aFile];
    if (!file) {
      file = std::make_shared<File>();
    }
    return *file;
  }

  void Append(const std::string& aFile, BytesView aBytes)
  {
    Bytes& now = Open(aFile).content_;
    if (auto it = incomplete_.find(aFile); it != incomplete_.end()) {
      now.resize(it->second);
      incomplete_.erase(it);
    }
    std::size_t room = capacity_ - std::min(capacity_, UsedBytes());
    std::size_t before = now.size();
    auto part = aBytes.first(std::min(room, aBytes.size()));
    now.insert(now.end(), part.begin(), part.end());
    if (part.size() < aBytes.size()) {
      incomplete_[aFile] = before;
      throw DiskFullError("no room");
    }
  }

  void Sync(const std::string& aFile)
  {
    onCall_("sync", aFile);
    if (failsSyncs_) {
      throw DiskError("the sync failed");
    }
    if (!ignoresSyncs_) {
      Open(aFile).synced_ = Open(aFile).content_;
    }
  }

  std::map<std::string, std::shared_ptr<File>> directory_;
  /// The lengths that files had before an append to them failed.
  std::map<std::string, std::size_t> incomplete_;
  std::map<std::string, std::shared_ptr<File>> durableDirectory_;
};

} // namespace tanagerstall

#endif
