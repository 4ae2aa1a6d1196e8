#ifndef TANAGERSTALL_USAGE_COUNTER_HPP_INCLUDED
#define TANAGERSTALL_USAGE_COUNTER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <functional>
#include <map>
#include <vector>

namespace tanagerstall {

/// Counts at an entry the requests that began to run, by window of the wall
/// clock and organisation.
class UsageCounter
{
public:
  using WallClock = std::function<WallTime()>;

  UsageCounter(Duration aWindow, WallClock aWallClock);

  void Count(const std::string& aOrganisation);
  /// The counts of the latest windows; each grows until its window has ended.
  std::vector<UsageWindow> Latest() const;

private:
  Duration window_;
  WallClock wallClock_;
  std::map<std::int64_t, CountsByName> counts_;
};

/// Adds up at a control process what the entries count. What an entry says of
/// a window replaces what the same run of it said before.
class UsageTotals
{
public:
  /// `aRun` names one run of an entry.
  void Merge(const std::string& aRun, const std::vector<UsageWindow>& aUsage);
  /// The sum of a window's counts.
  CountsByName TotalOf(std::int64_t aWindow) const;
  /// Forgets the windows before one.
  void RemoveBefore(std::int64_t aWindow);

private:
  std::map<std::int64_t, std::map<std::string, CountsByName>> windows_;
};

} // namespace tanagerstall

#endif
