#ifndef TANAGERSTALL_PROMPT_QUARANTINE_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_QUARANTINE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/request/tanagerstall_prompt_evidence.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace tanagerstall {

/// The prompt parts that an entry must not send to replicas because they crash
/// them, and the evidence that the entry collects for the leader. Performs no
/// I/O and reads no clock.
class PromptQuarantine
{
public:
  /// A request that crashes its replica does so within this time from the first
  /// part of its answer.
  static constexpr Duration kBeginning = std::chrono::milliseconds(100);

  /// Records a request that was answered whole, or is still being answered
  /// after that time.
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
  /// Whether one of the parts may crash replicas, so that a request with it
  /// must not be repeated after its replica was lost.
  bool IsSuspected(const PromptParts& aParts) const;

private:
  struct Crash
  {
    std::uint64_t part_;
    std::uint64_t loss_;
    std::uint64_t replica_;
    TimePoint at_;
  };

  void ForgetOldSuccesses(TimePoint aNow);
  void ForgetOneCrash();

  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  /// Oldest first; without those of parts that were answered since.
  std::deque<Crash> crashes_;
  std::unordered_map<std::uint64_t, TimePoint> lastSuccess_;
  std::set<std::uint64_t> suspects_;
  /// When the quarantine of each part ends.
  std::map<std::uint64_t, TimePoint> quarantined_;
};

} // namespace tanagerstall

#endif
