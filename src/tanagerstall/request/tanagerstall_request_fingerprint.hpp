#ifndef TANAGERSTALL_REQUEST_FINGERPRINT_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_FINGERPRINT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"

#include <cstdint>
#include <string_view>

namespace tanagerstall {

/// Identifies what a request asks for: the same for each request of the
/// organisation with the same method, host, path, query and body, at any entry.
/// Never 0.
std::uint64_t
FingerprintOf(const HttpRequest& aRequest, std::string_view aOrganisation);

} // namespace tanagerstall

#endif
