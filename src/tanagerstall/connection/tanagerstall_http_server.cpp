#include "tanagerstall/connection/tanagerstall_http_server.hpp"

#include "tanagerstall/connection/tanagerstall_request_parser.hpp"
#include "tanagerstall/internal/tanagerstall_http_server_state.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace tanagerstall {

namespace {

std::string
ErrorBody(std::string_view aCode, std::string_view aMessage)
{
  return R"({"error":{"code":")" + std::string(aCode) + R"(","message":")" +
         std::string(aMessage) + R"(","outcome":"not_run"}})";
}

/// The memory for requests of a server without shared limits.
constexpr std::size_t kDefaultMemoryBytes = 112UL << 20U;
/// The connections to a port that callers don't use.
constexpr std::size_t kMaxInternalConnections = 128;
/// How long a client waits that is refused since memory is short.
constexpr const char* kRetryAfterSeconds = "0.500";
/// Memory of a stalled request that was closed is free after a moment.
constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(10);
constexpr int kMaxMemoryPolls = 20;
/// The longest head, chunk header or trailers, and what is read beyond them.
constexpr std::size_t kReadAheadBytes = 16UL * 1024;
/// The buffer of a connection that waits for a request.
constexpr std::size_t kIdleBufferBytes = 4096;
/// What is read from a client after its refusal. Closing a connection with
/// unread bytes would reset it, and the client might lose the refusal.
constexpr std::size_t kMaxLingerBytes = 256UL * 1024;
constexpr Duration kMaxLingerTime = std::chrono::milliseconds(500);

HttpResponse
ReadErrorResponse(ClientFault aFault)
{
  switch (aFault) {
    case ClientFault::BodyTooLarge:
      return JsonResponse(
        413, ErrorBody("body_too_large", "the request body is too large"));
    case ClientFault::ChunkOverhead:
      return JsonResponse(
        413,
        ErrorBody("chunk_overhead_too_large", "the chunks carry too little"));
    case ClientFault::HeadTooLarge:
      return JsonResponse(
        431,
        ErrorBody("headers_too_large", "the request headers are too large"));
    case ClientFault::TooSlow:
    case ClientFault::Evicted:
      return JsonResponse(
        408, ErrorBody("request_too_slow", "the request arrived too slowly"));
    case ClientFault::OutOfMemory:
    case ClientFault::AddressOutOfMemory: {
      auto response = JsonResponse(
        503, ErrorBody("out_of_memory", "no memory for the request now"));
      response.headers_.push_back({ "Retry-After", kRetryAfterSeconds });
      return response;
    }
    default:
      return JsonResponse(
        400, ErrorBody("malformed_request", "not a valid request"));
  }
}

/// Responds to a request that could not be read; the connection is closed
/// afterwards.
void
RespondToReadError(HttpExchange::State& aState, ClientFault aFault)
{
  aState.server_->clients_->Record(aFault, aState.address_);
  aState.keepsAlive_ = false;
  HttpResponse response = ReadErrorResponse(aFault);
  response.headers_.push_back({ "Connection", "close" });
  HttpExchange(aState).Respond(response);
}

void
StoreRequest(HttpExchange::State& aState, RequestParser& aParser)
{
  aState.keepsAlive_ = aParser.KeepsAlive();
  aState.request_ = aParser.TakeRequest();
  aState.status_ = 0;
  aState.isCallerDisconnected_ = false;
}

/// Gives back the memory of a request that has been answered. The connection
/// may stay idle for long.
void
ReleaseRequest(HttpExchange::State& aState)
{
  aState.request_ = {};
  aState.organisationPart_ = {};
  if (aState.buffer_.size() == 0 &&
      aState.buffer_.capacity() > kIdleBufferBytes) {
    aState.buffer_.shrink_to_fit();
  }
}

void
SetIdle(HttpExchange::State& aState, bool aIsIdle)
{
  aState.isIdle_ = aIsIdle;
  std::scoped_lock lock(aState.server_->waitingMutex_);
  if (aIsIdle) {
    aState.server_->idle_[&aState] = aState.weak_from_this();
  } else {
    aState.server_->idle_.erase(&aState);
  }
}

/// Makes the read in progress and all later ones fail. Cancelling the read is
/// not enough: if it completes just then, another read would follow.
void
StopReading(HttpExchange::State& aState)
{
  aState.isReadStopped_ = true;
  beast::error_code ignored;
  aState.stream_.socket().shutdown(tcp::socket::shutdown_receive, ignored);
}

/// Sets whether the connection has an incomplete request. Its age counts from
/// the first call that sets this.
void
SetUnfinished(HttpExchange::State& aState, bool aIsUnfinished)
{
  if (aState.unfinished_.has_value() == aIsUnfinished) {
    return;
  }
  std::scoped_lock lock(aState.server_->waitingMutex_);
  auto& unfinished = aState.server_->unfinished_;
  if (aIsUnfinished) {
    aState.unfinished_ = unfinished.insert(
      unfinished.end(),
      { aState.weak_from_this(), aState.server_->clock_.Now() });
  } else {
    unfinished.erase(*aState.unfinished_);
    aState.unfinished_.reset();
  }
}

/// Stops reading from the connection whose request has been incomplete for the
/// longest time, which closes it. Returns false if none has been incomplete for
/// minEvictionAge_.
bool
EvictOldestUnfinished(HttpServer::State& aServer)
{
  std::scoped_lock lock(aServer.waitingMutex_);
  auto now = aServer.clock_.Now();
  for (const auto& unfinished : aServer.unfinished_) {
    if (now < unfinished.since_ + aServer.limits_.minEvictionAge_) {
      return false;
    }
    auto oldest = unfinished.connection_.lock();
    if (!oldest || oldest->isEvicted_.exchange(true)) {
      continue;
    }
    asio::post(oldest->stream_.get_executor(), [oldest] {
      if (oldest->unfinished_) {
        StopReading(*oldest);
      }
    });
    return true;
  }
  return false;
}

/// Whether bytes have arrived that were not read.
bool
HasInput(HttpExchange::State& aState)
{
  beast::error_code ignored;
  return aState.stream_.socket().available(ignored) > 0;
}

/// Waits for the first byte of a request. Returns false if the connection ends
/// or is idle for too long, or if the server is stopping and nothing arrived.
bool
WaitForRequest(HttpExchange::State& aState)
{
  if (aState.buffer_.size() > 0) {
    return true;
  }
  bool hasServed = !aState.unfinished_;
  if (!aState.server_->isAccepting_ && hasServed && !HasInput(aState)) {
    return false;
  }
  beast::error_code error;
  SetIdle(aState, true);
  aState.stream_.expires_after(aState.server_->limits_.idleTimeout_);
  auto read = [&] {
    return aState.stream_.async_read_some(aState.buffer_.prepare(4096),
                                          aState.Yield()[error]);
  };
  auto count = read();
  if (error == asio::error::operation_aborted && HasInput(aState)) {
    // The request arrived when the idle connection was about to be closed.
    count = read();
  }
  SetIdle(aState, false);
  aState.buffer_.commit(count);
  return !error;
}

void
RunHandler(HttpExchange::State& aState)
{
  HttpExchange exchange(aState);
  aState.isInExchange_ = true;
  aState.stream_.expires_never();
  aState.WatchCaller();
  try {
    aState.server_->handler_(exchange);
  } catch (const std::exception& error) {
    LogEvent(
      Severity::Error, "request handler failed", { { "error", error.what() } });
    exchange.Abort();
  }
  aState.isInExchange_ = false;
  aState.onCallerDisconnect_ = nullptr;
  aState.StopWatching();
}

/// Lists a request among those that are being read, while it exists.
class ActiveReader
{
public:
  explicit ActiveReader(HttpExchange::State& aState)
    : state_(aState)
  {
    state_.isReading_ = true;
    state_.isEvicted_ = false;
    state_.movedAt_ = state_.server_->clock_.Now();
    auto stop = [weak = state_.weak_from_this()] {
      if (auto state = weak.lock();
          state && !state->isEvicted_.exchange(true)) {
        asio::post(state->stream_.get_executor(), [state] {
          if (state->isReading_) {
            StopReading(*state);
          }
        });
      }
    };
    reader_ = state_.server_->clients_->AddReader(stop, state_.movedAt_);
  }
  ~ActiveReader()
  {
    state_.isReading_ = false;
    state_.server_->clients_->RemoveReader(reader_);
  }
  ActiveReader(const ActiveReader&) = delete;
  ActiveReader& operator=(const ActiveReader&) = delete;

  void Move()
  {
    state_.movedAt_ = state_.server_->clock_.Now();
    state_.server_->clients_->MoveReader(reader_, state_.movedAt_);
  }

private:
  HttpExchange::State& state_;
  ClientLimits::Readers::iterator reader_;
};

/// Ends the reading of a request at its time limits. The timeout of the stream
/// would close the socket, so a timer stops the read and a response can still
/// be sent.
class ReadTimer : public std::enable_shared_from_this<ReadTimer>
{
public:
  explicit ReadTimer(HttpExchange::State& aState)
    : state_(aState.shared_from_this())
    , timer_(aState.stream_.get_executor())
    , deadline_(Now() + Limits().requestTimeout_)
  {
  }

  void StartHead() { Wait(deadline_); }

  void StartBody()
  {
    hasHead_ = true;
    deadline_ = Now() + Limits().bodyTimeout_;
    Wait(NextCheck());
  }

  void End()
  {
    isEnded_ = true;
    timer_.cancel();
  }

private:
  const HttpLimits& Limits() const { return state_->server_->limits_; }
  TimePoint Now() const { return state_->server_->clock_.Now(); }

  TimePoint NextCheck() const
  {
    return hasHead_
             ? std::min(deadline_, state_->movedAt_ + Limits().bodyIdleTimeout_)
             : deadline_;
  }

  void Wait(TimePoint aUntil)
  {
    timer_.expires_after(aUntil - Now());
    timer_.async_wait(
      [self = shared_from_this()](const beast::error_code& aError) {
        if (!aError) {
          self->Check();
        }
      });
  }

  void Check()
  {
    if (isEnded_) {
      return;
    }
    if (Now() < NextCheck()) {
      Wait(NextCheck());
      return;
    }
    StopReading(*state_);
  }

  std::shared_ptr<HttpExchange::State> state_;
  asio::steady_timer timer_;
  TimePoint deadline_;
  bool hasHead_ = false;
  bool isEnded_ = false;
};

/// Waits for memory that a stalled request gives back. Returns false if no
/// request is stalled, or if that wasn't enough.
bool
AwaitMemory(HttpExchange::State& aState, int& aPolls)
{
  ClientLimits& clients = *aState.server_->clients_;
  bool isStopped = clients.StopOldestStalled(aState.server_->clock_.Now());
  if (aPolls == 0 && !isStopped) {
    return false;
  }
  if (++aPolls > kMaxMemoryPolls) {
    return false;
  }
  aState.fiber_->Sleep(kMemoryPollInterval);
  return true;
}

ClientFault
ReadFault(const HttpExchange::State& aState)
{
  if (!aState.isReadStopped_) {
    return ClientFault::Malformed;
  }
  return aState.isEvicted_ ? ClientFault::Evicted : ClientFault::TooSlow;
}

/// Reads a whole request. Returns why that failed.
std::optional<ClientFault>
ReadRequest(HttpExchange::State& aState,
            RequestParser& aParser,
            ActiveReader& aReader,
            ReadTimer& aTimer)
{
  using Progress = RequestParser::Progress;
  bool hadHead = false;
  int polls = 0;
  aTimer.StartHead();
  while (true) {
    Progress progress = aParser.Advance();
    if (progress == Progress::Done) {
      return std::nullopt;
    }
    if (progress == Progress::Failed) {
      return aParser.Fault();
    }
    if (progress == Progress::NeedsMemory) {
      if (!AwaitMemory(aState, polls)) {
        return aParser.Fault();
      }
      continue;
    }
    if (!std::exchange(hadHead, aParser.HasHead()) && aParser.HasHead()) {
      aTimer.StartBody();
    }
    std::size_t wanted = aParser.Wanted();
    if (wanted == 0) {
      return aParser.Fault();
    }
    beast::error_code error;
    auto count = aState.stream_.async_read_some(aState.buffer_.prepare(wanted),
                                                aState.Yield()[error]);
    if (error) {
      return ReadFault(aState);
    }
    aState.buffer_.commit(count);
    aReader.Move();
  }
}

std::optional<ClientFault>
ReadWithTimeout(HttpExchange::State& aState, RequestParser& aParser)
{
  auto timer = std::make_shared<ReadTimer>(aState);
  ActiveReader reader(aState);
  aState.stream_.expires_never();
  auto fault = ReadRequest(aState, aParser, reader, *timer);
  timer->End();
  return fault;
}

/// Reads on after a refusal until the client closes its connection.
void
Linger(HttpExchange::State& aState)
{
  beast::error_code error;
  aState.buffer_.clear();
  aState.stream_.expires_after(kMaxLingerTime);
  std::size_t count = 0;
  while (!error && count < kMaxLingerBytes) {
    count += aState.stream_.async_read_some(
      aState.buffer_.prepare(kIdleBufferBytes), aState.Yield()[error]);
  }
}

/// Counts a request from its first byte to its response, so that a stopping
/// process doesn't end in between.
class ActiveExchange
{
public:
  explicit ActiveExchange(HttpServer::State& aServer)
    : server_(aServer)
  {
    ++server_.exchanges_;
  }
  ~ActiveExchange() { --server_.exchanges_; }
  ActiveExchange(const ActiveExchange&) = delete;
  ActiveExchange& operator=(const ActiveExchange&) = delete;

private:
  HttpServer::State& server_;
};

/// Reads a request whose first bytes have arrived, and handles it. Returns
/// false if it could not be read.
bool
ServeRead(HttpExchange::State& aState)
{
  const HttpLimits& limits = aState.server_->limits_;
  aState.buffer_.max_size(limits.maxHeadBytes_ + kReadAheadBytes);
  RequestParser parser(aState.buffer_,
                       { limits.maxHeadBytes_,
                         limits.maxBodyBytes_,
                         limits.maxChunkOverheadBytes_ },
                       { aState.server_->clients_->Memory(), aState.address_ });
  auto fault = ReadWithTimeout(aState, parser);
  SetUnfinished(aState, false);
  if (fault) {
    RespondToReadError(aState, *fault);
    aState.isRefused_ = true;
    return false;
  }
  StoreRequest(aState, parser);
  RunHandler(aState);
  return true;
}

/// Reads and handles one request. Returns false if the connection has to be
/// closed.
bool
ServeRequest(HttpExchange::State& aState)
{
  if (!WaitForRequest(aState)) {
    return false;
  }
  ActiveExchange active(*aState.server_);
  SetUnfinished(aState, true);
  if (!ServeRead(aState)) {
    return false;
  }
  ReleaseRequest(aState);
  // What the response announced counts, also if a stop has begun since: the
  // caller's next request may be on its way.
  return aState.keepsAlive_ && !aState.isCallerDisconnected_;
}

std::string
AddressOf(const tcp::socket& aSocket)
{
  beast::error_code error;
  auto peer = aSocket.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

/// Counts a connection; false if its address has too many.
bool
AddConnection(HttpServer::State& aServer, const std::string& aAddress)
{
  std::scoped_lock lock(aServer.waitingMutex_);
  std::size_t& count = aServer.connectionsOf_[aAddress];
  if (count >= aServer.limits_.maxConnectionsOfAddress_) {
    return false;
  }
  ++count;
  ++aServer.connections_;
  return true;
}

void
RemoveConnection(HttpServer::State& aServer, const std::string& aAddress)
{
  std::scoped_lock lock(aServer.waitingMutex_);
  --aServer.connections_;
  auto count = aServer.connectionsOf_.find(aAddress);
  if (--count->second == 0) {
    aServer.connectionsOf_.erase(count);
  }
}

void
ServeConnection(tcp::socket aSocket,
                const std::shared_ptr<HttpServer::State>& aServer,
                const std::string& aAddress,
                Fiber& aFiber)
{
  beast::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  auto state = std::make_shared<HttpExchange::State>(
    std::move(aSocket), aServer, aAddress);
  state->fiber_ = &aFiber;
  SetUnfinished(*state, true);
  while (ServeRequest(*state)) {
  }
  SetUnfinished(*state, false);
  state->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  if (state->isRefused_) {
    Linger(*state);
  }
  state->stream_.close();
  RemoveConnection(*aServer, aAddress);
}

void
StartConnection(const std::shared_ptr<HttpServer::State>& aServer,
                asio::io_context& aLoop,
                tcp::socket aSocket)
{
  std::string address = AddressOf(aSocket);
  if (!AddConnection(*aServer, address)) {
    aServer->clients_->Record(ClientFault::TooManyOfAddress, address);
    return;
  }
  auto shared = std::make_shared<tcp::socket>(std::move(aSocket));
  SpawnFiber(aLoop, [aServer, shared, address](Fiber& aConnectionFiber) {
    ServeConnection(std::move(*shared), aServer, address, aConnectionFiber);
  });
}

/// Accepts the connections that wait in the listener's queue, which closing it
/// would reset.
void
AcceptWaiting(const std::shared_ptr<HttpServer::State>& aServer,
              tcp::acceptor& aAcceptor)
{
  beast::error_code error;
  aAcceptor.non_blocking(true, error);
  while (!error && aServer->connections_ < aServer->limits_.maxConnections_) {
    auto& loop = aServer->threads_.GetState().NextLoop();
    tcp::socket socket(loop);
    aAcceptor.accept(socket, error);
    if (!error) {
      StartConnection(aServer, loop, std::move(socket));
    }
  }
}

/// Accepts connections until the acceptor is closed. At the connection limit,
/// evicts the connection with the oldest incomplete request; if there is none
/// to evict, closes the new connection immediately, so that it doesn't slow the
/// others down.
void
AcceptConnections(const std::shared_ptr<HttpServer::State>& aServer,
                  tcp::acceptor& aAcceptor,
                  Fiber& aFiber)
{
  while (aServer->isAccepting_) {
    auto& loop = aServer->threads_.GetState().NextLoop();
    tcp::socket socket(loop);
    beast::error_code error;
    aAcceptor.async_accept(socket, aFiber.GetContext().yield_[error]);
    if (error) {
      aFiber.Sleep(std::chrono::milliseconds(10));
      continue;
    }
    bool isFull = aServer->connections_ >= aServer->limits_.maxConnections_;
    if (isFull && !EvictOldestUnfinished(*aServer)) {
      aServer->clients_->Record(ClientFault::TooManyConnections,
                                AddressOf(socket));
      continue;
    }
    StartConnection(aServer, loop, std::move(socket));
  }
}

} // namespace

HttpLimits
MakeHttpLimits(const ClientSettings& aSettings)
{
  HttpLimits limits;
  limits.maxConnections_ = aSettings.maxConnections_;
  limits.maxConnectionsOfAddress_ = aSettings.maxConnectionsOfAddress_;
  limits.maxChunkOverheadBytes_ = aSettings.maxChunkOverheadBytes_;
  limits.bodyIdleTimeout_ =
    aSettings.bodyIdleTimeout_.value_or(limits.bodyIdleTimeout_);
  limits.bodyTimeout_ = aSettings.bodyTimeout_;
  return limits;
}

HttpLimits
MakeInternalHttpLimits(const ClientSettings& aSettings)
{
  HttpLimits limits = MakeHttpLimits(aSettings);
  limits.maxConnections_ =
    std::min(limits.maxConnections_, kMaxInternalConnections);
  return limits;
}

HttpServer::HttpServer(TrafficThreads& aThreads,
                       HttpLimits aLimits,
                       Handler aHandler,
                       std::shared_ptr<ClientLimits> aClients)
  : state_(std::make_shared<State>(
      aThreads,
      aLimits,
      std::move(aHandler),
      aClients ? std::move(aClients)
               : std::make_shared<ClientLimits>(
                   MemoryBudget::DivideBytes(kDefaultMemoryBytes))))
{
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

tl::expected<Address, ListenError>
HttpServer::Listen(const Address& aAddress)
{
  beast::error_code error;
  tcp::endpoint endpoint(asio::ip::make_address(aAddress.host_, error),
                         aAddress.port_);
  auto acceptor = std::make_shared<tcp::acceptor>(
    *state_->threads_.GetState().loops_.front());
  if (!error) {
    acceptor->open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    acceptor->bind(endpoint, error);
  }
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(ListenError{
      "can't listen on " + aAddress.ToString() + ": " + error.message() });
  }
  auto port = acceptor->local_endpoint().port();
  state_->acceptor_ = acceptor;
  SpawnFiber(*state_->threads_.GetState().loops_.front(),
             [state = state_, acceptor = std::move(acceptor)](Fiber& aFiber) {
               AcceptConnections(state, *acceptor, aFiber);
             });
  return Address{ aAddress.host_, port };
}

void
HttpServer::StopKeepingAlive()
{
  state_->keepsAlive_ = false;
}

void
HttpServer::StopAccepting()
{
  StopKeepingAlive();
  auto acceptor = state_->acceptor_.lock();
  if (state_->isAccepting_.exchange(false) && acceptor) {
    asio::post(acceptor->get_executor(), [state = state_, acceptor] {
      beast::error_code ignored;
      AcceptWaiting(state, *acceptor);
      acceptor->close(ignored);
    });
  }
}

void
HttpServer::CloseIdle()
{
  std::scoped_lock lock(state_->waitingMutex_);
  for (const auto& [key, weak] : state_->idle_) {
    auto idle = weak.lock();
    if (!idle) {
      continue;
    }
    asio::post(idle->stream_.get_executor(), [idle] {
      if (idle->isIdle_) {
        beast::error_code ignored;
        idle->stream_.socket().cancel(ignored);
      }
    });
  }
}

void
HttpServer::SetLimits(HttpLimits aLimits)
{
  for (const auto& loop : state_->threads_.GetState().loops_) {
    asio::post(*loop, [state = state_, aLimits] { state->limits_ = aLimits; });
  }
}

std::size_t
HttpServer::ActiveExchanges() const
{
  return state_->exchanges_;
}

std::size_t
HttpServer::Connections() const
{
  return state_->connections_;
}

std::optional<Address>
ListenOrLog(HttpServer& aServer, const Address& aAddress)
{
  auto listening = aServer.Listen(aAddress);
  if (!listening) {
    LogEvent(Severity::Error,
             "listen failed",
             { { "error", listening.error().message_ } });
    return std::nullopt;
  }
  return *listening;
}

void
ListenForMetrics(HttpServer& aServer, const Address& aAddress)
{
  if (auto listening = aServer.Listen(aAddress); !listening) {
    LogEvent(Severity::Warning,
             "no metrics",
             { { "error", listening.error().message_ } });
  }
}

} // namespace tanagerstall
