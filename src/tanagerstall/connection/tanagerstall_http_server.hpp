#ifndef TANAGERSTALL_HTTP_SERVER_HPP_INCLUDED
#define TANAGERSTALL_HTTP_SERVER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_client_limits.hpp"
#include "tanagerstall/connection/tanagerstall_http_exchange.hpp"
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace tanagerstall {

struct HttpLimits
{
  std::uint32_t maxHeadBytes_ = 16 * 1024;
  std::uint64_t maxBodyBytes_ = 4ULL * 1024 * 1024;
  /// See MessageLimits.
  std::uint64_t maxChunkOverheadBytes_ = 64ULL * 1024;
  std::size_t maxConnections_ = 4096;
  /// Callers of a whole failure domain may share an address.
  std::size_t maxConnectionsOfAddress_ = 4096;
  /// From the first byte of a request to the end of its head.
  Duration requestTimeout_ = std::chrono::seconds(15);
  /// Between two parts of a body.
  Duration bodyIdleTimeout_ = std::chrono::seconds(15);
  /// From the head of a request to the end of its body.
  Duration bodyTimeout_ = std::chrono::seconds(60);
  /// When connections are at their limit, one whose request has been incomplete
  /// for this long may be closed to admit another. Well above a round trip
  /// between regions.
  Duration minEvictionAge_ = std::chrono::seconds(1);
  Duration idleTimeout_ = std::chrono::seconds(75);
  Duration writeTimeout_ = std::chrono::seconds(30);
};

/// Returns the default limits, changed by a process's settings.
HttpLimits
MakeHttpLimits(const ClientSettings& aSettings);

/// The same for a server that callers don't use, such as that of metrics.
HttpLimits
MakeInternalHttpLimits(const ClientSettings& aSettings);

struct ListenError
{
  std::string message_;
};

/// An HTTP/1.1 server that calls a handler for every request, on a fiber per
/// connection.
class HttpServer
{
public:
  using Handler = std::function<void(HttpExchange&)>;
  struct State;

  /// `aClients` is shared by the servers of a process; without it the server
  /// has limits of its own.
  HttpServer(TrafficThreads& aThreads,
             HttpLimits aLimits,
             Handler aHandler,
             std::shared_ptr<ClientLimits> aClients = nullptr);
  ~HttpServer();

  /// Starts to listen and returns the bound address; port 0 picks a free port.
  tl::expected<Address, ListenError> Listen(const Address& aAddress);
  /// Closes each connection after its next response from now on.
  void StopKeepingAlive();
  /// Stops accepting connections; open ones are closed after their response.
  void StopAccepting();
  /// Closes the keep-alive connections that wait for their next request.
  void CloseIdle();
  /// Sets the limits, from the next request on.
  void SetLimits(HttpLimits aLimits);
  /// The number of requests of which a byte has been read and whose response
  /// has not ended.
  std::size_t ActiveExchanges() const;
  std::size_t Connections() const;

private:
  std::shared_ptr<State> state_;
};

/// Listens at an address that the process can't run without. Returns the bound
/// address; logs a failure and returns nullopt.
std::optional<Address>
ListenOrLog(HttpServer& aServer, const Address& aAddress);

/// Listens for metrics requests. Only logs a failure: a process can run without
/// metrics.
void
ListenForMetrics(HttpServer& aServer, const Address& aAddress);

} // namespace tanagerstall

#endif
