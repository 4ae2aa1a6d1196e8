#ifndef TANAGERSTALL_SERVICE_CAPACITY_HPP_INCLUDED
#define TANAGERSTALL_SERVICE_CAPACITY_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>

namespace tanagerstall {

/// Limits how many attempts one entry runs at the upstreams of one service: the
/// entry's share of their capacity times a window. The window grows while first
/// tokens arrive without delay, as other entries then leave capacity unused,
/// and shrinks while requests queue at upstreams.
class ServiceCapacity
{
public:
  /// Whether the capacity was set recently enough to be used.
  bool IsCurrent(TimePoint aNow) const;
  /// Sets the total capacity of the upstreams and this entry's part of it.
  void SetCapacity(double aCapacity, double aEntryShare, TimePoint aNow);

  void OnStart(bool aIsLong);
  void OnEnd(bool aIsLong);
  /// Counts a running attempt as long that was started as short.
  void OnDemotion() { ++outstandingLong_; }
  /// Adjusts the window by the time that an attempt queued at its upstream.
  void OnFirstToken(Duration aQueueDelay, TimePoint aNow);

  /// Whether one more attempt may run. With `aHasReservation`, long work leaves
  /// part of the capacity free, and short work also has slots of its own.
  bool HasCapacity(bool aIsLong, bool aHasReservation) const;
  /// Whether one upstream may run one more attempt, given its capacity and
  /// the attempts that this entry runs there.
  bool HasCapacityAt(std::uint32_t aCapacity,
                     std::uint32_t aOutstanding,
                     bool aIsLong,
                     bool aHasReservation) const;

private:
  double entryShare_ = 1;
  /// This entry's share of the slots of all upstreams, before the window.
  double baseSlots_ = 0;
  double window_ = 1.5;
  std::uint32_t outstanding_ = 0;
  std::uint32_t outstandingLong_ = 0;
  TimePoint updatedAt_{};
  TimePoint shrunkAt_{};
};

} // namespace tanagerstall

#endif
