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
LoopDelay::Observe(TimePoint aNow)
{
  Duration delay = aNow - observedAt_.value_or(aNow - interval_) - interval_;
  observedAt_ = aNow;
  Lag lag{ delay, std::exchange(reports_, 0) };
  return delay > kTolerated ? std::optional(lag) : std::nullopt;
}

void
LogLag(const LoopDelay::Lag& aLag)
{
  auto delay =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLag.delay_);
  LogEvent(Severity::Warning,
           "control thread delayed",
           { { "delay_ms", delay.count() }, { "reports", aLag.reports_ } });
}

} // namespace tanagerstall
