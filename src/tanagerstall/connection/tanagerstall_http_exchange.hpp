#ifndef TANAGERSTALL_HTTP_EXCHANGE_HPP_INCLUDED
#define TANAGERSTALL_HTTP_EXCHANGE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/connection/tanagerstall_http_message.hpp"

#include <functional>
#include <string_view>

namespace tanagerstall {

/// One request and the response to it, on its own fiber.
class HttpExchange
{
public:
  struct State;

  explicit HttpExchange(State& aState);

  const HttpRequest& Request() const;
  Fiber& GetFiber();

  /// Sends a whole response. At most one of Respond and StartStream.
  void Respond(const HttpResponse& aResponse);
  /// Sends a head; parts follow. `aHead.body_` is not sent.
  void StartStream(const HttpResponse& aHead);
  /// Sends one part; false once the caller is gone.
  bool WritePart(std::string_view aPart);
  /// Ends a stream as whole.
  void EndStream();
  /// Ends the connection in the middle, which the caller sees as an error.
  void Abort();

  bool HasStarted() const { return Status() != 0; }
  /// The status of the response; 0 before it has started.
  int Status() const;
  bool IsCallerDisconnected() const;
  /// Calls `aHook` on this thread as soon as the caller closes the
  /// connection. An empty hook takes an earlier one back.
  void OnCallerDisconnect(std::function<void()> aHook);

private:
  State& state_;
};

} // namespace tanagerstall

#endif
