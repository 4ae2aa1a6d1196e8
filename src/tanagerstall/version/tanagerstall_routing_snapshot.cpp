#include "tanagerstall/version/tanagerstall_routing_snapshot.hpp"

namespace tanagerstall {

namespace {

constexpr Duration kControlTimeout = std::chrono::seconds(5);

} // namespace

const std::vector<PresentUpstream>&
RoutingSnapshot::UpstreamsOf(std::string_view aService) const
{
  static const std::vector<PresentUpstream> none;
  auto it = upstreams_.find(aService);
  return it == upstreams_.end() ? none : it->second;
}

bool
RoutingSnapshot::IsControlReachable(TimePoint aNow) const
{
  return confirmedAt_ != TimePoint::min() &&
         aNow - confirmedAt_ < kControlTimeout;
}

} // namespace tanagerstall
