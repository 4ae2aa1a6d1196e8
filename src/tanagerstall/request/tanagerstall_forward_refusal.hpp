#ifndef TANAGERSTALL_FORWARD_REFUSAL_HPP_INCLUDED
#define TANAGERSTALL_FORWARD_REFUSAL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <optional>

namespace tanagerstall {

/// Why a request that has not run is refused.
struct ForwardRefusal
{
  int status_;
  const char* code_;
  /// The reason that is logged.
  const char* reason_;
  std::optional<Duration> retryAfter_ = std::nullopt;
};

extern const ForwardRefusal kNoConfiguration;
extern const ForwardRefusal kNoRoute;
extern const ForwardRefusal kUnknownKey;
extern const ForwardRefusal kOverRate;
/// The leader has not granted the request's cost in time, although the limit
/// may have room.
extern const ForwardRefusal kNoGrant;
/// The organisation's requests hold too much memory here.
extern const ForwardRefusal kOverMemory;
extern const ForwardRefusal kUnavailable;
extern const ForwardRefusal kBackingOff;
extern const ForwardRefusal kQuarantinedPart;
extern const ForwardRefusal kQuarantinedRequest;
/// More urgent requests need the capacity.
extern const ForwardRefusal kOverloaded;
/// No response is expected before the request's deadline.
extern const ForwardRefusal kTooLate;
/// It is not known which software version began the stream that the request
/// resumes.
extern const ForwardRefusal kUnknownOrigin;
/// The entry stops before the request's deadline; another entry may serve it.
extern const ForwardRefusal kStopping;

/// Returns the response that refuses a request.
HttpResponse
RefusalResponse(const ForwardRefusal& aRefusal);

/// Returns the response to a request that may have run.
HttpResponse
UnknownOutcomeResponse(int aStatus, const char* aCode);

} // namespace tanagerstall

#endif
