#ifndef TANAGERSTALL_ENTRY_DIRECTORY_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_DIRECTORY_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// What an entry says of itself.
struct EntryInfo
{
  std::string id_;
  std::string callerAddress_;
  std::string peerAddress_;
  std::string failureDomain_;
  std::string region_;
  std::uint64_t incarnation_ = 0;
  /// The configuration revision in force there.
  std::uint64_t revision_ = 0;
  bool isDraining_ = false;
  std::uint32_t weight_ = 100;

  bool operator==(const EntryInfo&) const = default;
};

/// The entries that control has heard of lately.
class EntryDirectory
{
public:
  /// Takes in what an entry says; an earlier incarnation changes nothing.
  void Observe(const EntryInfo& aEntry, TimePoint aNow);
  /// The entries heard of within the time to live.
  std::vector<EntryInfo> Present(TimePoint aNow) const;
  /// Grows when Present() gives other entries than before, or other fields
  /// than the revision. Never 0.
  std::uint64_t Version(TimePoint aNow);

private:
  struct KnownEntry
  {
    EntryInfo info_;
    TimePoint receivedAt_;
    bool isPresent_ = false;
  };

  void ExpireEntries(TimePoint aNow);

  std::map<std::string, KnownEntry> entries_;
  std::uint64_t version_ = 1;
};

} // namespace tanagerstall

#endif
