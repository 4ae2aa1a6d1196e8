#ifndef TANAGERSTALL_PROMPT_QUARANTINE_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_QUARANTINE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/request/tanagerstall_prompt_evidence.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace tanagerstall {

/// The prompt parts that an entry must not send to replicas because they crash
/// them, and the evidence that the entry collects for the leader. Performs no
/// I/O and reads no clock.
class PromptQuarantine
{
public:
  /// Records a request that was answered whole.
  void RecordSuccess(const PromptParts& aParts, TimePoint aNow);
  /// Records a request whose connection to a replica was lost. `aBegunAt` is
  /// when the first part of its answer arrived.
  void RecordLoss(const PromptParts& aParts,
                  const Replica& aReplica,
                  std::optional<TimePoint> aBegunAt,
                  TimePoint aNow);
  /// Returns the evidence of the last seconds.
  PromptEvidence Report(TimePoint aNow);
  /// Adopts the leader's verdicts. Parts that an earlier leader quarantined
  /// stay so until their time has passed.
  void Apply(const PromptVerdicts& aVerdicts, TimePoint aNow);
  /// Returns how long a request with these parts must still be refused;
  /// nullopt if it may be sent.
  std::optional<Duration> RemainingFor(const PromptParts& aParts,
                                       TimePoint aNow) const;
};

} // namespace tanagerstall

#endif
