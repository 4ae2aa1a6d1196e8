#ifndef TANAGERSTALL_USAGE_COUNTER_HPP_INCLUDED
#define TANAGERSTALL_USAGE_COUNTER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <functional>
#include <map>
#include <vector>

namespace tanagerstall {

/// Counts an entry's started requests by wall-clock window and organisation.
class UsageCounter
{
public:
  using WallClock = std::function<WallTime()>;

  UsageCounter(Duration aWindow, WallClock aWallClock);

  /// Counts one request in the current window.
  void Count(const std::string& aOrganisation);
  /// Returns the counts of the latest windows. The counts of a window grow
  /// until it has ended.
  std::vector<UsageWindow> Latest() const;

private:
  Duration window_;
  WallClock wallClock_;
  std::map<std::int64_t, CountsByName> counts_;
};

/// Totals the counts of all entries at a control process. For each window and
/// run of an entry, the largest reported count is used, so reports may repeat.
class UsageTotals
{
public:
  /// Merges a report; `aRun` identifies one run of an entry.
  void Merge(const std::string& aRun, const std::vector<UsageWindow>& aUsage);
  /// Returns a window's counts, summed over all runs.
  CountsByName TotalOf(std::int64_t aWindow) const;
  /// Removes all windows before `aWindow`.
  void RemoveBefore(std::int64_t aWindow);

private:
  std::map<std::int64_t, std::map<std::string, CountsByName>> windows_;
};

} // namespace tanagerstall

#endif
