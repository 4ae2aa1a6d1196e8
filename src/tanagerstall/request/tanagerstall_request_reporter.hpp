#ifndef TANAGERSTALL_REQUEST_REPORTER_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_REPORTER_HPP_INCLUDED

#include "tanagerstall/process/metrics/tanagerstall_decision_log.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_idempotent_dispatch.hpp"

#include <atomic>
#include <string>

namespace tanagerstall {

/// Records the progress of requests in histograms and counters, and logs each
/// decision. Thread-safe.
class RequestReporter
{
public:
  RequestReporter(std::string aEntryId, Metrics& aMetrics);

  /// Counts a request and returns its id: the caller's X-Request-Id, or a new
  /// id if that is missing or too long.
  std::string RegisterRequest(const HttpRequest& aRequest);
  /// Returns an observer that forwards dispatch events to this reporter. The
  /// reporter has to outlive it.
  DispatchObserver AsObserver();
  /// Records the end of a non-idempotent request: the status sent to the
  /// caller, or 0 if none was sent, and the time since the request's arrival.
  void OnAtMostOnceEnd(const ServiceCall& aCall, int aStatus, Duration aTime);
  /// Records a refused or failed request under the error code `aCode`.
  void OnRefusal(std::string_view aRequestId, std::string_view aCode);

private:
  void OnRetry(const ServiceCall& aCall, const RetryEvent& aRetry);

  std::string entryId_;
  Metrics& metrics_;
  std::atomic<std::uint64_t> lastRequest_{ 0 };
};

} // namespace tanagerstall

#endif
