#ifndef TANAGERSTALL_ANNOUNCEMENT_HPP_INCLUDED
#define TANAGERSTALL_ANNOUNCEMENT_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerstall {

/// Reads the JSON body of an upstream's announcement. The time to live is
/// limited to kMaxAnnouncementTimeToLive. The error names the invalid field.
tl::expected<UpstreamInfo, std::string>
ReadAnnouncement(std::string_view aBody);

/// Returns the JSON body that announces an upstream.
std::string
WriteAnnouncement(const UpstreamInfo& aUpstream);

} // namespace tanagerstall

#endif
