#include "tanagerstall/process/tanagerstall_drain.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// A caller may have received its discovery answer just before the drain.
constexpr Duration kDiscoveryMargin = std::chrono::milliseconds(500);
/// In the last moments before a reclaim new requests are refused as not run.
constexpr Duration kRefusalLeadTime = std::chrono::seconds(1);

} // namespace

void
Drain::Start(TimePoint aNow,
             Duration aDiscoveryTimeToLive,
             std::optional<Duration> aNotice)
{
  if (!isDraining_) {
    isDraining_ = true;
    stopAcceptingAt_ = aNow + aDiscoveryTimeToLive + kDiscoveryMargin;
  }
  if (aNotice) {
    deadline_ = std::min(deadline_, aNow + *aNotice);
  }
}

DrainStep
Drain::Next(TimePoint aNow, std::size_t aRequestsInProgress) const
{
  if (!isDraining_) {
    return DrainStep::Serve;
  }
  if (aNow >= deadline_) {
    return DrainStep::End;
  }
  if (aNow < stopAcceptingAt_) {
    return DrainStep::ServeLateCallers;
  }
  return aRequestsInProgress > 0 ? DrainStep::FinishRequests : DrainStep::End;
}

bool
Drain::CanAcceptRequests(TimePoint aNow) const
{
  return deadline_ == TimePoint::max() || aNow + kRefusalLeadTime < deadline_;
}

} // namespace tanagerstall
