#ifndef TANAGERSTALL_CLOCK_HPP_INCLUDED
#define TANAGERSTALL_CLOCK_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <functional>

namespace tanagerstall {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Converts a duration to a number, for rates and for output.
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

inline std::chrono::milliseconds
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
}

inline std::int64_t
WholeMilliseconds(Duration aTime)
{
  return ToMilliseconds(aTime).count();
}

/// A monotonic time source. Copies read the same source.
class Clock
{
public:
  using NowHook = std::function<TimePoint()>;

  /// Reads the time since the machine started, with its suspensions.
  Clock();
  /// Reads `aNow`, which must be safe to call from any thread.
  explicit Clock(NowHook aNow);

  TimePoint Now() const { return now_(); }

private:
  NowHook now_;
};

/// A clock for tests whose time changes only by Advance().
class PausedClock
{
public:
  TimePoint Now() const { return now_; }
  void Advance(Duration aBy) { now_ += aBy; }
  /// Returns a clock that reads this one, which must outlive it.
  Clock View();

private:
  TimePoint now_{ std::chrono::hours(1) };
};

/// Returns for how long the machine was suspended since it started.
Duration
ReadSuspendedTime();

/// Returns the system time, for records that people read and for the times in
/// orders of operators. Events of different processes are ordered by it in two
/// places, both of roll-outs. The window in which an order counts as repeated
/// compares times of receipt, so it tolerates few seconds between the clocks of
/// control processes. Which replicas are older than a completed roll-out
/// compares their start times with its end, so a replica whose clock is behind
/// that of the leader may count as older although it started later.
WallTime
ReadWallTime();

} // namespace tanagerstall

#endif
