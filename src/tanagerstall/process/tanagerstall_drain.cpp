#include "tanagerstall/process/tanagerstall_drain.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Added to the discovery time to live, since a caller may have received its
/// answer just before the drain started.
constexpr Duration kDiscoveryMargin = std::chrono::milliseconds(500);
/// New requests are refused, with the outcome "not run", this long before the
/// instance is reclaimed.
constexpr Duration kRefusalLeadTime = std::chrono::seconds(1);
/// Requests that are still in progress are ended this long before the deadline,
/// so that the answers that say so can be sent.
constexpr Duration kAnswerTime = std::chrono::milliseconds(300);
/// The process ends once no request has been in progress for this time. One
/// that a caller sent just before may not have been read yet.
constexpr Duration kQuietTime = std::chrono::milliseconds(250);

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
Drain::Next(TimePoint aNow, std::size_t aRequestsInProgress)
{
  if (!isDraining_) {
    return DrainStep::Serve;
  }
  if (aNow >= deadline_) {
    return DrainStep::End;
  }
  if (aNow >= RequestsEndAt()) {
    return aRequestsInProgress > 0 ? DrainStep::EndRequests : DrainStep::End;
  }
  if (aNow < stopAcceptingAt_) {
    return DrainStep::ServeLateCallers;
  }
  if (aRequestsInProgress > 0) {
    quietSince_.reset();
    return DrainStep::FinishRequests;
  }
  if (!quietSince_) {
    quietSince_ = aNow;
  }
  bool isQuiet = aNow - *quietSince_ >= kQuietTime;
  return isQuiet ? DrainStep::End : DrainStep::FinishRequests;
}

TimePoint
Drain::RequestsEndAt() const
{
  return deadline_ == TimePoint::max() ? deadline_ : deadline_ - kAnswerTime;
}

bool
Drain::CanAcceptRequests(TimePoint aNow) const
{
  return deadline_ == TimePoint::max() || aNow + kRefusalLeadTime < deadline_;
}

} // namespace tanagerstall
