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

/// A connection whose request isn't whole yet.
struct UnfinishedRequest
{
  std::weak_ptr<HttpExchange::State> connection_;
  TimePoint since_;
};

struct HttpServer::State
{
  State(TrafficThreads& aThreads, HttpLimits aLimits, Handler aHandler)
    : threads_(aThreads)
    , limits_(aLimits)
    , handler_(std::move(aHandler))
    , acceptor_(*aThreads.GetState().loops_.front())
  {
  }

  TrafficThreads& threads_;
  HttpLimits limits_;
  Handler handler_;
  Clock clock_;
  tcp::acceptor acceptor_;
  std::atomic<bool> isAccepting_{ true };
  std::atomic<bool> keepsAlive_{ true };
  std::atomic<std::size_t> connections_{ 0 };
  std::atomic<std::size_t> exchanges_{ 0 };
  std::mutex waitingMutex_;
  /// Kept connections that wait for their next request.
  std::map<const void*, std::weak_ptr<HttpExchange::State>> idle_;
  /// Connections whose first request, or one that has begun, isn't whole yet;
  /// in the order in which they began to wait.
  std::list<UnfinishedRequest> unfinished_;
};

/// The life of one accepted connection; its exchanges follow one another.
struct HttpExchange::State : std::enable_shared_from_this<HttpExchange::State>
{
  State(tcp::socket aSocket, std::shared_ptr<HttpServer::State> aServer)
    : stream_(std::move(aSocket))
    , server_(std::move(aServer))
  {
  }

  asio::yield_context& Yield() { return fiber_->GetContext().yield_; }

  /// Sees the caller's closing while nothing is being read. Bytes that
  /// arrive instead belong to the next request and stay in the socket.
  void WatchCaller();
  void StopWatching();

  beast::tcp_stream stream_;
  std::shared_ptr<HttpServer::State> server_;
  beast::flat_buffer buffer_;
  Fiber* fiber_ = nullptr;
  HttpRequest request_;
  std::function<void()> onCallerDisconnect_;
  bool isWatching_ = false;
  bool isInExchange_ = false;
  bool isIdle_ = false;
  /// Its place among those with an unfinished request.
  std::optional<std::list<UnfinishedRequest>::iterator> unfinished_;
  /// It has been chosen to make room for another connection.
  std::atomic<bool> isEvicted_{ false };
  /// Its request took too long, or has to make room: nothing more is read.
  bool isReadStopped_ = false;
  bool isCallerDisconnected_ = false;
  int status_ = 0;
  bool keepsAlive_ = true;

private:
  void CheckForDisconnect();
};

} // namespace tanagerstall

#endif
