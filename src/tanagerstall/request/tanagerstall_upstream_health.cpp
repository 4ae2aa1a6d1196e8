#include "tanagerstall/request/tanagerstall_upstream_health.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Without progress for this long, an upstream has stalled: between parts of a
/// response, and while all running attempts wait for their first part.
constexpr Duration kStreamStallTimeout = std::chrono::milliseconds(500);
constexpr Duration kFirstPartStallTimeout = std::chrono::milliseconds(2500);
/// Steady progress for this long ends an ejection.
constexpr Duration kRecoveryTime = std::chrono::milliseconds(500);
constexpr Duration kMinProbeDelay = std::chrono::seconds(2);
constexpr Duration kMaxProbeDelay = std::chrono::seconds(16);

} // namespace

void
UpstreamHealth::OnSent(TimePoint aNow)
{
  if (outstanding_ == 0) {
    progressAt_ = aNow;
  }
  ++outstanding_;
}

void
UpstreamHealth::OnProgress(bool aIsFirst, TimePoint aNow)
{
  if (aIsFirst) {
    ++streaming_;
  }
  if (aNow - progressAt_ > kStreamStallTimeout) {
    steadySince_ = aNow;
  }
  progressAt_ = aNow;
  if (isEjected_ && aNow - steadySince_ >= kRecoveryTime) {
    isEjected_ = false;
    probeDelay_ = {};
  }
}

void
UpstreamHealth::OnEnd(bool aHadProgress, bool aIsFailed, TimePoint aNow)
{
  if (aIsFailed) {
    Eject(aNow);
  } else if (aHadProgress && isEjected_) {
    isEjected_ = false;
  }
  outstanding_ -= std::min(outstanding_, 1U);
  streaming_ -= std::min(streaming_, aHadProgress ? 1U : 0U);
}

bool
UpstreamHealth::CanReceive(TimePoint aNow)
{
  if (!isEjected_ && IsStalled(aNow)) {
    Eject(aNow);
  }
  if (!isEjected_) {
    return true;
  }
  return outstanding_ == 0 && aNow >= probeAt_;
}

bool
UpstreamHealth::IsStalled(TimePoint aNow) const
{
  Duration idleTime = aNow - progressAt_;
  if (streaming_ > 0) {
    return idleTime > kStreamStallTimeout;
  }
  return outstanding_ > 0 && idleTime > kFirstPartStallTimeout;
}

void
UpstreamHealth::Eject(TimePoint aNow)
{
  isEjected_ = true;
  probeDelay_ =
    std::clamp<Duration>(probeDelay_ * 2, kMinProbeDelay, kMaxProbeDelay);
  probeAt_ = aNow + probeDelay_;
  steadySince_ = aNow;
}

} // namespace tanagerstall
