#ifndef TANAGERSTALL_FORWARD_ATTEMPT_HPP_INCLUDED
#define TANAGERSTALL_FORWARD_ATTEMPT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_connection_pool.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_buffer_budget.hpp"
#include "tanagerstall/request/tanagerstall_event_stream.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <functional>

namespace tanagerstall {

/// The result of one attempt to forward a request.
struct AttemptResult
{
  AttemptOutcome outcome_ = AttemptOutcome::Broken;
  /// Whether any part of the request was sent.
  bool isSent_ = false;
  /// Whether the head of a response arrived.
  bool hasHead_ = false;
  /// When the first event of a stream arrived.
  std::optional<TimePoint> begunAt_;
  /// Whether the caller has received a whole response.
  bool isRelayed_ = false;
  /// Whether a 2xx response arrived whole.
  bool isSuccess_ = false;
  /// Whether the connection was lost after the request was sent.
  bool isConnectionLost_ = false;
  /// Whether the replica ran the request and answered with a server error.
  bool isServerError_ = false;
  /// Whether the attempt failed after the request's deadline.
  bool isLate_ = false;
  /// A 5xx response that was not relayed, because another replica may succeed.
  /// Set only if the request may be retried.
  std::optional<HttpResponse> failure_;
  /// A description of the failure for the log.
  std::string detail_;

  /// Whether the replica may have run the request, or may still do so.
  bool MayHaveRun() const;
};

/// What all attempts of an entry share.
struct ForwardResources
{
  ConnectionPool& pool_;
  BufferBudget& buffers_;
  const std::shared_ptr<MemoryBudget>& memory_;
  const CallerProtocol& protocol_;
  Clock clock_;
};

/// Sends a request to one replica and relays the response to the caller.
class ForwardAttempt
{
public:
  struct Hooks
  {
    /// Called when the first part of a response has arrived.
    std::function<void()> onFirstPart_;
    /// Called for each event of a stream, with the time since the first one.
    std::function<void(Duration)> onEvent_;
    /// Called for each response of the replica that says something of it.
    std::function<void(const ReplicaNotice&)> onNotice_;
    /// Called for the response to this request, with what it says of the
    /// replica and when the request was sent.
    std::function<void(const ReplicaNotice&, TimePoint)> onOwnNotice_;
    /// Returns whether the request may still be sent to the replica.
    std::function<bool()> maySend_;
  };

  ForwardAttempt(ForwardResources aResources,
                 HttpExchange& aExchange,
                 ForwardedRequest& aRequest,
                 Hooks aHooks);

  /// If `aReturnsFailures` is set, a 5xx response is returned in the result
  /// instead of being relayed to the caller.
  AttemptResult Run(const Replica& aReplica, bool aReturnsFailures);
  /// Makes Run() return soon. Call from the thread on which it runs.
  void Stop();

private:
  Duration RemainingTime() const;
  AttemptResult MakeFailure(const TransportError& aError, bool aIsSent) const;
  tl::expected<ConnectionPool::Lease, TransportError> Open(
    const Replica& aReplica);
  HttpConnection::Result<std::optional<std::string>> ReadBodyPart();
  HttpConnection::Result<void> SkipBody();
  ReplicaNotice ReadNotice(const HttpResponse& aHead);
  HttpConnection::Result<HttpResponse> ReadMatchingHead(bool aIsReused);
  bool IsForThisRequest(const HttpResponse& aHead, bool aIsReused) const;
  AttemptResult HandleResponse(HttpResponse aHead, bool aReturnsFailures);
  AttemptResult RelayWholeBody(HttpResponse aHead, bool aReturnsFailures);
  AttemptResult RelayStream(const HttpResponse& aHead);
  void StartStream(const HttpResponse& aHead);
  bool RelayEvents(const HttpResponse& aHead, std::string_view aBytes);

  ForwardResources resources_;
  HttpExchange& exchange_;
  ForwardedRequest& request_;
  Hooks hooks_;
  HttpConnection* connection_ = nullptr;
  std::string replicaId_;
  std::string replicaVersion_;
  bool isStopped_ = false;
  EventStream events_;
  /// Whether the replica has said that it leaves.
  bool isLeaving_ = false;
  TimePoint sentAt_;
  std::optional<TimePoint> begunAt_;
};

} // namespace tanagerstall

#endif
