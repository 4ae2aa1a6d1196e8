#ifndef TANAGERSTALL_UPSTREAM_ESTIMATE_HPP_INCLUDED
#define TANAGERSTALL_UPSTREAM_ESTIMATE_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_upstream_health.hpp"

#include <cstdint>

namespace tanagerstall {

/// Returns `aBase` times `aFactor`.
Duration
Scaled(Duration aBase, double aFactor);

/// The time that an idle upstream takes to process a prompt.
Duration
PrefillTime(double aPromptTokens);

/// One entry's estimates for one upstream, from its own attempts there.
class UpstreamEstimate
{
public:
  /// Records that a first token arrived `aDelay` later than it would have from
  /// an idle upstream.
  void OnFirstToken(Duration aDelay, TimePoint aNow);
  /// Records that `aTokens` arrived `aGap` after the previous tokens.
  void OnTokens(std::uint64_t aTokens, Duration aGap);

  /// The expected time that a new request queues at the upstream.
  Duration QueueDelay(TimePoint aNow) const;
  /// The average time between output tokens.
  Duration PerToken() const { return Duration(Duration::rep(perToken_)); }

  UpstreamHealth health_;
  std::uint32_t outstanding_ = 0;
  /// Tokens still expected from the running attempts.
  double outstandingTokens_ = 0;

private:
  /// In nanoseconds, as of `delayUpdatedAt_`.
  double queueDelay_ = 0;
  TimePoint delayUpdatedAt_{};
  /// In nanoseconds.
  double perToken_ = 25e6;
};

} // namespace tanagerstall

#endif
