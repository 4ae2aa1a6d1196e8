// Requests that are malformed, too large or too slow get an error response and
// don't affect other callers.
#define BOOST_TEST_MODULE http_server
#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

/// At most four connections. Requests don't time out during the test, but each
/// unfinished one may be evicted at once to admit another connection.
HttpLimits
LongTimeoutLimits()
{
  HttpLimits limits;
  limits.maxConnections_ = 4;
  limits.requestTimeout_ = std::chrono::minutes(10);
  limits.minEvictionAge_ = Duration::zero();
  return limits;
}

HttpLimits
SmallLimits()
{
  HttpLimits limits;
  limits.maxHeadBytes_ = 1024;
  limits.maxBodyBytes_ = 64;
  limits.maxConnections_ = 4;
  limits.requestTimeout_ = std::chrono::milliseconds(150);
  limits.bodyIdleTimeout_ = std::chrono::milliseconds(150);
  limits.idleTimeout_ = std::chrono::seconds(30);
  return limits;
}

/// A server that echoes request bodies, on a free port. "/wait" blocks until
/// the caller disconnects; "/cut" aborts in the middle of the response.
struct EchoServer
{
  explicit EchoServer(HttpLimits aLimits = SmallLimits(),
                      std::size_t aThreads = 2)
    : threads_(aThreads)
    , server_(threads_,
              aLimits,
              [this](HttpExchange& aExchange) { Handle(aExchange); })
    , address_(server_.Listen({ "127.0.0.1", 0 }).value())
  {
  }

  void Handle(HttpExchange& aExchange)
  {
    if (aExchange.Request().target_ == "/wait") {
      aExchange.GetFiber().Suspend([&](Fiber::Resume aResume) {
        aExchange.OnCallerDisconnect([this, aResume] {
          callerDisconnected_.set_value();
          aResume();
        });
        isWaiting_.set_value();
      });
      return;
    }
    if (aExchange.Request().target_ == "/cut") {
      aExchange.StartStream({ 200, {}, "" });
      aExchange.WritePart("half an ans");
      aExchange.Abort();
      return;
    }
    aExchange.Respond({ 200, {}, aExchange.Request().body_ });
  }

  TrafficThreads threads_;
  std::promise<void> isWaiting_;
  std::promise<void> callerDisconnected_;
  HttpServer server_;
  Address address_;
};

/// A caller that sends raw bytes.
class RawCaller
{
public:
  explicit RawCaller(const Address& aAddress)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port_);
    ::inet_pton(AF_INET, aAddress.host_.c_str(), &address.sin_addr);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_TEST_REQUIRE(::connect(socket_, generic, sizeof(address)) == 0);
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(std::string_view aBytes) const
  {
    ::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  int Descriptor() const { return socket_; }

  /// Reads until the received bytes end with a text. Returns false if the
  /// server closes the connection before.
  bool ReadUntil(std::string_view aEnd) const
  {
    std::string all;
    char byte = 0;
    while (!all.ends_with(aEnd) && ::recv(socket_, &byte, 1, 0) == 1) {
      all += byte;
    }
    return all.ends_with(aEnd);
  }

  /// Reads until the server closes the connection.
  std::string ReadAll() const
  {
    std::string all;
    char buffer[1024];
    for (auto count = ::recv(socket_, buffer, sizeof(buffer), 0); count > 0;
         count = ::recv(socket_, buffer, sizeof(buffer), 0)) {
      all.append(buffer, static_cast<std::size_t>(count));
    }
    return all;
  }

  void Close()
  {
    if (socket_ >= 0) {
      ::close(std::exchange(socket_, -1));
    }
  }

private:
  int socket_;
};

using Answer = tl::expected<HttpResponse, TransportError>;

Answer
Fetch(EchoServer& aServer, HttpRequest aRequest)
{
  std::promise<Answer> promise;
  aServer.threads_.Spawn([&](Fiber& aFiber) {
    promise.set_value(FetchHttp(
      aFiber, aServer.address_, std::move(aRequest), std::chrono::seconds(10)));
  });
  return promise.get_future().get();
}

/// Returns this process's descriptor that is connected to a local port; -1 if
/// there is none.
int
FindConnectedTo(std::uint16_t aPort)
{
  constexpr int kDescriptors = 256;
  for (int i = 0; i < kDescriptors; ++i) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    int found = ::getpeername(i, reinterpret_cast<sockaddr*>(&peer), &size);
    if (found == 0 && ntohs(peer.sin_port) == aPort) {
      return i;
    }
  }
  return -1;
}

/// Connects to the server from the server's thread, duplicates the descriptor
/// and closes the original. The returned duplicate keeps the connection open.
int
CopyOfClosedConnection(EchoServer& aServer)
{
  std::promise<int> copy;
  aServer.threads_.Spawn([&](Fiber& aFiber) {
    auto connection = HttpConnection::Connect(
      aFiber, aServer.address_, std::chrono::seconds(10));
    BOOST_TEST_REQUIRE(connection.has_value());
    auto sent =
      (*connection)->Send({ "GET", "/", {}, "" }, std::chrono::seconds(10));
    BOOST_TEST_REQUIRE(sent.has_value());
    BOOST_TEST_REQUIRE(
      (*connection)->ReadWhole({ std::chrono::seconds(10) }, 100).has_value());
    int result = ::dup(FindConnectedTo(aServer.address_.port_));
    connection->reset();
    copy.set_value(result);
  });
  return copy.get_future().get();
}

struct BadInput
{
  const char* name_;
  std::string bytes_;
  const char* status_;
};

std::ostream&
operator<<(std::ostream& aOut, const BadInput& aInput)
{
  return aOut << aInput.name_;
}

const std::vector<BadInput> kBadInputs = {
  { "not HTTP", "nonsense\r\n\r\n", "400" },
  { "head too large",
    "GET / HTTP/1.1\r\nX: " + std::string(4096, 'x') + "\r\n\r\n",
    "431" },
  { "body too large",
    "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'),
    "413" },
  { "head too slow", "GET / HTT", "408" },
  { "body too slow", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx", "408" },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("http"))
BOOST_DATA_TEST_CASE(Bad_input_gets_an_error_response_and_others_are_served,
                     data::make(kBadInputs),
                     input)
{
  EchoServer server;
  RawCaller caller(server.address_);
  caller.Send(input.bytes_);
  auto other = Fetch(server, { "POST", "/", {}, "still served" });
  BOOST_TEST_REQUIRE(other.has_value());
  BOOST_TEST(other->body_ == "still served");
  std::string answer = caller.ReadAll();
  BOOST_TEST(answer.starts_with(std::string("HTTP/1.1 ") + input.status_));
  BOOST_TEST(answer.find("\"outcome\":\"not_run\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Caller_disconnect_is_detected_immediately,
                     *boost::unit_test::label("http"))
{
  EchoServer server;
  RawCaller caller(server.address_);
  caller.Send("GET /wait HTTP/1.1\r\n\r\n");
  caller.Close();
  server.callerDisconnected_.get_future().wait();
  BOOST_TEST(true);
}

// Guards against a spurious wakeup that blocks the server's only thread. A
// duplicate of a closed descriptor keeps delivering events, which may end the
// wait for the disconnect of a connection that was opened later.
BOOST_AUTO_TEST_CASE(Spurious_end_of_a_socket_wait_blocks_no_other_caller,
                     *boost::unit_test::label("http"))
{
  EchoServer server(SmallLimits(), 1);
  int copy = CopyOfClosedConnection(server);
  RawCaller waiting(server.address_);
  waiting.Send("GET /wait HTTP/1.1\r\n\r\n");
  server.isWaiting_.get_future().wait();
  // Closes the server's end of the duplicated connection.
  server.server_.CloseIdle();
  auto other = Fetch(server, { "POST", "/", {}, "still served" });
  BOOST_TEST(other.has_value());
  waiting.Close();
  server.callerDisconnected_.get_future().wait();
  ::close(copy);
}

BOOST_AUTO_TEST_CASE(Truncated_response_is_reported_as_lost_connection,
                     *boost::unit_test::label("http"))
{
  EchoServer server;
  auto answer = Fetch(server, { "GET", "/cut", {}, "" });
  BOOST_TEST_REQUIRE(!answer.has_value());
  BOOST_TEST(ToString(answer.error().fault_) == "connection lost");
}

BOOST_AUTO_TEST_CASE(Connections_over_the_limit_are_closed_at_once,
                     *boost::unit_test::label("http"))
{
  EchoServer server;
  std::vector<std::unique_ptr<RawCaller>> held;
  for (int i = 0; i < 4; ++i) {
    held.push_back(std::make_unique<RawCaller>(server.address_));
    held.back()->Send("GET / HTTP/1.1\r\n\r\n");
  }
  RawCaller over(server.address_);
  over.Send("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(over.ReadAll().empty());
}

// Callers that open connections and never complete their requests must not use
// up the connection limit: the oldest are closed to admit others.
BOOST_DATA_TEST_CASE(Unfinished_requests_do_not_lock_out_other_callers,
                     data::make({ "", "GET / HTT", "POST / HTTP/1.1\r\n" }),
                     begun)
{
  EchoServer server(LongTimeoutLimits());
  std::vector<std::unique_ptr<RawCaller>> held;
  for (int i = 0; i < 4; ++i) {
    held.push_back(std::make_unique<RawCaller>(server.address_));
    held.back()->Send(begun);
  }
  for (int i = 0; i < 6; ++i) {
    auto other = Fetch(server, { "POST", "/", {}, "still served" });
    BOOST_TEST_REQUIRE(other.has_value());
    BOOST_TEST(other->body_ == "still served");
  }
  // The server's threads decide which connection counts as the oldest, so any
  // of them may be closed first.
  std::vector<pollfd> ends;
  ends.reserve(held.size());
  for (const auto& caller : held) {
    ends.push_back({ caller->Descriptor(), POLLIN, 0 });
  }
  BOOST_TEST_REQUIRE(::poll(ends.data(), ends.size(), -1) > 0);
  auto dropped = std::find_if(ends.begin(), ends.end(), [](const pollfd& aIt) {
    return aIt.revents != 0;
  });
  std::string answer = held[dropped - ends.begin()]->ReadAll();
  bool isRejected = answer.empty() || answer.starts_with("HTTP/1.1 408");
  BOOST_TEST(isRejected);
}

namespace {

struct StopCase
{
  const char* name_;
  /// What the caller sends before and after the server stops accepting.
  std::string before_;
  std::string after_;
};

std::ostream&
operator<<(std::ostream& aOut, const StopCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<StopCase> kStopCases{
  { "a whole request just before",
    "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
    "" },
  { "a body that is still arriving",
    "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhe",
    "llo" },
  { "a head that is still arriving",
    "POST / HTT",
    "P/1.1\r\nContent-Length: 5\r\n\r\nhello" },
};

/// Waits as a stopping process does until no request is in progress for a
/// moment, then ends the threads.
void
FinishAndStop(EchoServer& aServer)
{
  constexpr int kQuietChecks = 5;
  for (int quiet = 0; quiet < kQuietChecks;) {
    aServer.server_.CloseIdle();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    quiet = aServer.server_.ActiveExchanges() == 0 ? quiet + 1 : 0;
  }
  aServer.threads_.Stop();
}

} // namespace

BOOST_DATA_TEST_CASE(A_planned_stop_cuts_off_no_request,
                     data::make(kStopCases) * data::make({ false, true }),
                     stop,
                     isKept)
{
  HttpLimits limits = SmallLimits();
  limits.requestTimeout_ = std::chrono::seconds(5);
  EchoServer server(limits);
  RawCaller caller(server.address_);
  const std::string first = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
  if (isKept) {
    caller.Send(first);
    BOOST_TEST(caller.ReadUntil("ok"));
  }
  caller.Send(stop.before_);
  // The stop begins at the same time, and again once the bytes were read.
  if (!stop.after_.empty()) {
    while (server.server_.ActiveExchanges() == 0) {
      std::this_thread::yield();
    }
  }
  server.server_.StopAccepting();
  auto ended = std::async(std::launch::async, [&] { FinishAndStop(server); });
  std::this_thread::sleep_for(
    std::chrono::milliseconds(stop.after_.empty() ? 0 : 60));
  caller.Send(stop.after_);
  std::string response = caller.ReadAll();
  ended.get();
  BOOST_TEST(response.find("200") != std::string::npos);
  BOOST_TEST(response.find("hello") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Connections_that_wait_to_be_accepted_are_served,
                     *boost::unit_test::label("http"))
{
  constexpr std::size_t kCallers = 20;
  HttpLimits limits = SmallLimits();
  limits.maxConnections_ = 2 * kCallers;
  EchoServer server(limits, 1);
  // The only thread is busy, so that the connections wait in the queue.
  std::promise<void> isBlocked;
  std::promise<void> mayGoOn;
  server.threads_.Post([&] {
    isBlocked.set_value();
    mayGoOn.get_future().wait();
  });
  isBlocked.get_future().wait();
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(server.address_));
    callers.back()->Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello");
  }
  server.server_.StopAccepting();
  mayGoOn.set_value();
  for (const auto& caller : callers) {
    BOOST_TEST(caller->ReadAll().find("hello") != std::string::npos);
  }
}
