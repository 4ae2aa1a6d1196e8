#ifndef TANAGERSTALL_DRAIN_HPP_INCLUDED
#define TANAGERSTALL_DRAIN_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstddef>
#include <optional>

namespace tanagerstall {

/// Where a draining entry stands.
enum class DrainStep
{
  /// Not draining.
  Serve,
  /// Out of discovery; callers may still come with an earlier answer.
  ServeLateCallers,
  /// Takes no new connections; requests in progress go on.
  FinishRequests,
  End
};

/// Decides when a draining entry may end. A plain state machine.
class Drain
{
public:
  /// Starts, or with a reclaim notice bounds a drain that has started.
  /// `aNotice` is how soon the instance is lost.
  void Start(TimePoint aNow,
             Duration aDiscoveryTimeToLive,
             std::optional<Duration> aNotice);
  DrainStep Next(TimePoint aNow, std::size_t aRequestsInProgress) const;
  /// Whether a new request could still be answered before the end.
  bool CanAcceptRequests(TimePoint aNow) const;

private:
  bool isDraining_ = false;
  TimePoint stopAcceptingAt_ = TimePoint::max();
  TimePoint deadline_ = TimePoint::max();
};

} // namespace tanagerstall

#endif
