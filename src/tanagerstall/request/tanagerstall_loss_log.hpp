#ifndef TANAGERSTALL_LOSS_LOG_HPP_INCLUDED
#define TANAGERSTALL_LOSS_LOG_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_crash_report.hpp"
#include "tanagerstall/request/tanagerstall_recent_successes.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <span>

namespace tanagerstall {

/// The evidence that an entry collects of a group of requests: those that were
/// answered, and those whose replica was lost. Performs no I/O and reads no
/// clock.
class LossLog
{
public:
  using Causes = std::span<const std::uint64_t>;

  /// Records a request that was answered.
  void RecordSuccess(Causes aCauses, TimePoint aNow);
  /// Records a request that was lost with its replica.
  void RecordLoss(Causes aCauses, std::uint64_t aReplica, TimePoint aNow);
  /// Returns the evidence of the last seconds, and the successes of
  /// `aSuspects`.
  LossEvidence Report(const std::set<std::uint64_t>& aSuspects, TimePoint aNow);

private:
  struct Crash
  {
    std::uint64_t cause_;
    std::uint64_t loss_;
    std::uint64_t replica_;
    TimePoint at_;
  };

  void ForgetOneCrash();

  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  /// Oldest first; without those of causes that were answered since.
  std::deque<Crash> crashes_;
  RecentSuccesses successes_;
};

} // namespace tanagerstall

#endif
