#include "tanagerstall/request/tanagerstall_usage_counter.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The number of latest windows that are reported.
constexpr std::size_t kReportedWindows = 4;

} // namespace

UsageCounter::UsageCounter(Duration aWindow, WallClock aWallClock)
  : window_(aWindow)
  , wallClock_(std::move(aWallClock))
{
}

void
UsageCounter::Count(const std::string& aOrganisation)
{
  auto length = ToMilliseconds(window_);
  ++counts_[wallClock_().time_since_epoch() / length][aOrganisation];
  while (counts_.size() > kReportedWindows) {
    counts_.erase(counts_.begin());
  }
}

std::vector<UsageWindow>
UsageCounter::Latest() const
{
  std::vector<UsageWindow> latest;
  for (const auto& [window, counts] : counts_) {
    latest.push_back({ window, counts });
  }
  return latest;
}

void
UsageTotals::Merge(const std::string& aRun,
                   const std::vector<UsageWindow>& aUsage)
{
  for (const auto& usage : aUsage) {
    CountsByName& known = windows_[usage.window_][aRun];
    for (const auto& [organisation, count] : usage.counts_) {
      known[organisation] = std::max(known[organisation], count);
    }
  }
}

CountsByName
UsageTotals::TotalOf(std::int64_t aWindow) const
{
  CountsByName sum;
  if (auto it = windows_.find(aWindow); it != windows_.end()) {
    for (const auto& [run, counts] : it->second) {
      for (const auto& [organisation, count] : counts) {
        sum[organisation] += count;
      }
    }
  }
  return sum;
}

void
UsageTotals::RemoveBefore(std::int64_t aWindow)
{
  windows_.erase(windows_.begin(), windows_.lower_bound(aWindow));
}

} // namespace tanagerstall
