#ifndef TANAGERSTALL_CLOCK_HPP_INCLUDED
#define TANAGERSTALL_CLOCK_HPP_INCLUDED

#include <chrono>
#include <functional>

namespace tanagerstall {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A length of time as a number, for rates and for what people read.
inline double
InSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

inline double
InMilliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// The runtime's source of time. Copies share one source.
class Clock
{
public:
  using NowHook = std::function<TimePoint()>;

  /// The machine's monotonic clock.
  Clock();
  /// A clock that reads `aNow`, which has to be safe to call from any thread.
  explicit Clock(NowHook aNow);

  TimePoint Now() const { return now_(); }

private:
  NowHook now_;
};

/// A clock that stands still until a test advances it.
class PausedClock
{
public:
  TimePoint Now() const { return now_; }
  void Advance(Duration aBy) { now_ += aBy; }
  /// A view of this clock, which has to outlive it.
  Clock View();

private:
  TimePoint now_{ std::chrono::hours(1) };
};

/// The time of day, for records that people read; it never orders events.
WallTime
ReadWallTime();

} // namespace tanagerstall

#endif
