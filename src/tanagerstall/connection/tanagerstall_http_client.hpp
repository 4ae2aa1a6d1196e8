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

/// A time limit and what it applies to.
struct ReadTimeout
{
  enum class Scope
  {
    EachRead,
    WholeResponse
  };

  Duration limit_;
  Scope scope_ = Scope::EachRead;
};

/// A client connection over HTTP/1.1. Only one fiber at a time may use it,
/// except for Cancel(); all its fibers have to run on the same thread.
class HttpConnection
{
public:
  template<class Value>
  using Result = tl::expected<Value, TransportError>;

  ~HttpConnection();

  /// Connects to an IP address; fails with TransportFault::ConnectFailed.
  static Result<std::unique_ptr<HttpConnection>>
  Connect(Fiber& aFiber, const Address& aAddress, Duration aTimeout);

  /// Has the system discard what the peer has not received by `aWithin` after
  /// it was sent, or once the connection is closed before a whole response was
  /// read. Otherwise it goes on delivering that.
  void LimitDelivery(Duration aWithin);

  /// Passes the connection to another fiber of the same thread.
  void SetFiber(Fiber& aFiber);

  /// Sends a request and waits until it has been written. After an error the
  /// peer may have received any part of it.
  Result<void> Send(const HttpRequest& aRequest, Duration aTimeout);
  /// Starts to send a request and returns without waiting, because a peer may
  /// respond before it has read the whole request.
  void StartSend(const HttpRequest& aRequest, Duration aTimeout);
  /// Waits for the status and headers of a response, which may be an interim
  /// one; its body is empty.
  Result<HttpResponse> ReadHead(Duration aTimeout);
  /// Waits for the head of the final response and skips interim ones.
  Result<HttpResponse> ReadFinalHead(Duration aTimeout);
  /// Waits for the next part of the body; nullopt at its end. A body that ends
  /// with the connection has no end while the request is still being sent.
  Result<std::optional<std::string>> ReadBody(Duration aTimeout);
  /// Reads a whole response. Fails with TransportFault::TooLarge if the body
  /// exceeds `aMaxBytes`.
  Result<HttpResponse> ReadWhole(const ReadTimeout& aTimeout,
                                 std::uint64_t aMaxBytes);

  /// Whether only the end of the connection marks the end of the response's
  /// body. Call it after ReadHead().
  bool EndsWithConnection() const;
  /// Whether the last response has been read to its end and the connection can
  /// carry another request.
  bool IsReusable() const;
  /// Whether nothing has arrived since the last response: neither data nor the
  /// end of the connection.
  bool HasNoInput();

  /// Closes the connection; a pending operation of the fiber that uses it fails
  /// with TransportFault::Cancelled. Call from the connection's thread only.
  void Cancel();

private:
  struct State;

  /// The timeout that runs stays.
  Result<HttpResponse> ReadNextHead();
  /// `aEachRead` limits each read; without it the timeout that runs stays.
  Result<std::optional<std::string>> ReadBodyPart(
    std::optional<Duration> aEachRead);

  explicit HttpConnection(std::shared_ptr<State> aState);

  /// Shared with a send in progress.
  std::shared_ptr<State> state_;
};

/// Sends one request over a new connection and reads the whole response.
/// `aTimeout` limits connecting, sending and the whole response.
tl::expected<HttpResponse, TransportError>
FetchHttp(Fiber& aFiber,
          const Address& aAddress,
          HttpRequest aRequest,
          Duration aTimeout);

} // namespace tanagerstall

#endif
