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

/// What a traffic thread needs to route requests. Immutable once published.
struct RoutingSnapshot
{
  std::shared_ptr<const Configuration> configuration_;
  std::map<std::string, std::vector<PresentUpstream>, std::less<>> upstreams_;
  std::vector<EntryInfo> entries_;
  /// When a control member last confirmed the configuration; TimePoint::min()
  /// if none has.
  TimePoint confirmedAt_ = TimePoint::min();

  /// Returns the present upstreams of a service; empty if it is unknown.
  const std::vector<PresentUpstream>& UpstreamsOf(
    std::string_view aService) const;
  /// Returns whether a control member confirmed the configuration recently.
  bool IsControlReachable(TimePoint aNow) const;
};

} // namespace tanagerstall

#endif
