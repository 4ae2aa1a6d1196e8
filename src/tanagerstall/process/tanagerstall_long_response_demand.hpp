#ifndef TANAGERSTALL_LONG_RESPONSE_DEMAND_HPP_INCLUDED
#define TANAGERSTALL_LONG_RESPONSE_DEMAND_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <optional>

namespace tanagerstall {

/// The share of recent responses that began later than their routes' target
/// latencies; nullopt if there were too few of them.
using LateShare = std::optional<double>;

/// Decides for how many long responses of a service replicas are reserved while
/// the other requests of the service are late more often than the long ones:
/// for those in progress, then for fewer. At other times the usual part of the
/// replicas is reserved. Designed for long prompts with a high priority that
/// queue beside replicas which long responses don't fill. Reads no clock.
class LongResponseDemand
{
public:
  /// Returns the number to reserve for; nullopt for the usual part.
  std::optional<std::uint32_t> Update(std::uint32_t aRunning,
                                      LateShare aLong,
                                      LateShare aOthers,
                                      TimePoint aNow);

private:
  double part_ = 1.0;
  std::optional<TimePoint> updatedAt_;
};

} // namespace tanagerstall

#endif
