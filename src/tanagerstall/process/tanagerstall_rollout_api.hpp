#ifndef TANAGERSTALL_ROLLOUT_API_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_API_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/tanagerstall_rollout_orders.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace tanagerstall {

/// How operators are answered about an order.
struct RolloutAnswer
{
  int status_ = 200;
  /// Both are empty for an order that was accepted, also before.
  const char* code_ = "";
  std::string message_;
};

RolloutAnswer
AnswerTo(const RolloutResult& aResult);

/// Functions of the control process that the roll-out routes use. They can be
/// called from traffic threads.
struct RolloutApiHooks
{
  std::function<RolloutResult(Fiber&, const RolloutOrder&)> start_;
  std::function<tl::expected<RolloutsByService, GroupError>(Fiber&)> read_;
};

/// The operators' HTTP interface to roll-outs.
///
///   POST /v1/rollouts            orders {"service", "version", "duration_ms"}
///   GET  /v1/rollouts            lists the latest roll-out of each service
///   GET  /v1/rollouts/SERVICE    returns the latest one of a service
class RolloutApi
{
public:
  explicit RolloutApi(RolloutApiHooks aHooks);

  /// Returns nothing for a request that these routes don't serve.
  std::optional<HttpResponse> Handle(HttpExchange& aExchange) const;

  /// Decodes the body of an order. The error is a message for the operator.
  static tl::expected<RolloutOrder, std::string> ReadOrder(
    std::string_view aBody);

private:
  HttpResponse Start(HttpExchange& aExchange) const;
  /// Lists all roll-outs, or returns that of `aService`.
  HttpResponse List(Fiber& aFiber, std::optional<std::string> aService) const;

  RolloutApiHooks hooks_;
};

} // namespace tanagerstall

#endif
