#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <ctime>
#include <utility>

namespace tanagerstall {

namespace {

Duration
ReadTime(clockid_t aClock)
{
  timespec time{};
  ::clock_gettime(aClock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

Clock::Clock()
  // Leases and time limits also end while the machine is suspended.
  // CLOCK_MONOTONIC, which std::chrono::steady_clock reads, doesn't count that
  // time; its time points must not be mixed with these.
  : now_([] { return TimePoint(ReadTime(CLOCK_BOOTTIME)); })
{
}

Clock::Clock(NowHook aNow)
  : now_(std::move(aNow))
{
}

Clock
PausedClock::View()
{
  return Clock([this] { return now_; });
}

Duration
ReadSuspendedTime()
{
  // Only one of the two clocks counts that time. They are read again if the
  // thread was interrupted in between.
  constexpr Duration kMaxReadTime = std::chrono::milliseconds(1);
  constexpr int kMaxReads = 5;
  Duration suspended{ 0 };
  for (int i = 0; i < kMaxReads; ++i) {
    Duration before = ReadTime(CLOCK_MONOTONIC);
    suspended = ReadTime(CLOCK_BOOTTIME) - before;
    if (ReadTime(CLOCK_MONOTONIC) - before < kMaxReadTime) {
      break;
    }
  }
  return suspended;
}

WallTime
ReadWallTime()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

} // namespace tanagerstall
