#include "tanagerstall/process/presence/tanagerstall_entry_selection.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerstall {

namespace {

/// A caller needs a second entry to fail over to.
constexpr std::size_t kMinEntries = 2;

} // namespace

std::vector<EntryInfo>
SelectEntries(const std::vector<EntryInfo>& aEntries,
              const CallerLocation& aCaller,
              std::size_t aLimit)
{
  auto matching = [&](const auto& aMatches) {
    std::vector<EntryInfo> found;
    std::copy_if(aEntries.begin(),
                 aEntries.end(),
                 std::back_inserter(found),
                 [&](const EntryInfo& aIt) {
                   return !aIt.isDraining_ && aIt.weight_ > 0 && aMatches(aIt);
                 });
    return found;
  };
  auto selected = matching([&](const EntryInfo& aIt) {
    return aIt.failureDomain_ == aCaller.failureDomain_;
  });
  if (selected.size() < kMinEntries) {
    selected = matching(
      [&](const EntryInfo& aIt) { return aIt.region_ == aCaller.region_; });
  }
  if (selected.empty()) {
    selected = matching([](const EntryInfo&) { return true; });
  }
  selected.resize(std::min(selected.size(), aLimit));
  return selected;
}

} // namespace tanagerstall
