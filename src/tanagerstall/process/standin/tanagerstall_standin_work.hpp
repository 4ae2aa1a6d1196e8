#ifndef TANAGERSTALL_STANDIN_WORK_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_WORK_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_faults.hpp"

#include <deque>
#include <random>

namespace tanagerstall {

/// Simulates the slots, the speed and the faults of a stand-in. Used from one
/// thread.
class StandinWork
{
public:
  explicit StandinWork(StandinFaults aFaults);

  const StandinFaults& Faults() const { return faults_; }
  /// Replaces the faults and starts waiting requests that now have a slot.
  void SetFaults(const StandinFaults& aFaults, TimePoint aNow);

  /// Waits for a slot. Every call must be followed by ReleaseSlot().
  void AcquireSlot(Fiber& aFiber);
  void ReleaseSlot();

  /// Draws the factor on the times of the next request.
  double DrawSlowdown();
  /// Returns the break of the next request and counts it.
  StandinBreak DrawBreak();

  /// Waits for the time to the first token, or for the time of a plain request.
  void WaitForFirstToken(Fiber& aFiber, double aSlowdown);
  void WaitForToken(Fiber& aFiber, double aSlowdown);
  /// Waits for the given time and for the end of a stall.
  void Wait(Fiber& aFiber, Duration aFor);

  /// Records the current load and returns the one to announce, from 0 to 1;
  /// negative without a limit of slots.
  double ReportLoad(TimePoint aNow);

private:
  struct LoadSample
  {
    TimePoint at_;
    double load_;
  };

  Clock clock_;
  StandinFaults faults_;
  std::mt19937_64 random_;
  TimePoint stalledUntil_{};
  std::uint32_t running_ = 0;
  std::deque<Fiber::Resume> waiting_;
  std::deque<LoadSample> loads_;
};

} // namespace tanagerstall

#endif
