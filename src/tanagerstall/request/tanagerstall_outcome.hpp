#ifndef TANAGERSTALL_OUTCOME_HPP_INCLUDED
#define TANAGERSTALL_OUTCOME_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <chrono>
#include <string_view>

namespace tanagerstall {

/// What a response tells the caller about its request.
enum class Outcome
{
  Answered,
  /// The request did not run and may be sent again.
  NotRun,
  /// The request may have run.
  Unknown,
  /// The request is recorded and will run; its outcome can be fetched later.
  Accepted
};

constexpr std::string_view kOutcomeHeader = "Tanagerstall-Outcome";

const char*
ToString(Outcome aOutcome);

/// A refusal with a JSON body. A positive `aRetryAfter` adds a Retry-After
/// header; it is meant for requests refused because of load or faults.
HttpResponse
RefusalResponse(int aStatus,
                Outcome aOutcome,
                std::string_view aCode,
                std::string_view aMessage,
                std::chrono::seconds aRetryAfter = std::chrono::seconds(0));

const char*
ToString(RefusalReason aReason);

/// The response to a request that the scheduler refused; its outcome is not
/// run.
HttpResponse
ResponseTo(const Refusal& aRefusal);

/// The refusal of a request for which no upstream is available.
HttpResponse
NoUpstreamResponse();

} // namespace tanagerstall

#endif
