#include "tanagerstall/process/tanagerstall_long_response_demand.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// Smaller differences of the late shares are chance.
constexpr double kTolerance = 0.05;
/// The exponential rate per second at which the part follows the late shares.
/// Responses take seconds to show its effect.
constexpr double kRatePerSecond = 0.1;
/// Long responses hold their slots for seconds, so with less they would wait
/// for each other although the others gain little.
constexpr double kMinPart = 0.5;
/// Longer gaps between two updates say nothing of the time between.
constexpr std::chrono::duration<double> kMaxElapsed{ 1.0 };

} // namespace

std::optional<std::uint32_t>
LongResponseDemand::Update(std::uint32_t aRunning,
                           LateShare aLong,
                           LateShare aOthers,
                           TimePoint aNow)
{
  auto elapsed = std::min<std::chrono::duration<double>>(
    aNow - updatedAt_.value_or(aNow), kMaxElapsed);
  updatedAt_ = aNow;
  double rate = 0.0;
  if (aLong && aOthers && *aOthers > *aLong + kTolerance) {
    rate = -kRatePerSecond;
  } else if (!aOthers || !aLong || *aOthers < kTolerance ||
             *aLong > *aOthers + kTolerance) {
    rate = kRatePerSecond;
  }
  part_ = std::clamp(part_ * std::exp(rate * elapsed.count()), kMinPart, 1.0);
  if (part_ == 1.0) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::lround(part_ * aRunning));
}

} // namespace tanagerstall
