#ifndef TANAGERSTALL_SERVICE_CAPACITY_HPP_INCLUDED
#define TANAGERSTALL_SERVICE_CAPACITY_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>

namespace tanagerstall {

/// How many attempts one entry may run at the upstreams of one service. It
/// starts from the entry's share of their capacity. The share is multiplied by
/// a window that grows while first tokens come at once, since other entries
/// then leave room, and shrinks while requests queue at upstreams.
class ServiceCapacity
{
public:
  /// Whether the capacity was counted lately enough.
  bool IsCurrent(TimePoint aNow) const;
  /// Sets the capacity of all upstreams and the part of it that is ours.
  void SetCapacity(double aCapacity, double aEntryShare, TimePoint aNow);

  void OnStart(bool aIsLong);
  void OnEnd(bool aIsLong);
  /// An attempt counted as short turned out long.
  void OnDemotion() { ++outstandingLong_; }
  /// An attempt's first token came after waiting at the upstream.
  void OnFirstToken(Duration aQueueDelay, TimePoint aNow);

  /// Whether one more attempt may run. With `aHasReservation`, long work leaves
  /// part of the room to short work, which has a few places of its own besides.
  bool HasCapacity(bool aIsLong, bool aHasReservation) const;
  /// The same for one upstream of a capacity, with attempts running there.
  bool HasCapacityAt(std::uint32_t aCapacity,
                     std::uint32_t aOutstanding,
                     bool aIsLong,
                     bool aHasReservation) const;

private:
  double entryShare_ = 1;
  /// Places over all upstreams.
  double baseSlots_ = 0;
  double window_ = 1.5;
  std::uint32_t outstanding_ = 0;
  std::uint32_t outstandingLong_ = 0;
  TimePoint updatedAt_{};
  TimePoint shrunkAt_{};
};

} // namespace tanagerstall

#endif
