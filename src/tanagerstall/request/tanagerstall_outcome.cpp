#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace tanagerstall {

const char*
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Unknown:
      return "unknown";
    case Outcome::Accepted:
      return "accepted";
  }
  return "unknown";
}

HttpResponse
RefusalResponse(int aStatus,
                Outcome aOutcome,
                std::string_view aCode,
                std::string_view aMessage,
                std::chrono::seconds aRetryAfter)
{
  boost::json::object error{ { "code", aCode },
                             { "message", aMessage },
                             { "outcome", ToString(aOutcome) } };
  boost::json::object body{ { "error", error } };
  HttpResponse response = JsonResponse(aStatus, boost::json::serialize(body));
  response.headers_.push_back(
    { std::string(kOutcomeHeader), ToString(aOutcome) });
  if (aRetryAfter.count() > 0) {
    response.headers_.push_back(
      { "Retry-After", std::to_string(aRetryAfter.count()) });
  }
  return response;
}

HttpResponse
NoUpstreamResponse()
{
  return RefusalResponse(503,
                         Outcome::NotRun,
                         "no_upstream",
                         "no upstream can take this request now",
                         std::chrono::seconds(1));
}

const char*
ToString(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::UnknownService:
      return "unknown_service";
    case RefusalReason::NoUpstream:
      return "no_upstream";
    case RefusalReason::Overloaded:
      return "overloaded";
    case RefusalReason::DeadlineTooNear:
      return "deadline_too_near";
  }
  return "refused";
}

HttpResponse
ResponseTo(const Refusal& aRefusal)
{
  auto retryAfter =
    std::max(std::chrono::ceil<std::chrono::seconds>(aRefusal.retryAfter_),
             std::chrono::seconds(1));
  return RefusalResponse(503,
                         Outcome::NotRun,
                         ToString(aRefusal.reason_),
                         "the request was refused before it ran",
                         retryAfter);
}

} // namespace tanagerstall
