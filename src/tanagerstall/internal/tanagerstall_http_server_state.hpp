#ifndef TANAGERSTALL_HTTP_SERVER_STATE_HPP_INCLUDED
#define TANAGERSTALL_HTTP_SERVER_STATE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/internal/tanagerstall_fiber_context.hpp"
#include "tanagerstall/internal/tanagerstall_traffic_state.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <map>
#include <mutex>
#include <optional>

namespace tanagerstall {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// A connection whose request hasn't been received completely.
struct UnfinishedRequest
{
  std::weak_ptr<HttpExchange::State> connection_;
  TimePoint since_;
};

struct HttpServer::State
{
  State(TrafficThreads& aThreads,
        HttpLimits aLimits,
        Handler aHandler,
        std::shared_ptr<ClientLimits> aClients)
    : threads_(aThreads)
    , limits_(aLimits)
    , handler_(std::move(aHandler))
    , clients_(std::move(aClients))
  {
  }

  TrafficThreads& threads_;
  HttpLimits limits_;
  Handler handler_;
  std::shared_ptr<ClientLimits> clients_;
  Clock clock_;
  /// Owned by the fiber that accepts. Connections on other threads keep this
  /// state after the acceptor's event loop has been destroyed.
  std::weak_ptr<tcp::acceptor> acceptor_;
  std::atomic<bool> isAccepting_{ true };
  std::atomic<bool> keepsAlive_{ true };
  std::atomic<std::size_t> connections_{ 0 };
  std::atomic<std::size_t> exchanges_{ 0 };
  std::mutex waitingMutex_;
  /// Keep-alive connections that wait for their next request.
  std::map<const void*, std::weak_ptr<HttpExchange::State>> idle_;
  /// Connections whose first request has not been received completely, or whose
  /// next request has been received in part; oldest first.
  std::list<UnfinishedRequest> unfinished_;
  /// The number of connections of each client address.
  std::map<std::string, std::size_t> connectionsOf_;
};

/// The state of an accepted connection, which serves one exchange after
/// another.
struct HttpExchange::State : std::enable_shared_from_this<HttpExchange::State>
{
  State(tcp::socket aSocket,
        std::shared_ptr<HttpServer::State> aServer,
        std::string aAddress)
    : stream_(std::move(aSocket))
    , address_(std::move(aAddress))
    , server_(std::move(aServer))
  {
  }

  asio::yield_context& Yield() { return fiber_->GetContext().yield_; }

  /// Detects that the caller closes the connection while no request is being
  /// read. Data that arrives meanwhile belongs to the next request and stays in
  /// the socket.
  void WatchCaller();
  void StopWatching();

  beast::tcp_stream stream_;
  std::string address_;
  std::shared_ptr<HttpServer::State> server_;
  MemoryBudget::Part organisationPart_;
  beast::flat_buffer buffer_;
  Fiber* fiber_ = nullptr;
  HttpRequest request_;
  std::function<void()> onCallerDisconnect_;
  bool isWatching_ = false;
  bool isInExchange_ = false;
  bool isIdle_ = false;
  /// The connection's position in the server's list of unfinished requests.
  std::optional<std::list<UnfinishedRequest>::iterator> unfinished_;
  /// Whether the connection is being closed to admit another one.
  std::atomic<bool> isEvicted_{ false };
  /// Whether reading was stopped because of a timeout or an eviction.
  bool isReadStopped_ = false;
  /// Whether a request is being read.
  bool isReading_ = false;
  /// Whether the last request could not be read.
  bool isRefused_ = false;
  /// When the request in progress received its last byte.
  TimePoint movedAt_;
  bool isCallerDisconnected_ = false;
  int status_ = 0;
  bool keepsAlive_ = true;

private:
  void CheckForDisconnect();
};

} // namespace tanagerstall

#endif
