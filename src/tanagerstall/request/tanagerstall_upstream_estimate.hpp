#ifndef TANAGERSTALL_UPSTREAM_ESTIMATE_HPP_INCLUDED
#define TANAGERSTALL_UPSTREAM_ESTIMATE_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_upstream_health.hpp"

#include <cstdint>

namespace tanagerstall {

/// `aBase` times `aFactor`.
Duration
Scaled(Duration aBase, double aFactor);

/// How long an idle upstream takes to read a prompt.
Duration
PrefillTime(double aPromptTokens);

/// What one entry believes of one upstream, from its own attempts there.
class UpstreamEstimate
{
public:
  /// A first part came `aDelay` later than an idle upstream would give it.
  void OnFirstToken(Duration aDelay, TimePoint aNow);
  /// `aTokens` came `aGap` after the part before.
  void OnTokens(std::uint64_t aTokens, Duration aGap);

  /// How long a new request waits there before its own prompt is read.
  Duration QueueDelay(TimePoint aNow) const;
  Duration PerToken() const { return Duration(Duration::rep(perToken_)); }

  UpstreamHealth health_;
  std::uint32_t outstanding_ = 0;
  /// Tokens still expected from the attempts there.
  double outstandingTokens_ = 0;

private:
  double queueDelay_ = 0;
  TimePoint delayUpdatedAt_{};
  double perToken_ = 25e6;
};

} // namespace tanagerstall

#endif
