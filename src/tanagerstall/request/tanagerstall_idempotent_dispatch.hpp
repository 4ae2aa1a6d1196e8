#ifndef TANAGERSTALL_IDEMPOTENT_DISPATCH_HPP_INCLUDED
#define TANAGERSTALL_IDEMPOTENT_DISPATCH_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"
#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include <functional>

namespace tanagerstall {

/// Describes a failed attempt that is followed by another one.
struct RetryEvent
{
  std::string reason_;
  /// The upstream of the failed attempt.
  std::string upstream_;
  /// Whether the next attempt continues an answer that was partly generated.
  bool isResume_ = false;
  /// Prompt and generated tokens that the next attempt has to compute again.
  std::uint64_t recomputedTokens_ = 0;
};

/// Callbacks for the events of a request's dispatch.
struct DispatchObserver
{
  std::function<void(const ServiceCall&, const RetryEvent&)> onRetry_;
  /// Receives a latency of the request.
  std::function<void(const ServiceCall&, Measure, Duration)> onMeasurement_;
  /// Called when the request was refused or all its attempts failed.
  std::function<void(const ServiceCall&, std::string_view aReason)> onRefusal_;
};

/// Forwards idempotent requests to upstreams. A lost or stalled attempt is
/// retried within the retry budget; a completion continues where the lost
/// attempt ended.
class IdempotentDispatch
{
public:
  IdempotentDispatch(Clock aClock,
                     Dispatcher& aDispatcher,
                     DispatchObserver aObserver);

  /// Responds to one exchange with the complete answer or with an error that
  /// states whether the request may have run. Aborts the exchange if a started
  /// answer can't be completed.
  void Forward(HttpExchange& aExchange, ServiceCall aCall);

private:
  Clock clock_;
  Dispatcher& dispatcher_;
  DispatchObserver observer_;
};

} // namespace tanagerstall

#endif
