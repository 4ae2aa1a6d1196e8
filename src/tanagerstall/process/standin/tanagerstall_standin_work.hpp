#ifndef TANAGERSTALL_STANDIN_WORK_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_WORK_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_faults.hpp"

#include <deque>
#include <random>

namespace tanagerstall {

/// The slots, the speed and the faults of a stand-in. Used from one thread.
class StandinWork
{
public:
  explicit StandinWork(StandinFaults aFaults);

  const StandinFaults& Faults() const { return faults_; }
  void SetFaults(const StandinFaults& aFaults, TimePoint aNow);

  /// Waits for a slot; every call is followed by Leave().
  void AcquireSlot(Fiber& aFiber);
  void ReleaseSlot();

  /// The factor on the times of the next request.
  double DrawSlowdown();
  /// The break that hits the next request.
  StandinBreak DrawBreak();

  /// Waits for the work of a plain request, or up to the first token.
  void WaitForFirstToken(Fiber& aFiber, double aSlowdown);
  void WaitForToken(Fiber& aFiber, double aSlowdown);
  void Wait(Fiber& aFiber, Duration aFor);

  /// The load to announce now, 0 to 1; negative without slots.
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
