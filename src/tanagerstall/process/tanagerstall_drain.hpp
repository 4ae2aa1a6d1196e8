#ifndef TANAGERSTALL_DRAIN_HPP_INCLUDED
#define TANAGERSTALL_DRAIN_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstddef>
#include <optional>

namespace tanagerstall {

/// The phases of a drain, in order.
enum class DrainStep
{
  /// No drain has started.
  Serve,
  /// The entry is absent from discovery, but callers may still use an earlier
  /// discovery answer.
  ServeLateCallers,
  /// New connections are not accepted; requests in progress continue.
  FinishRequests,
  /// Requests in progress are ended with what is known of their outcome.
  EndRequests,
  /// The process may end.
  End
};

/// Decides when a draining entry may end. A state machine without I/O.
class Drain
{
public:
  /// Starts the drain. If it has already started, only an earlier deadline has
  /// an effect. `aNotice` is the time until the instance is reclaimed.
  void Start(TimePoint aNow,
             Duration aDiscoveryTimeToLive,
             std::optional<Duration> aNotice);
  /// Returns the phase of the drain at `aNow`.
  DrainStep Next(TimePoint aNow, std::size_t aRequestsInProgress);
  /// When requests in progress are ended; TimePoint::max() without a notice.
  TimePoint RequestsEndAt() const;
  /// Whether enough time is left before the deadline to accept a new request.
  bool CanAcceptRequests(TimePoint aNow) const;

private:
  bool isDraining_ = false;
  TimePoint stopAcceptingAt_ = TimePoint::max();
  TimePoint deadline_ = TimePoint::max();
  /// Since when no request has been in progress, while none are accepted.
  std::optional<TimePoint> quietSince_;
};

} // namespace tanagerstall

#endif
