#ifndef TANAGERSTALL_LOOP_DELAY_HPP_INCLUDED
#define TANAGERSTALL_LOOP_DELAY_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <optional>

namespace tanagerstall {

/// Detects that a control thread falls behind: a periodic task of it runs late
/// when the thread has more work than its share of the processor, or when the
/// machine was suspended. Reads no clock.
class LoopDelay
{
public:
  /// A period in which the thread fell behind.
  struct Lag
  {
    /// By how much the periodic task was late.
    Duration delay_{ 0 };
    /// For how long the machine was suspended.
    Duration suspended_{ 0 };
    /// Reports handled since the task ran last.
    std::uint32_t reports_ = 0;
  };

  /// `aInterval` is the time between two runs of the task.
  explicit LoopDelay(Duration aInterval);

  void CountReport() { ++reports_; }
  /// Call it at each run of the task, with the whole time for which the machine
  /// was suspended since it started. Returns the lag if it is one.
  std::optional<Lag> Observe(TimePoint aNow, Duration aSuspended);

private:
  Duration interval_;
  std::optional<TimePoint> observedAt_;
  Duration suspended_{ 0 };
  std::uint32_t reports_ = 0;
};

/// Logs that the control thread fell behind.
void
LogLag(const LoopDelay::Lag& aLag);

} // namespace tanagerstall

#endif
