#ifndef TANAGERSTALL_SERVICE_CALL_HPP_INCLUDED
#define TANAGERSTALL_SERVICE_CALL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"
#include "tanagerstall/version/tanagerstall_configuration.hpp"

#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// A caller's request after parsing and validation.
struct ServiceCall
{
  /// The caller's X-Request-Id, or an id that the entry generated.
  std::string requestId_;
  ServiceRecord service_;
  RequestRule rule_;
  /// Empty for a request without an idempotency key.
  std::string idempotencyKey_;
  /// Whether the caller prefers a 202 response as soon as the request is
  /// durable.
  bool isAsyncPreferred_ = false;
  /// The request that is sent to the upstream.
  HttpRequest upstreamRequest_;
  RequestTraits traits_;
};

/// Returns the organisation whose bearer token the request carries, or nullptr.
const OrganisationRecord*
FindOrganisation(const HttpRequest& aRequest,
                 const Configuration& aConfiguration);

/// Returns the 401 response to a request without a known token.
HttpResponse
UnauthorisedResponse();

/// Parses a request and finds its service and organisation. The deadline is
/// computed from `aNow`. The error is the response that refuses the request.
tl::expected<ServiceCall, HttpResponse>
ReadServiceCall(const HttpRequest& aRequest,
                const Configuration& aConfiguration,
                TimePoint aNow);

} // namespace tanagerstall

#endif
