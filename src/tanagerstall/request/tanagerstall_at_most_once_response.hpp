#ifndef TANAGERSTALL_AT_MOST_ONCE_RESPONSE_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_RESPONSE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_request.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerstall {

constexpr std::string_view kRequestsPrefix = "/v1/requests/";

/// The path at which the outcome of a key can be fetched.
std::string
LocationOf(const std::string& aKey);

/// The key in such a path; nothing for another path.
std::optional<std::string>
KeyOfLocation(std::string_view aPath);

/// What the caller hears of a request that ended.
HttpResponse
ResponseTo(const Finish& aFinish, const std::string& aKey);

/// The answer to fetching the outcome of a record.
HttpResponse
RecordedOutcomeResponse(const LedgerRecord& aRecord);

} // namespace tanagerstall

#endif
