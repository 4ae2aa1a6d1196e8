#include "tanagerstall/request/tanagerstall_recent_successes.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

constexpr unsigned kPlaceBits = 11;
/// Spreads ids that differ in a few bits only.
constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15ULL;

} // namespace

std::size_t
RecentSuccesses::PlaceOf(std::uint64_t aId)
{
  return (aId * kSpread) >> (64U - kPlaceBits);
}

void
RecentSuccesses::Record(std::uint64_t aId, TimePoint aNow)
{
  if (places_.empty()) {
    places_.resize(std::size_t{ 1 } << kPlaceBits);
  }
  Place& place = places_[PlaceOf(aId)];
  auto it = std::find_if(place.begin(), place.end(), [&](const Success& aIt) {
    return aIt.id_ == aId;
  });
  if (it == place.end()) {
    it = std::min_element(
      place.begin(), place.end(), [](const Success& aLeft, const Success& aIt) {
        return aLeft.at_ < aIt.at_;
      });
  }
  *it = { aId, aNow };
}

std::optional<TimePoint>
RecentSuccesses::Find(std::uint64_t aId) const
{
  if (places_.empty()) {
    return std::nullopt;
  }
  const Place& place = places_[PlaceOf(aId)];
  auto it = std::find_if(place.begin(), place.end(), [&](const Success& aIt) {
    return aIt.id_ == aId && aIt.at_ != TimePoint();
  });
  return it == place.end() ? std::nullopt : std::optional(it->at_);
}

} // namespace tanagerstall
