#ifndef TANAGERSTALL_SERVICE_CALL_HPP_INCLUDED
#define TANAGERSTALL_SERVICE_CALL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"
#include "tanagerstall/version/tanagerstall_configuration.hpp"

#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// A caller's request after it has been read and checked.
struct ServiceCall
{
  /// The caller's X-Request-Id, or one that the entry made.
  std::string requestId_;
  ServiceRecord service_;
  RequestRule rule_;
  /// Empty for a request without one.
  std::string idempotencyKey_;
  /// Whether the caller asks for 202 as soon as the request is durable.
  bool isAsyncPreferred_ = false;
  /// What is sent to the upstream.
  HttpRequest upstreamRequest_;
  RequestTraits traits_;
};

/// The organisation whose bearer token a request carries, or nullptr.
const OrganisationRecord*
FindOrganisation(const HttpRequest& aRequest,
                 const Configuration& aConfiguration);

/// The refusal of a request without a known token.
HttpResponse
UnauthorisedResponse();

/// Finds the service and organisation of a request. An error is the response
/// that refuses it.
tl::expected<ServiceCall, HttpResponse>
ReadServiceCall(const HttpRequest& aRequest,
                const Configuration& aConfiguration,
                TimePoint aNow);

} // namespace tanagerstall

#endif
