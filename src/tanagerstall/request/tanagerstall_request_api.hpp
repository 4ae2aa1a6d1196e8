#ifndef TANAGERSTALL_REQUEST_API_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_API_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_operator_api.hpp"

namespace tanagerstall {

/// The operators' API to the ledger: GET
/// /v1/requests?state=unknown&organisation=NAME lists requests, and POST
/// /v1/requests/settle records whether a request with an unknown outcome ran.
class RequestApi
{
public:
  explicit RequestApi(OperatorHooks aHooks);

  /// Returns nullopt for a path or method that belongs to another API.
  std::optional<HttpResponse> Handle(HttpExchange& aExchange) const;

private:
  HttpResponse List(HttpExchange& aExchange) const;
  HttpResponse Settle(HttpExchange& aExchange) const;

  OperatorHooks hooks_;
};

} // namespace tanagerstall

#endif
