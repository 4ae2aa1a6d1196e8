#ifndef TANAGERSTALL_HTTP_CLIENT_HPP_INCLUDED
#define TANAGERSTALL_HTTP_CLIENT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/connection/tanagerstall_transport_error.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// One HTTP/1.1 connection of ours. Used by one fiber at a time, but for
/// Cancel(); all its fibers run on one thread.
class HttpConnection
{
public:
  template<class Value>
  using Result = tl::expected<Value, TransportError>;

  ~HttpConnection();

  static Result<std::unique_ptr<HttpConnection>>
  Connect(Fiber& aFiber, const Address& aAddress, Duration aTimeout);

  /// Hands the connection to another fiber of its thread.
  void SetFiber(Fiber& aFiber);

  /// Sends a whole request. On an error the peer may have read any of it.
  Result<void> Send(const HttpRequest& aRequest, Duration aTimeout);
  /// Begins to send a request and returns; a peer may answer before it has
  /// read all of it.
  void StartSend(const HttpRequest& aRequest, Duration aTimeout);
  /// Waits for the head of the response; its body is empty.
  Result<HttpResponse> ReadHead(Duration aTimeout);
  /// Waits for the next part of the body; nothing at its end.
  Result<std::optional<std::string>> ReadBody(Duration aTimeout);
  /// Reads a whole response of at most `aMaxBytes` body bytes; `aTimeout`
  /// bounds each wait.
  Result<HttpResponse> ReadWhole(Duration aTimeout, std::uint64_t aMaxBytes);

  /// Whether another request may follow the last response, which has been read
  /// to its end.
  bool IsReusable() const;
  /// Whether nothing has arrived since the last response, its end included.
  bool HasNoInput();

  /// Ends a wait of the fiber that uses the connection with
  /// TransportFault::Cancelled. Only from the same thread.
  void Cancel();

private:
  struct State;
  explicit HttpConnection(std::shared_ptr<State> aState);

  /// Shared with a send that is under way.
  std::shared_ptr<State> state_;
};

/// Connects, sends one request and reads the whole response.
tl::expected<HttpResponse, TransportError>
FetchHttp(Fiber& aFiber,
          const Address& aAddress,
          HttpRequest aRequest,
          Duration aTimeout);

} // namespace tanagerstall

#endif
