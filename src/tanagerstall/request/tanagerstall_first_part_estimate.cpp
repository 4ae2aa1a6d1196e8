#include "tanagerstall/request/tanagerstall_first_part_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// The weight of the newest response in the means of a rank, and in the time
/// per token, which changes less.
constexpr double kMeanSmoothing = 0.1;
constexpr double kSlopeSmoothing = 0.02;
/// A wait counts as at most this multiple of the mean, plus `kSlackS`, so that
/// one stalled replica doesn't determine the estimate.
constexpr double kMaxFactor = 3.0;
constexpr double kSlackS = 0.1;
/// Without new responses the estimate decays by a factor of e in this time,
/// since refusals must not keep up an estimate that has become wrong.
constexpr std::chrono::duration<double> kDecay{ 2.0 };
/// The deviations of responses before the means are known would be too large.
constexpr std::uint32_t kMinSamples = 8;

} // namespace

void
FirstPartEstimate::Observe(std::uint32_t aRank,
                           std::uint64_t aTokens,
                           Duration aWait,
                           TimePoint aNow)
{
  auto tokens = static_cast<double>(aTokens);
  RankMeans& means = ranks_[aRank];
  double wait = InSeconds(aWait);
  if (means.samples_ > 0) {
    wait = std::min(wait, kMaxFactor * means.waitS_ + kSlackS);
  }
  // The first responses have equal weights.
  double weight = std::max(kMeanSmoothing, 1.0 / (means.samples_ + 1.0));
  double tokensOff = tokens - means.tokens_;
  double waitOff = wait - means.waitS_;
  means.tokens_ += weight * tokensOff;
  means.waitS_ += weight * waitOff;
  means.sampledAt_ = aNow;
  if (++means.samples_ > kMinSamples) {
    variance_ += kSlopeSmoothing * (tokensOff * tokensOff - variance_);
    covariance_ += kSlopeSmoothing * (tokensOff * waitOff - covariance_);
  }
}

Duration
FirstPartEstimate::Estimate(std::uint32_t aRank,
                            std::uint64_t aTokens,
                            TimePoint aNow) const
{
  auto it = ranks_.find(aRank);
  if (it == ranks_.end()) {
    return Duration::zero();
  }
  const RankMeans& means = it->second;
  double slope = variance_ > 0.0 ? std::max(0.0, covariance_ / variance_) : 0.0;
  // No prompt is estimated to take less than nothing, nor a rank's mean prompt
  // more than its mean wait.
  slope = std::min(slope, means.waitS_ / std::max(means.tokens_, 1.0));
  double wait =
    means.waitS_ + slope * (static_cast<double>(aTokens) - means.tokens_);
  double age = std::chrono::duration<double>(aNow - means.sampledAt_) / kDecay;
  wait *= std::exp(-age);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(wait));
}

} // namespace tanagerstall
