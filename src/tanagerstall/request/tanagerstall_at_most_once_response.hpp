#ifndef TANAGERSTALL_AT_MOST_ONCE_RESPONSE_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_RESPONSE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_request.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerstall {

constexpr std::string_view kRequestsPrefix = "/v1/requests/";

/// Returns the path at which the outcome of a key can be fetched.
std::string
LocationOf(const std::string& aKey);

/// Returns the key in such a path, or nullopt for any other path.
std::optional<std::string>
KeyOfLocation(std::string_view aPath);

/// The response to the caller of a finished request.
HttpResponse
ResponseTo(const Finish& aFinish, const std::string& aKey);

/// The response to a caller that fetches the outcome of a recorded request.
HttpResponse
RecordedOutcomeResponse(const LedgerRecord& aRecord);

} // namespace tanagerstall

#endif
