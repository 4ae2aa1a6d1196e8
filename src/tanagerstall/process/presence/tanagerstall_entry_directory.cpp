#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

namespace tanagerstall {

namespace {

constexpr Duration kEntryTimeToLive = std::chrono::seconds(5);
/// How long an expired entry is kept, so that delayed reports of its earlier
/// incarnations are still ignored.
constexpr Duration kEntryRetention = std::chrono::minutes(10);

bool
IsEqualExceptRevision(EntryInfo aLeft, const EntryInfo& aRight)
{
  aLeft.revision_ = aRight.revision_;
  return aLeft == aRight;
}

} // namespace

void
EntryDirectory::Observe(const EntryInfo& aEntry, TimePoint aNow)
{
  KnownEntry& known = entries_[aEntry.id_];
  if (aEntry.incarnation_ < known.info_.incarnation_) {
    return;
  }
  bool wasAbsent =
    !known.isPresent_ || aNow - known.receivedAt_ >= kEntryTimeToLive;
  if (wasAbsent || !IsEqualExceptRevision(known.info_, aEntry)) {
    ++version_;
  }
  known = { aEntry, aNow, true };
}

std::vector<EntryInfo>
EntryDirectory::Present(TimePoint aNow) const
{
  std::vector<EntryInfo> present;
  for (const auto& [id, known] : entries_) {
    if (aNow - known.receivedAt_ < kEntryTimeToLive) {
      present.push_back(known.info_);
    }
  }
  return present;
}

std::uint64_t
EntryDirectory::Version(TimePoint aNow)
{
  ExpireEntries(aNow);
  return version_;
}

void
EntryDirectory::ExpireEntries(TimePoint aNow)
{
  for (auto it = entries_.begin(); it != entries_.end();) {
    KnownEntry& known = it->second;
    Duration age = aNow - known.receivedAt_;
    if (known.isPresent_ && age >= kEntryTimeToLive) {
      known.isPresent_ = false;
      ++version_;
    }
    it = age >= kEntryRetention ? entries_.erase(it) : std::next(it);
  }
}

} // namespace tanagerstall
