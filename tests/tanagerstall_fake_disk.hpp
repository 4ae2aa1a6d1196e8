#ifndef TANAGERSTALL_FAKE_DISK_HPP_INCLUDED
#define TANAGERSTALL_FAKE_DISK_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"

#include <map>
#include <memory>
#include <random>

namespace tanagerstall {

/// A disk that forgets what was not synced.
class FakeDisk
{
public:
  std::function<void(const std::string& aCall, const std::string& aFile)>
    onCall_ = [](const std::string&, const std::string&) {};
  bool failsSyncs_ = false;
  /// Breaks the rule that a sync makes content durable.
  bool forgetsSyncs_ = false;

  LogDisk Hooks()
  {
    return {
      [this](const std::string& aFile) -> std::optional<Bytes> {
        auto it = names_.find(aFile);
        return it == names_.end() ? std::nullopt
                                  : std::optional(it->second->now_);
      },
      [this](const std::string& aFile, BytesView aBytes) {
        onCall_("append", aFile);
        auto& now = Open(aFile).now_;
        now.insert(now.end(), aBytes.begin(), aBytes.end());
      },
      [this](const std::string& aFile, std::uint64_t aLength) {
        Open(aFile).now_.resize(aLength);
      },
      [this](const std::string& aFile) { Sync(aFile); },
      [this](const std::string& aFrom, const std::string& aTo) {
        names_[aTo] = names_.at(aFrom);
        names_.erase(aFrom);
      },
      [this](const std::string& aFile) { names_.erase(aFile); },
      [this] { durableNames_ = names_; },
    };
  }

  /// The machine stops: what was not synced is gone, or a part of it.
  void Crash(std::mt19937_64& aRandom, bool aIsTorn)
  {
    if (aRandom() % 2 == 0) {
      names_ = durableNames_;
    }
    for (auto& [name, file] : names_) {
      std::size_t more = file->now_.size() > file->synced_.size()
                           ? file->now_.size() - file->synced_.size()
                           : 0;
      Bytes torn = file->synced_;
      if (aIsTorn && more > 0) {
        torn.insert(
          torn.end(),
          file->now_.begin() + static_cast<std::ptrdiff_t>(torn.size()),
          file->now_.begin() +
            static_cast<std::ptrdiff_t>(torn.size() + aRandom() % more));
      }
      file->now_ = torn;
      file->synced_ = torn;
    }
    durableNames_ = names_;
    failsSyncs_ = false;
  }

  void Lose()
  {
    names_.clear();
    durableNames_.clear();
  }

  Bytes& Content(const std::string& aFile) { return names_.at(aFile)->now_; }

private:
  struct File
  {
    Bytes now_;
    Bytes synced_;
  };

  File& Open(const std::string& aFile)
  {
    auto& file = names_[aFile];
    if (!file) {
      file = std::make_shared<File>();
    }
    return *file;
  }

  void Sync(const std::string& aFile)
  {
    onCall_("sync", aFile);
    if (failsSyncs_) {
      throw DiskError("the sync failed");
    }
    if (!forgetsSyncs_) {
      Open(aFile).synced_ = Open(aFile).now_;
    }
  }

  std::map<std::string, std::shared_ptr<File>> names_;
  std::map<std::string, std::shared_ptr<File>> durableNames_;
};

} // namespace tanagerstall

#endif
