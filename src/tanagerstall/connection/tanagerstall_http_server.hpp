#ifndef TANAGERSTALL_HTTP_SERVER_HPP_INCLUDED
#define TANAGERSTALL_HTTP_SERVER_HPP_INCLUDED

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
  std::size_t maxConnections_ = 4096;
  Duration requestTimeout_ = std::chrono::seconds(15);
  /// A connection may take so long over a request before it makes room for
  /// another one; well above a round between regions.
  Duration minEvictionAge_ = std::chrono::seconds(1);
  Duration idleTimeout_ = std::chrono::seconds(75);
  Duration writeTimeout_ = std::chrono::seconds(30);
};

struct ListenError
{
  std::string message_;
};

/// Accepts connections and calls a handler for every request.
class HttpServer
{
public:
  using Handler = std::function<void(HttpExchange&)>;
  struct State;

  HttpServer(TrafficThreads& aThreads, HttpLimits aLimits, Handler aHandler);
  ~HttpServer();

  /// Listens; port 0 lets the system choose. Gives the address in use.
  tl::expected<Address, ListenError> Listen(const Address& aAddress);
  /// From now on closes connections after their response.
  void StopKeepingAlive();
  /// Takes no new connections and closes kept ones after their response.
  void StopAccepting();
  /// Closes the connections on which no request has begun.
  void CloseIdle();
  /// New limits, from the next request on.
  void SetLimits(HttpLimits aLimits);
  /// The exchanges whose response has not ended.
  std::size_t ActiveExchanges() const;

private:
  std::shared_ptr<State> state_;
};

/// Listens for what a process can't do without. Gives the address in use;
/// nothing where it can't listen, which is logged.
std::optional<Address>
ListenOrLog(HttpServer& aServer, const Address& aAddress);

/// Listens for metrics. A process serves on without them, and says so.
void
ListenForMetrics(HttpServer& aServer, const Address& aAddress);

} // namespace tanagerstall

#endif
