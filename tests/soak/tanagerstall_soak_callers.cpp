#include "tanagerstall_soak_callers.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall_platform_fakes.hpp"
#include "tanagerstall_platform_names.hpp"

#include <algorithm>
#include <memory>

namespace tanagerstall::soak {

namespace {

using platform::NodePorts;
using std::chrono::milliseconds;

constexpr milliseconds kCallerTimeout(4000);
constexpr milliseconds kConnectTimeout(1000);
constexpr milliseconds kDirectoryTimeout(1000);
constexpr milliseconds kDirectoryTtl(2000);
constexpr milliseconds kMinPause(20);
constexpr milliseconds kMaxPause(250);
/// Time limit of a caller that disconnects before the response is complete.
constexpr milliseconds kAbandonTimeout(30);
/// Share of the requests with kAbandonTimeout.
constexpr double kAbandonProbability = 0.03;

/// A caller with its cached directory response and its open connection.
class Caller
{
public:
  Caller(Environment& aEnvironment, int aNumber)
    : environment_(aEnvironment)
    , name_(std::to_string(aNumber))
    , random_(aEnvironment.options_.seed_ * 1000 +
              static_cast<unsigned>(aNumber))
    , protocol_(platform::MakeCallerProtocol())
  {
  }

  void CallForever(Fiber& aFiber)
  {
    while (!environment_.isFinished_) {
      Call(aFiber, random_.Pick(kSoakRoutes));
      aFiber.Sleep(random_.Between(kMinPause, kMaxPause));
    }
  }

  /// Sends one request. Returns true if it got a complete response with
  /// status 200.
  bool Call(Fiber& aFiber, const SoakRoute& aRoute)
  {
    SentRequest sent = MakeRequest(aRoute);
    if (!connection_ && !Connect(aFiber)) {
      return false;
    }
    bool isSteady = environment_.IsSteadyFor(Duration::zero());
    environment_.requests_.OnSent(sent);
    auto timeout =
      random_.Chance(kAbandonProbability) ? kAbandonTimeout : kCallerTimeout;
    ReceivedResponse response =
      Exchange(aFiber, MakeCallerRequest(sent, kCallerTimeout), timeout);
    environment_.requests_.OnResponse(sent.id_, response);
    bool isServed = response.status_ == 200 && response.isWhole_;
    if (isSteady && environment_.steadySince_ && timeout == kCallerTimeout) {
      CountSteadyRequest(sent, response, isServed);
    }
    return isServed;
  }

private:
  SentRequest MakeRequest(const SoakRoute& aRoute)
  {
    SentRequest sent;
    sent.id_ = "r" + name_ + "-" + std::to_string(++sent_);
    sent.kind_ = aRoute.kind_;
    sent.canRunAgain_ =
      aRoute.kind_ == RequestKind::Idempotent || aRoute.isResumable_;
    sent.service_ = aRoute.service_;
    sent.target_ = std::string(aRoute.path_) + "x?n=" + sent.id_;
    sent.body_ = "ask " + sent.id_;
    sent.organisation_ = kOrganisation;
    return sent;
  }

  bool Connect(Fiber& aFiber)
  {
    auto now = environment_.clock_.Now();
    if (now > directoryUntil_ || entries_.empty()) {
      QueryDirectory(aFiber);
    }
    if (entries_.empty()) {
      return false;
    }
    Address entry = random_.Pick(entries_);
    auto connection = HttpConnection::Connect(
      aFiber,
      environment_.network_.ProxyAddress(kClientHost, entry),
      kConnectTimeout);
    if (!connection) {
      std::erase(entries_, entry);
      return false;
    }
    connection_ = std::move(*connection);
    return true;
  }

  void QueryDirectory(Fiber& aFiber)
  {
    auto hosts = environment_.ControlHosts();
    Host control = random_.Pick(hosts);
    auto response =
      FetchHttp(aFiber,
                environment_.network_.ProxyAddress({ kClientHost, control },
                                                   NodePorts::kDirectory),
                { "GET",
                  std::string(platform::kDirectoryPath) + "?name=" + kSoakHost +
                    "&region=north&zone=a",
                  {},
                  "" },
                kDirectoryTimeout);
    if (response && response->status_ == 200) {
      entries_ = platform::DecodeDirectory(response->body_);
      directoryUntil_ = environment_.clock_.Now() + kDirectoryTtl;
    }
  }

  ReceivedResponse Exchange(Fiber& aFiber,
                            const HttpRequest& aRequest,
                            milliseconds aTimeout)
  {
    ReceivedResponse response;
    auto until = environment_.clock_.Now() + aTimeout;
    auto left = [&] {
      return std::max<Duration>(until - environment_.clock_.Now(),
                                milliseconds(1));
    };
    auto connection = std::move(connection_);
    if (!connection->Send(aRequest, left())) {
      return response;
    }
    auto head = connection->ReadHead(left());
    if (!head) {
      return response;
    }
    response.status_ = head->status_;
    response.seal_ = head->Header(protocol_.seal_);
    while (true) {
      auto part = connection->ReadBody(left());
      if (!part) {
        return response;
      }
      if (!part->has_value()) {
        break;
      }
      response.body_ += **part;
    }
    response.isWhole_ = true;
    if (connection->IsReusable()) {
      connection->SetFiber(aFiber);
      connection_ = std::move(connection);
    }
    return response;
  }

  void CountSteadyRequest(const SentRequest& aSent,
                          const ReceivedResponse& aResponse,
                          bool aIsServed)
  {
    ++environment_.steadyCounts_.sent_;
    environment_.steadyCounts_.served_ += aIsServed ? 1 : 0;
    bool isTruncated =
      !aResponse.isWhole_ && environment_.requests_.RunCount(aSent.id_) > 0;
    if (isTruncated && environment_.hasPlannedStops_) {
      environment_.AddFinding(
        { "LOST",
          aSent.id_ + " ran, but its response was cut off (status " +
            std::to_string(aResponse.status_) + ")" });
    }
    if (!aIsServed) {
      LogEvent(Severity::Info,
               "request not served in steady state",
               { { "request", aSent.id_ },
                 { "status", aResponse.status_ },
                 { "runs", environment_.requests_.RunCount(aSent.id_) } });
    }
  }

  Environment& environment_;
  std::string name_;
  Random random_;
  CallerProtocol protocol_;
  std::vector<Address> entries_;
  TimePoint directoryUntil_;
  std::unique_ptr<HttpConnection> connection_;
  unsigned sent_ = 0;
};

} // namespace

HttpRequest
MakeCallerRequest(const SentRequest& aSent, milliseconds aTimeout)
{
  auto protocol = platform::MakeCallerProtocol();
  return { "POST",
           aSent.target_,
           { { "Host", kSoakHost },
             { protocol.requestId_, aSent.id_ },
             { protocol.key_, kOrganisationKey },
             { protocol.timeRemaining_, std::to_string(aTimeout.count()) } },
           aSent.body_ };
}

void
StartCallers(Environment& aEnvironment)
{
  for (int i = 0; i < aEnvironment.options_.callers_; ++i) {
    aEnvironment.threads_.Spawn([&aEnvironment, i](Fiber& aFiber) {
      Caller(aEnvironment, i).CallForever(aFiber);
    });
  }
}

bool
IsServed(Fiber& aFiber, Environment& aEnvironment)
{
  // Request ids contain the caller's number, so it must be unique.
  static int number = 1'000'000;
  Caller caller(aEnvironment, number++);
  return std::all_of(
    std::begin(kSoakRoutes), std::end(kSoakRoutes), [&](const auto& aRoute) {
      return caller.Call(aFiber, aRoute);
    });
}

} // namespace tanagerstall::soak
