#ifndef TANAGERSTALL_FORWARD_ATTEMPT_HPP_INCLUDED
#define TANAGERSTALL_FORWARD_ATTEMPT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_connection_pool.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_event_stream.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <functional>

namespace tanagerstall {

/// What one attempt came to.
struct AttemptResult
{
  AttemptOutcome outcome_ = AttemptOutcome::Broken;
  /// Whether any of the request was sent.
  bool isSent_ = false;
  /// Whether the deadline ended it.
  bool isLate_ = false;
  /// A failure that the replica answered, kept back since another replica may
  /// do better; for requests that may be repeated.
  std::optional<HttpResponse> failure_;
  /// What went wrong, in words.
  std::string detail_;
};

/// Sends a request to one replica and passes its answer on.
class ForwardAttempt
{
public:
  struct Hooks
  {
    /// Called when the request has begun to run.
    std::function<void()> onFirstPart_;
  };

  ForwardAttempt(ConnectionPool& aPool,
                 const CallerProtocol& aProtocol,
                 Clock aClock,
                 HttpExchange& aExchange,
                 ForwardedRequest& aRequest,
                 Hooks aHooks);

  /// `aReturnsFailures`: whether a failure of the replica is given back rather
  /// than passed on.
  AttemptResult Run(const Replica& aReplica, bool aReturnsFailures);

private:
  Duration RemainingTime() const;
  AttemptResult MakeFailure(const TransportError& aError, bool aIsSent) const;
  tl::expected<ConnectionPool::Lease, TransportError> Open(
    const Replica& aReplica);
  HttpConnection::Result<void> SkipBody();
  HttpConnection::Result<HttpResponse> ReadMatchingHead(bool aIsKept);
  bool IsForThisRequest(const HttpResponse& aHead) const;
  AttemptResult HandleResponse(HttpResponse aHead, bool aReturnsFailures);
  AttemptResult RelayWholeBody(HttpResponse aHead, bool aReturnsFailures);
  AttemptResult RelayStream(const HttpResponse& aHead);
  bool RelayEvents(const HttpResponse& aHead, std::string_view aBytes);

  ConnectionPool& pool_;
  const CallerProtocol& protocol_;
  Clock clock_;
  HttpExchange& exchange_;
  ForwardedRequest& request_;
  Hooks hooks_;
  HttpConnection* connection_ = nullptr;
  EventStream events_;
};

} // namespace tanagerstall

#endif
