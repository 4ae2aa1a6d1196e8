#ifndef TANAGERSTALL_IDEMPOTENT_DISPATCH_HPP_INCLUDED
#define TANAGERSTALL_IDEMPOTENT_DISPATCH_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"
#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include <functional>

namespace tanagerstall {

/// An attempt was lost and another one follows.
struct RetryEvent
{
  std::string reason_;
  /// The upstream that was lost.
  std::string upstream_;
  /// Whether part of the answer is kept and the next attempt goes on behind it.
  bool isResume_ = false;
  /// Prompt and generated tokens that the next attempt computes again.
  std::uint64_t recomputedTokens_ = 0;
};

/// What repeatable dispatch reports of its attempts.
struct DispatchObserver
{
  std::function<void(const ServiceCall&, const RetryEvent&)> onRetry_;
  /// A time of the request is known.
  std::function<void(const ServiceCall&, Measure, Duration)> onMeasurement_;
  /// The request was refused.
  std::function<void(const ServiceCall&, std::string_view aReason)> onRefusal_;
};

/// Carries idempotent requests to upstreams. An attempt that is lost or
/// stalls is followed by another within the retry budget; a completion goes
/// on where the lost attempt ended.
class IdempotentDispatch
{
public:
  IdempotentDispatch(Clock aClock,
                     Dispatcher& aDispatcher,
                     DispatchObserver aObserver);

  /// Answers one exchange, whole or with a truthful refusal.
  void Forward(HttpExchange& aExchange, ServiceCall aCall);

private:
  Clock clock_;
  Dispatcher& dispatcher_;
  DispatchObserver observer_;
};

} // namespace tanagerstall

#endif
