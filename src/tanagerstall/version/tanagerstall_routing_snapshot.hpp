#ifndef TANAGERSTALL_ROUTING_SNAPSHOT_HPP_INCLUDED
#define TANAGERSTALL_ROUTING_SNAPSHOT_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"
#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"
#include "tanagerstall/version/tanagerstall_configuration.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerstall {

/// All that a traffic thread needs to route. Immutable once published.
struct RoutingSnapshot
{
  std::shared_ptr<const Configuration> configuration_;
  std::map<std::string, std::vector<PresentUpstream>, std::less<>> upstreams_;
  std::vector<EntryInfo> entries_;
  /// When control was last heard of; TimePoint::min() for never.
  TimePoint confirmedAt_ = TimePoint::min();

  const std::vector<PresentUpstream>& UpstreamsOf(
    std::string_view aService) const;
  /// Whether control has been heard of lately.
  bool IsControlReachable(TimePoint aNow) const;
};

} // namespace tanagerstall

#endif
