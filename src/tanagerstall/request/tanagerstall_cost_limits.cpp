#include "tanagerstall/request/tanagerstall_cost_limits.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Over how long demand is counted.
constexpr Duration kWantedPeriod = std::chrono::milliseconds(700);

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
CostLimits::SetShares(std::map<std::string, double> aShares,
                      double aFallback,
                      TimePoint aUntil)
{
  shares_ = std::move(aShares);
  fallback_ = aFallback;
  sharesUntil_ = aUntil;
}

double
CostLimits::ShareOf(const std::string& aOrganisation, TimePoint aNow) const
{
  auto it = shares_.find(aOrganisation);
  return it == shares_.end() || aNow >= sharesUntil_ ? fallback_ : it->second;
}

std::optional<Duration>
CostLimits::Take(const std::string& aOrganisation,
                 const CostLimit& aLimit,
                 double aCost,
                 TimePoint aNow)
{
  Bucket& bucket = buckets_[aOrganisation];
  bucket.wanted_ += aCost;
  if (aLimit.ratePerSecond_ <= 0.0) {
    return std::nullopt;
  }
  double share = ShareOf(aOrganisation, aNow);
  double rate = aLimit.ratePerSecond_ * share;
  double size = aLimit.burst_ * share;
  if (!bucket.isFilled_) {
    bucket = { size, aNow, true, bucket.wanted_ };
  }
  bucket.level_ =
    std::min(size, bucket.level_ + rate * Seconds(aNow - bucket.at_));
  bucket.at_ = aNow;
  // A request larger than the bucket passes when the bucket is full; what it
  // takes too much is paid back before the next.
  if (bucket.level_ >= std::min(aCost, size)) {
    bucket.level_ -= aCost;
    return std::nullopt;
  }
  double missing = std::min(aCost, size) - bucket.level_;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(missing / std::max(rate, 1e-9)));
}

const CountsByName&
CostLimits::Wanted(TimePoint aNow)
{
  Duration elapsed = aNow - wantedSince_;
  if (elapsed < kWantedPeriod) {
    return wanted_;
  }
  wantedSince_ = aNow;
  wanted_.clear();
  for (auto& [organisation, bucket] : buckets_) {
    double rate = bucket.wanted_ / Seconds(elapsed);
    if (rate >= 1.0) {
      wanted_[organisation] = static_cast<std::uint64_t>(rate);
    }
    bucket.wanted_ = 0.0;
  }
  return wanted_;
}

} // namespace tanagerstall
