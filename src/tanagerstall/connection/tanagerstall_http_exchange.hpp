#ifndef TANAGERSTALL_HTTP_EXCHANGE_HPP_INCLUDED
#define TANAGERSTALL_HTTP_EXCHANGE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/connection/tanagerstall_http_message.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace tanagerstall {

/// A request to the server and its response. Handled on the connection's
/// fiber.
class HttpExchange
{
public:
  struct State;

  explicit HttpExchange(State& aState);

  const HttpRequest& Request() const;
  Fiber& GetFiber();

  /// Counts the request's body to its organisation. Returns false if all of the
  /// organisation's requests hold too much memory; the request may be refused.
  bool HoldFor(const std::string& aOrganisation);

  /// Sends a complete response. Call either this or StartStream(), once.
  void Respond(const HttpResponse& aResponse);
  /// Sends the status and headers of a chunked response; `aHead.body_` is
  /// ignored.
  void StartStream(const HttpResponse& aHead);
  /// Sends one chunk; returns false once the caller has disconnected.
  bool WritePart(std::string_view aPart);
  /// Completes a chunked response.
  void EndStream();
  /// Closes the connection without completing the response, so that the caller
  /// detects the truncation.
  void Abort();

  bool HasStarted() const { return Status() != 0; }
  /// The status of the response; 0 before it has started.
  int Status() const;
  /// Whether the caller is known to have closed the connection.
  bool IsCallerDisconnected() const;
  /// The same, after a look at the connection. Costs a system call; to be used
  /// before work is started for the caller, on the connection's fiber.
  bool DetectCallerDisconnect();
  /// Sets the hook to call, once and on this thread, when the caller closes the
  /// connection; at once if it already has. An empty hook removes it.
  void OnCallerDisconnect(std::function<void()> aHook);

private:
  State& state_;
};

} // namespace tanagerstall

#endif
