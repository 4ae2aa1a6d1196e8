#ifndef TANAGERSTALL_CRASH_QUARANTINE_HPP_INCLUDED
#define TANAGERSTALL_CRASH_QUARANTINE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/request/tanagerstall_crash_report.hpp"
#include "tanagerstall/request/tanagerstall_loss_log.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagerstall {

/// The prompt parts and requests that an entry must not send to replicas
/// because they crash them, and the evidence that the entry collects for the
/// leader. Performs no I/O and reads no clock.
class CrashQuarantine
{
public:
  /// A request that crashes its replica does so within this time from the first
  /// part of its answer.
  static constexpr Duration kBeginning = std::chrono::milliseconds(100);

  /// Records a request that was answered whole, or is still being answered
  /// after that time.
  void RecordSuccess(const RequestCauses& aCauses, TimePoint aNow);
  /// Records a request whose connection to a replica was lost. `aBegunAt` is
  /// when the first part of its answer arrived.
  void RecordLoss(const RequestCauses& aCauses,
                  const Replica& aReplica,
                  std::optional<TimePoint> aBegunAt,
                  TimePoint aNow);
  /// Returns the evidence of the last seconds.
  CrashReport Report(TimePoint aNow);
  /// Adopts the leader's verdicts. Causes that an earlier leader quarantined
  /// stay so until their time has passed.
  void Apply(const CrashVerdicts& aVerdicts, TimePoint aNow);
  /// Returns how long a request with these causes must still be refused;
  /// nullopt if it may be sent.
  std::optional<Duration> RemainingFor(const RequestCauses& aCauses,
                                       TimePoint aNow) const;
  /// Whether one of the causes may crash replicas, so that a request with it
  /// must not be repeated after its replica was lost.
  bool IsSuspected(const RequestCauses& aCauses) const;

private:
  std::optional<Duration> RemainingForOne(std::uint64_t aCause,
                                          TimePoint aNow) const;
  LossLog& LogOf(std::string_view aService);

  LossLog prompts_;
  /// Apart from the prompt parts, so that requests that come once each don't
  /// take the place of parts.
  std::map<std::string, LossLog, std::less<>> services_;
  std::set<std::uint64_t> suspects_;
  /// When the quarantine of each cause ends.
  std::map<std::uint64_t, TimePoint> quarantined_;
};

} // namespace tanagerstall

#endif
