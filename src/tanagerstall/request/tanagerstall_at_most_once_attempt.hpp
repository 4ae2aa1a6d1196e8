#ifndef TANAGERSTALL_AT_MOST_ONCE_ATTEMPT_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_ATTEMPT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_request.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"

#include <memory>
#include <optional>
#include <string>

namespace tanagerstall {

/// The upstream side of one non-idempotent request: a place at an upstream
/// and a fresh connection to it, made before the grant and used once.
class AtMostOnceAttempt
{
public:
  AtMostOnceAttempt(Clock aClock,
                    Dispatcher& aDispatcher,
                    RequestTraits aTraits);
  ~AtMostOnceAttempt();
  AtMostOnceAttempt(const AtMostOnceAttempt&) = delete;
  AtMostOnceAttempt& operator=(const AtMostOnceAttempt&) = delete;

  /// Takes a place and connects; only at `aRequiredUpstream` unless it is
  /// empty.
  AtMostOnceEvent Prepare(Fiber& aFiber, const std::string& aRequiredUpstream);
  /// Sends once and waits for the whole answer.
  AtMostOnceEvent Send(const HttpRequest& aRequest);
  /// Gives up a place of which nothing was sent.
  void ReleaseUnsent();
  /// Whether the prepared upstream may still get new work.
  bool IsPresent() const;

private:
  bool Acquire(Fiber& aFiber, const std::string& aRequiredUpstream);
  void End(AttemptEnd aEnd);

  Clock clock_;
  Dispatcher& dispatcher_;
  RequestTraits traits_;
  std::optional<Dispatch> dispatch_;
  std::unique_ptr<HttpConnection> connection_;
};

} // namespace tanagerstall

#endif
