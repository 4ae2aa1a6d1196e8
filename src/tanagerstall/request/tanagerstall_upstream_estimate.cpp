#include "tanagerstall/request/tanagerstall_upstream_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

constexpr double kNewDelayWeight = 0.4;
constexpr double kNewGapWeight = 0.1;
/// A delay that isn't observed again decays by a factor of e in this time.
constexpr Duration kDelayDecay = std::chrono::seconds(5);

double
Ratio(Duration aPart, Duration aWhole)
{
  return std::chrono::duration<double>(aPart) /
         std::chrono::duration<double>(aWhole);
}

} // namespace

Duration
Scaled(Duration aBase, double aFactor)
{
  return Duration(Duration::rep(static_cast<double>(aBase.count()) * aFactor));
}

Duration
PrefillTime(double aPromptTokens)
{
  constexpr Duration kPerPromptToken = std::chrono::microseconds(250);
  return Scaled(kPerPromptToken, aPromptTokens);
}

void
UpstreamEstimate::OnFirstToken(Duration aDelay, TimePoint aNow)
{
  double delay = static_cast<double>(std::max(aDelay, Duration(0)).count());
  double before = static_cast<double>(QueueDelay(aNow).count());
  queueDelay_ = before + kNewDelayWeight * (delay - before);
  delayUpdatedAt_ = aNow;
}

void
UpstreamEstimate::OnTokens(std::uint64_t aTokens, Duration aGap)
{
  if (aTokens == 0) {
    return;
  }
  double perToken =
    static_cast<double>(aGap.count()) / static_cast<double>(aTokens);
  perToken_ += kNewGapWeight * (perToken - perToken_);
}

Duration
UpstreamEstimate::QueueDelay(TimePoint aNow) const
{
  double age = std::max(0.0, Ratio(aNow - delayUpdatedAt_, kDelayDecay));
  return Duration(Duration::rep(queueDelay_ * std::exp(-age)));
}

} // namespace tanagerstall
