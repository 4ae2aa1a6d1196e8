#include "tanagerstall/request/tanagerstall_forward_refusal.hpp"

#include <iomanip>
#include <sstream>
#include <string>

namespace tanagerstall {

namespace {

constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kOverRateRetryAfter = std::chrono::milliseconds(1000);

std::string
Seconds(Duration aDuration)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << InSeconds(aDuration);
  return text.str();
}

} // namespace

const ForwardRefusal kNoConfiguration{ 503,
                                       "no_configuration",
                                       "no declaration yet",
                                       kDefaultRetryAfter };
const ForwardRefusal kNoRoute{ 404, "no_route", "no route" };
const ForwardRefusal kUnknownKey{ 401, "unknown_key", "unknown key" };
const ForwardRefusal kOverRate{ 429,
                                "over_rate",
                                "over the organisation's rate",
                                kOverRateRetryAfter };
const ForwardRefusal kNoGrant{ 429,
                               "over_rate",
                               "no grant of the organisation's rate in time",
                               kOverRateRetryAfter };
const ForwardRefusal kOverMemory{ 503,
                                  "out_of_memory",
                                  "over the organisation's memory",
                                  kDefaultRetryAfter };
const ForwardRefusal kUnavailable{ 503,
                                   "unavailable",
                                   "no replica took it",
                                   kDefaultRetryAfter };
const ForwardRefusal kBackingOff{ 503,
                                  "backing_off",
                                  "all replicas asked for fewer requests" };
const ForwardRefusal kQuarantinedPart{ 503,
                                       "prompt_quarantined",
                                       "a prompt part crashes replicas" };
const ForwardRefusal kQuarantinedRequest{ 503,
                                          "request_quarantined",
                                          "the request crashes replicas" };
const ForwardRefusal kOverloaded{ 503,
                                  "overloaded",
                                  "too little capacity for its priority" };
const ForwardRefusal kTooLate{ 503,
                               "overloaded",
                               "no response expected before the deadline" };
const ForwardRefusal kUnknownOrigin{ 503,
                                     "unknown_origin",
                                     "the stream's version isn't known",
                                     kDefaultRetryAfter };
const ForwardRefusal kStopping{ 503,
                                "stopping",
                                "the entry stops before the deadline",
                                Duration::zero() };

HttpResponse
RefusalResponse(const ForwardRefusal& aRefusal)
{
  auto response =
    JsonResponse(aRefusal.status_,
                 R"({"error":{"code":")" + std::string(aRefusal.code_) +
                   R"(","outcome":"not_run"}})");
  if (aRefusal.retryAfter_) {
    response.headers_.push_back(
      { "Retry-After", Seconds(*aRefusal.retryAfter_) });
  }
  return response;
}

HttpResponse
UnknownOutcomeResponse(int aStatus, const char* aCode)
{
  return JsonResponse(aStatus,
                      R"({"error":{"code":")" + std::string(aCode) +
                        R"(","outcome":"unknown"}})");
}

} // namespace tanagerstall
