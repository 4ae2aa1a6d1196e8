#ifndef TANAGERSTALL_ENTRY_DIRECTORY_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_DIRECTORY_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// The description that an entry sends of itself.
struct EntryInfo
{
  std::string id_;
  std::string callerAddress_;
  std::string peerAddress_;
  std::string failureDomain_;
  std::string region_;
  std::uint64_t incarnation_ = 0;
  /// The configuration revision that the entry has applied.
  std::uint64_t revision_ = 0;
  bool isDraining_ = false;
  std::uint32_t weight_ = 100;

  bool operator==(const EntryInfo&) const = default;
};

/// The entries that report to a control process.
class EntryDirectory
{
public:
  /// Handles an entry's report; reports of earlier incarnations are ignored.
  void Observe(const EntryInfo& aEntry, TimePoint aNow);
  /// Returns the entries whose last report has not expired.
  std::vector<EntryInfo> Present(TimePoint aNow) const;
  /// Returns a number that increases when Present() returns different entries
  /// or different fields other than the revision. Never 0.
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
