#ifndef TANAGERSTALL_FORWARDER_ENVIRONMENT_HPP_INCLUDED
#define TANAGERSTALL_FORWARDER_ENVIRONMENT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_forwarder.hpp"
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_platform_plan.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace tanagerstall {

using namespace std::chrono_literals;

constexpr const char* kSeal = "Tanagerstall-Response-Seal: s\r\n";

/// What an upstream does with a connection after it has sent its bytes.
enum class After
{
  Keep,
  Close,
  Reset,
  /// Sends more bytes without end, until the peer closes.
  Endless,
  /// Sends more bytes a few times, then the end of the stream.
  Repeat
};

struct Script
{
  std::string bytes_;
  After after_ = After::Keep;
  /// The bytes that are repeated for After::Endless and After::Repeat.
  std::string repeated_{};
  /// The pause between two repetitions.
  std::chrono::milliseconds pause_{ 0 };
  /// The response to a second request on the same connection.
  std::string second_{};
  /// Whether the connection is closed after that.
  bool endsAfterSecond_ = false;
  /// Whether connections are served at the same time, not one after the other.
  bool isParallel_ = false;
};

/// An upstream that responds to every request with the same bytes, in which
/// "@ID" is replaced by the request's id.
class ScriptedUpstream
{
public:
  explicit ScriptedUpstream(Script aScript)
    : script_(std::move(aScript))
    , listener_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(
      ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(::listen(listener_, 8) == 0);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Accept(); });
  }

  ~ScriptedUpstream()
  {
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    thread_.join();
    for (auto& thread : serving_) {
      thread.join();
    }
  }

  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  int Requests() const { return requests_; }
  std::string LastRequest() const
  {
    std::scoped_lock lock(lastMutex_);
    return last_;
  }

private:
  void Accept()
  {
    while (true) {
      int connection = ::accept(listener_, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      if (script_.isParallel_) {
        serving_.emplace_back([this, connection] { Serve(connection); });
      } else {
        Serve(connection);
      }
    }
  }

  /// Reads one request, which has no body; "" if the connection was closed.
  static std::string ReadRequest(int aConnection)
  {
    std::string head;
    char buffer[4096]; // NOLINT
    while (head.find("\r\n\r\n") == std::string::npos) {
      auto count = ::recv(aConnection, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        return "";
      }
      head.append(buffer, static_cast<std::size_t>(count));
    }
    return head;
  }

  static bool Send(int aConnection, const std::string& aBytes)
  {
    return ::send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) > 0;
  }

  void SendRepeatedly(int aConnection) const
  {
    std::string block;
    while (block.size() < 4096) {
      block += script_.repeated_;
    }
    bool isSlow = script_.pause_.count() > 0;
    while (Send(aConnection, isSlow ? script_.repeated_ : block)) {
      std::this_thread::sleep_for(script_.pause_);
    }
  }

  void SendSomeTimes(int aConnection) const
  {
    constexpr int kTimes = 5;
    for (int i = 0; i < kTimes; ++i) {
      std::this_thread::sleep_for(script_.pause_);
      Send(aConnection, script_.repeated_);
    }
    Send(aConnection, "0\r\n\r\n");
  }

  void Serve(int aConnection)
  {
    char buffer[4096]; // NOLINT
    std::string head = ReadRequest(aConnection);
    if (head.empty()) {
      ::close(aConnection);
      return;
    }
    {
      std::scoped_lock lock(lastMutex_);
      last_ = head;
    }
    ++requests_;
    Send(aConnection, WithId(script_.bytes_, head));
    if (script_.after_ == After::Keep && !script_.second_.empty()) {
      head = ReadRequest(aConnection);
      if (!head.empty()) {
        ++requests_;
        Send(aConnection, WithId(script_.second_, head));
      }
    }
    if (script_.after_ == After::Keep && !script_.endsAfterSecond_) {
      ::recv(aConnection, buffer, sizeof(buffer), 0);
    } else if (script_.after_ == After::Endless) {
      SendRepeatedly(aConnection);
    } else if (script_.after_ == After::Repeat) {
      SendSomeTimes(aConnection);
    } else if (script_.after_ == After::Reset) {
      std::this_thread::sleep_for(30ms);
      linger hard{ 1, 0 };
      ::setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }
    ::close(aConnection);
  }

  /// Replaces "@ID" by the id of a request.
  static std::string WithId(std::string aBytes, const std::string& aRequest)
  {
    constexpr std::string_view kIdHeader = "Tanagerstall-Request-Id: ";
    auto at = aRequest.find(kIdHeader) + kIdHeader.size();
    std::string id = aRequest.substr(at, aRequest.find('\r', at) - at);
    for (auto mark = aBytes.find("@ID"); mark != std::string::npos;
         mark = aBytes.find("@ID")) {
      aBytes.replace(mark, 3, id);
    }
    return aBytes;
  }

  Script script_;
  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<int> requests_{ 0 };
  mutable std::mutex lastMutex_;
  std::string last_;
  std::thread thread_;
  std::vector<std::thread> serving_;
};

constexpr const char* kDocument =
  R"({"version":1,"services":[{"name":"s"}],"routes":[)"
  R"({"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe",)"
  R"("timeoutMs":1500,"service":"s","attempts":2},)"
  R"({"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe",)"
  R"("timeoutMs":1500,"service":"s","attempts":2},)"
  R"({"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming",)"
  R"("timeoutMs":1500,"service":"s","attempts":2},)"
  R"({"name":"resume","host":"h","pathPrefix":"/resume/","kind":"streaming",)"
  R"("timeoutMs":1500,"service":"s","attempts":2,"resumable":true}]})";

inline Replica
MakeReplica(const std::string& aId,
            const std::string& aService,
            const ScriptedUpstream& aUpstream)
{
  Replica replica;
  replica.id_ = aId;
  replica.service_ = aService;
  replica.address_ = aUpstream.Address();
  replica.failureDomain_ = "a";
  return replica;
}

/// An HTTP server with an entry's forwarder and scripted upstreams.
struct Environment
{
  explicit Environment(const std::vector<const ScriptedUpstream*>& aUpstreams,
                       const std::string& aDocument = kDocument,
                       std::uint32_t aShareDivisor = 1,
                       bool aHasAdmission = false)
    : threads_(1)
    , forwarder_({ platform::MakeCallerProtocol(),
                   "a",
                   {},
                   0.2,
                   100.0,
                   5s,
                   nullptr,
                   aHasAdmission },
                 Clock(),
                 { ReadWallTime, [] {} })
    , server_(threads_, {}, [this](HttpExchange& aExchange) {
      forwarder_.Handle(aExchange);
    })
  {
    auto replicas = std::make_shared<ReplicasByService>();
    for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
      (*replicas)["s"].push_back(
        MakeReplica("r" + std::to_string(i), "s", *aUpstreams[i]));
    }
    auto plan = std::make_shared<TrafficPlan>(*platform::DecodePlan(aDocument));
    std::promise<void> ready;
    threads_.Post([&] {
      forwarder_.SetPlan(plan);
      forwarder_.SetShareDivisor(aShareDivisor);
      forwarder_.SetReplicas(replicas);
      ready.set_value();
    });
    ready.get_future().wait();
    address_ = *server_.Listen({ "127.0.0.1", 0 });
  }

  ~Environment() { threads_.Stop(); }

  /// Replaces the replicas by ones of these software versions.
  void SetVersions(const std::vector<const ScriptedUpstream*>& aUpstreams,
                   const std::vector<std::string>& aVersions)
  {
    auto replicas = std::make_shared<ReplicasByService>();
    for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
      auto replica = MakeReplica("v" + std::to_string(i), "s", *aUpstreams[i]);
      replica.version_ = aVersions[i];
      (*replicas)["s"].push_back(replica);
    }
    Call<bool>([&](Forwarder& aForwarder) {
      aForwarder.SetReplicas(replicas);
      return true;
    });
  }

  /// Sends a request as a caller and returns what the caller receives.
  tl::expected<HttpResponse, TransportError> Fetch(
    const std::string& aPath,
    const std::string& aPromptParts = "",
    const std::string& aKey = "",
    const std::vector<HttpHeader>& aHeaders = {},
    const std::string& aBody = "")
  {
    std::promise<tl::expected<HttpResponse, TransportError>> promise;
    threads_.Spawn([&](Fiber& aFiber) {
      HttpRequest request{ aBody.empty() ? "GET" : "POST",
                           aPath,
                           { { "Host", "h" },
                             { "Tanagerstall-Request-Id", "id-1" },
                             { "Tanagerstall-Time-Remaining", "1200" } },
                           aBody };
      if (!aPromptParts.empty()) {
        request.headers_.push_back(
          { "Tanagerstall-Prompt-Prefix", aPromptParts });
      }
      if (!aKey.empty()) {
        request.headers_.push_back({ "Tanagerstall-Key", aKey });
      }
      request.headers_.insert(
        request.headers_.end(), aHeaders.begin(), aHeaders.end());
      promise.set_value(FetchHttp(aFiber, address_, request, 3s));
    });
    return promise.get_future().get();
  }

  /// Calls a function of the forwarder on its thread.
  template<class Result>
  Result Call(const std::function<Result(Forwarder&)>& aFunction)
  {
    std::promise<Result> promise;
    threads_.Post([&] { promise.set_value(aFunction(forwarder_)); });
    return promise.get_future().get();
  }

  void ApplyVerdicts(const CrashVerdicts& aVerdicts)
  {
    Call<bool>([&](Forwarder& aForwarder) {
      aForwarder.ApplyVerdicts(aVerdicts);
      return true;
    });
  }

  CrashReport Evidence()
  {
    return Call<CrashReport>(
      [](Forwarder& aForwarder) { return aForwarder.Report().crashReport_; });
  }

  TrafficThreads threads_;
  Forwarder forwarder_;
  HttpServer server_;
  Address address_;
};

inline std::string
Head(const std::string& aStatus, const std::string& aMore = kSeal)
{
  return "HTTP/1.1 " + aStatus + "\r\nTanagerstall-Request-Id: @ID\r\n" + aMore;
}

inline std::string
Chunk(const std::string& aText)
{
  std::ostringstream chunk;
  chunk << std::hex << aText.size() << "\r\n" << aText << "\r\n";
  return chunk.str();
}

inline const std::string kWhole =
  Head("200 OK") + "Content-Length: 5\r\n\r\nhello";
inline const std::string kStreamHead =
  Head("200 OK") + "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string kEvent1 = "id: 1\ndata: a\n\n";
inline const std::string kEvent2 = "id: 2\ndata: b\n\n";

/// Stands for the status of a connection that visibly broke off.
constexpr int kBroken = 0;

inline const std::string kNotRun =
  Head("503 Service Unavailable", "Tanagerstall-Not-Executed: 1\r\n") +
  "Content-Length: 0\r\n\r\n";
inline const std::string kFailed =
  Head("500 Internal Server Error") + "Content-Length: 2\r\n\r\nno";
inline const std::string kHalf =
  Head("200 OK") + "Content-Length: 50\r\n\r\nhello";
inline const std::string kUnsealed =
  Head("200 OK", "") + "Content-Length: 5\r\n\r\nhello";
inline const std::string kForeign =
  std::string("HTTP/1.1 200 OK\r\nTanagerstall-Request-Id: other\r\n") + kSeal +
  "Content-Length: 5\r\n\r\nwrong";
inline const std::string kMisdirected =
  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

/// Inserts a header field before the end of a response's head.
inline std::string
WithHeader(std::string aResponse, const std::string& aHeader)
{
  return aResponse.insert(aResponse.find("\r\n\r\n") + 2, aHeader);
}

/// A fault that both upstreams have.
struct FaultCase
{
  const char* name_;
  const char* path_;
  Script script_;
  /// The caller's status, or kBroken.
  int status_;
  /// The number of requests that both upstreams received in total.
  int sends_;
};

inline std::ostream&
operator<<(std::ostream& aOut, const FaultCase& aCase)
{
  return aOut << aCase.path_ << " " << aCase.name_;
}

/// Checks what a caller gets for a request with this body, and how often it is
/// sent.
inline void
CheckFault(const FaultCase& aCase, const std::string& aBody = "")
{
  ScriptedUpstream one(aCase.script_);
  ScriptedUpstream other(aCase.script_);
  Environment environment({ &one, &other });
  auto answer = environment.Fetch(aCase.path_, "", "", {}, aBody);
  BOOST_TEST((answer ? answer->status_ : kBroken) == aCase.status_);
  BOOST_TEST(one.Requests() + other.Requests() == aCase.sends_);
  if (answer && answer->status_ == 503) {
    BOOST_TEST(!answer->Header("Retry-After").empty());
  }
}

} // namespace tanagerstall

#endif
