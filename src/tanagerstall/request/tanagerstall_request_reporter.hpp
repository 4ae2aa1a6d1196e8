#ifndef TANAGERSTALL_REQUEST_REPORTER_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_REPORTER_HPP_INCLUDED

#include "tanagerstall/process/metrics/tanagerstall_decision_log.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_idempotent_dispatch.hpp"

#include <atomic>
#include <string>

namespace tanagerstall {

/// Tells operators what becomes of requests: histograms, counters, and a log
/// line for each decision. Safe from any thread.
class RequestReporter
{
public:
  RequestReporter(std::string aEntryId, Metrics& aMetrics);

  /// The id of a request: the caller's X-Request-Id, or a new one.
  std::string RegisterRequest(const HttpRequest& aRequest);
  /// The view of this reporter that dispatch tells of its attempts. It has to
  /// be used within the reporter's life.
  DispatchObserver AsObserver();
  /// Tells how a non-idempotent request ended for its caller: the status that
  /// was sent, 0 for none, and the time from its arrival.
  void OnAtMostOnceEnd(const ServiceCall& aCall, int aStatus, Duration aTime);
  /// Tells of a request that was refused before it was dispatched.
  void OnRefusal(std::string_view aRequestId, std::string_view aCode);

private:
  void OnRetry(const ServiceCall& aCall, const RetryEvent& aRetry);

  std::string entryId_;
  Metrics& metrics_;
  std::atomic<std::uint64_t> lastRequest_{ 0 };
};

} // namespace tanagerstall

#endif
