#ifndef TANAGERSTALL_HOST_NAME_HPP_INCLUDED
#define TANAGERSTALL_HOST_NAME_HPP_INCLUDED

#include <string>
#include <string_view>

namespace tanagerstall {

/// Returns the one spelling of a host, as a Host field or the configuration
/// gives it (RFC 9110, section 4.2.3): in small letters, without port and final
/// dot. An IPv6 address keeps its brackets.
std::string
NormalizeHost(std::string_view aHost);

} // namespace tanagerstall

#endif
