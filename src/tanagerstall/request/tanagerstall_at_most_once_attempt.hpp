#ifndef TANAGERSTALL_AT_MOST_ONCE_ATTEMPT_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_ATTEMPT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_request.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"

#include <memory>
#include <optional>
#include <string>

namespace tanagerstall {

/// The upstream side of one non-idempotent request: a slot at an upstream and
/// a new connection to it. Both are acquired before the grant is proposed, and
/// the connection sends one request.
class AtMostOnceAttempt
{
public:
  AtMostOnceAttempt(Clock aClock,
                    Dispatcher& aDispatcher,
                    RequestTraits aTraits);
  ~AtMostOnceAttempt();
  AtMostOnceAttempt(const AtMostOnceAttempt&) = delete;
  AtMostOnceAttempt& operator=(const AtMostOnceAttempt&) = delete;

  /// Acquires a slot and connects. Accepts only the upstream with the id
  /// `aRequiredUpstream`, unless that is empty. Returns UpstreamReady or
  /// NoUpstream.
  AtMostOnceEvent Prepare(Fiber& aFiber, const std::string& aRequiredUpstream);
  /// Sends the request to the prepared upstream and reads the whole answer.
  /// Returns AttemptAnswered or AttemptLost.
  AtMostOnceEvent Send(const HttpRequest& aRequest);
  /// Releases the slot, if one is held, without having sent anything.
  void ReleaseUnsent();
  /// Whether an upstream is prepared and still accepts new requests.
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
