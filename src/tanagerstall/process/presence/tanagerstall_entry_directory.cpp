#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

namespace tanagerstall {

namespace {

constexpr Duration kEntryTimeToLive = std::chrono::seconds(5);
/// How long an incarnation is remembered, so that a late message of an
/// earlier one is known for what it is.
constexpr Duration kEntryMemory = std::chrono::minutes(10);

bool
IsSameButForRevision(EntryInfo aLeft, const EntryInfo& aRight)
{
  aLeft.revision_ = aRight.revision_;
  return aLeft == aRight;
}

} // namespace

void
EntryDirectory::Observe(const EntryInfo& aEntry, TimePoint aNow)
{
  Seen& seen = entries_[aEntry.id_];
  if (aEntry.incarnation_ < seen.info_.incarnation_) {
    return;
  }
  bool wasSilent = !seen.isPresent_ || aNow - seen.at_ >= kEntryTimeToLive;
  if (wasSilent || !IsSameButForRevision(seen.info_, aEntry)) {
    ++version_;
  }
  seen = { aEntry, aNow, true };
}

std::vector<EntryInfo>
EntryDirectory::Present(TimePoint aNow) const
{
  std::vector<EntryInfo> present;
  for (const auto& [id, seen] : entries_) {
    if (aNow - seen.at_ < kEntryTimeToLive) {
      present.push_back(seen.info_);
    }
  }
  return present;
}

std::uint64_t
EntryDirectory::Version(TimePoint aNow)
{
  DropSilent(aNow);
  return version_;
}

void
EntryDirectory::DropSilent(TimePoint aNow)
{
  for (auto it = entries_.begin(); it != entries_.end();) {
    Seen& seen = it->second;
    Duration silence = aNow - seen.at_;
    if (seen.isPresent_ && silence >= kEntryTimeToLive) {
      seen.isPresent_ = false;
      ++version_;
    }
    it = silence >= kEntryMemory ? entries_.erase(it) : std::next(it);
  }
}

} // namespace tanagerstall
