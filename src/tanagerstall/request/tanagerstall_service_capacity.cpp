#include "tanagerstall/request/tanagerstall_service_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRefreshInterval = milliseconds(100);
/// Factor on the limit at one upstream, so that attempts needn't be spread
/// evenly.
constexpr double kUpstreamOvercommit = 1.5;
/// The largest part of the slots that long work may use.
constexpr double kMaxLongShare = 0.75;
/// The part of the entry's share that short work may always use.
constexpr double kShortReservedShare = 0.4;
constexpr double kMinWindow = 0.9;
constexpr double kMaxWindow = 3;
/// The window only grows while at least this part of the slots is in use.
constexpr double kMinUsedShare = 0.6;
constexpr double kWindowStep = 0.1;
constexpr double kWindowShrinkFactor = 0.85;
constexpr Duration kLowQueueDelay = milliseconds(200);
constexpr Duration kHighQueueDelay = milliseconds(600);
constexpr Duration kShrinkInterval = milliseconds(500);

} // namespace

bool
ServiceCapacity::IsCurrent(TimePoint aNow) const
{
  return baseSlots_ > 0 && aNow - updatedAt_ < kRefreshInterval;
}

void
ServiceCapacity::SetCapacity(double aCapacity,
                             double aEntryShare,
                             TimePoint aNow)
{
  entryShare_ = aEntryShare;
  baseSlots_ = aCapacity * aEntryShare;
  updatedAt_ = aNow;
}

void
ServiceCapacity::OnStart(bool aIsLong)
{
  ++outstanding_;
  outstandingLong_ += aIsLong ? 1 : 0;
}

void
ServiceCapacity::OnEnd(bool aIsLong)
{
  --outstanding_;
  outstandingLong_ -= aIsLong ? 1 : 0;
}

void
ServiceCapacity::OnFirstToken(Duration aQueueDelay, TimePoint aNow)
{
  bool isUsed = outstanding_ > kMinUsedShare * window_ * baseSlots_;
  if (aQueueDelay < kLowQueueDelay && isUsed) {
    window_ = std::min(kMaxWindow, window_ + kWindowStep);
  } else if (aQueueDelay > kHighQueueDelay &&
             aNow - shrunkAt_ >= kShrinkInterval) {
    window_ = std::max(kMinWindow, window_ * kWindowShrinkFactor);
    shrunkAt_ = aNow;
  }
}

bool
ServiceCapacity::HasCapacity(bool aIsLong, bool aHasReservation) const
{
  double slots = window_ * baseSlots_;
  if (aIsLong && aHasReservation &&
      outstandingLong_ >= std::max(1.0, kMaxLongShare * slots)) {
    return false;
  }
  std::uint32_t outstandingShort = outstanding_ - outstandingLong_;
  if (!aIsLong && aHasReservation &&
      outstandingShort < std::max(1.0, kShortReservedShare * baseSlots_)) {
    return true;
  }
  return outstanding_ < std::max(1.0, slots);
}

bool
ServiceCapacity::HasCapacityAt(std::uint32_t aCapacity,
                               std::uint32_t aOutstanding,
                               bool aIsLong,
                               bool aHasReservation) const
{
  double share = aCapacity * entryShare_;
  double limit =
    std::max(1.0, std::ceil(share * window_ * kUpstreamOvercommit));
  if (!aIsLong && aHasReservation) {
    limit += 1;
  }
  return aOutstanding < limit;
}

} // namespace tanagerstall
