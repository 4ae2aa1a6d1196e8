#include "tanagerstall/process/tanagerstall_loop_delay.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <utility>

namespace tanagerstall {

namespace {

/// A task that is less late than this is on time.
constexpr Duration kTolerated = std::chrono::milliseconds(50);

} // namespace

LoopDelay::LoopDelay(Duration aInterval)
  : interval_(aInterval)
{
}

std::optional<LoopDelay::Lag>
LoopDelay::Observe(TimePoint aNow, Duration aSuspended)
{
  bool isFirst = !observedAt_;
  Duration delay = aNow - observedAt_.value_or(aNow - interval_) - interval_;
  Duration suspended = isFirst ? Duration::zero() : aSuspended - suspended_;
  observedAt_ = aNow;
  suspended_ = aSuspended;
  Lag lag{ delay, suspended, std::exchange(reports_, 0) };
  bool isLag = delay > kTolerated || suspended > kTolerated;
  return isLag ? std::optional(lag) : std::nullopt;
}

void
LogLag(const LoopDelay::Lag& aLag)
{
  LogEvent(Severity::Warning,
           "control thread delayed",
           { { "delay_ms", WholeMilliseconds(aLag.delay_) },
             { "suspended_ms", WholeMilliseconds(aLag.suspended_) },
             { "reports", aLag.reports_ } });
}

} // namespace tanagerstall
