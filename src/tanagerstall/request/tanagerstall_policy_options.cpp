#include "tanagerstall/request/tanagerstall_policy_options.hpp"

namespace tanagerstall {

PolicyOptions
BaselinePolicy(UpstreamChoice aChoice)
{
  PolicyOptions options;
  options.choice_ = aChoice;
  options.hasConcurrencyLimit_ = false;
  options.hasFairQueueing_ = false;
  options.hasShortFirst_ = false;
  options.hasShortReservation_ = false;
  options.hasEnginePriority_ = false;
  options.hasLengthEstimates_ = false;
  options.hasDemotion_ = false;
  options.hasEjection_ = false;
  options.hasMoves_ = false;
  options.hasEarlyRefusal_ = false;
  options.hasPrefixAffinity_ = false;
  options.hasRegionPreference_ = false;
  return options;
}

} // namespace tanagerstall
