#include "tanagerstall_soak_replica.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall_platform_fakes.hpp"
#include "tanagerstall_platform_names.hpp"

#include <charconv>
#include <utility>

namespace tanagerstall::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval(1200);
constexpr milliseconds kAnnounceTimeout(1000);
constexpr milliseconds kMinWorkTime(20);
constexpr milliseconds kMaxWorkTime(80);
constexpr milliseconds kEventPause(25);
constexpr milliseconds kNoResponsePoll(50);
constexpr int kUnavailable = 503;

int
ParseNumber(std::string_view aText)
{
  int number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/// The status of a replica's response to a request that it has run.
int
StatusFor(ReplicaFault aFault)
{
  if (aFault == ReplicaFault::FailedAsUnavailable) {
    return kUnavailable;
  }
  return aFault == ReplicaFault::Failed ? 500 : 200;
}

} // namespace

SoakReplica::SoakReplica(ReplicaOptions aOptions,
                         TrafficThreads& aThreads,
                         Network& aNetwork,
                         CallerProtocol aProtocol,
                         std::uint64_t aSeed,
                         StartHook aOnStart)
  : options_(std::move(aOptions))
  , network_(aNetwork)
  , protocol_(std::move(aProtocol))
  , random_(aSeed)
  , onStart_(std::move(aOnStart))
  , server_(aThreads, {}, [this](HttpExchange& aExchange) {
    Handle(aExchange);
  })
{
  announcement_.service_ = options_.service_;
  announcement_.failureDomain_ = options_.failureDomain_;
  announcement_.slots_ = 8;
}

bool
SoakReplica::Start(TrafficThreads& aThreads)
{
  auto address = network_.ListenAddress(options_.host_, kReplicaPort);
  if (!server_.Listen(address)) {
    return false;
  }
  announcement_.address_ = address.ToString();
  Restart(false);
  aThreads.Spawn([this](Fiber& aFiber) { AnnounceForever(aFiber); });
  return true;
}

/// Resets all connections to the replica and refuses new ones, or accepts
/// connections again.
void
SoakReplica::SetRefusing(bool aIsRefusing)
{
  for (LinkEnds link : network_.LinksOf(options_.host_)) {
    if (link.to_ != options_.host_) {
      continue;
    }
    network_.Faults(link).isRefusing_ = aIsRefusing;
    if (aIsRefusing) {
      network_.Reset(link);
    }
  }
}

/// Sends a request about this replica to a randomly chosen control process.
tl::expected<HttpResponse, TransportError>
SoakReplica::SendToControl(Fiber& aFiber,
                           const char* aMethod,
                           std::string aBody)
{
  Host control = random_.Pick(options_.control_);
  return FetchHttp(aFiber,
                   network_.ProxyAddress({ options_.host_, control },
                                         platform::NodePorts::kControl),
                   { aMethod,
                     platform::kReplicasPath + announcement_.id_,
                     { { "Content-Type", "application/json" } },
                     std::move(aBody) },
                   kAnnounceTimeout);
}

void
SoakReplica::Crash()
{
  isUp_ = false;
  ++incarnation_;
  SetRefusing(true);
}

void
SoakReplica::Restart(bool aUnderSameId)
{
  SetRefusing(false);
  ++incarnation_;
  if (!aUnderSameId) {
    announcement_.id_ = options_.name_ + "-" + std::to_string(incarnation_);
  }
  announcement_.startTimeMs_ =
    static_cast<std::uint64_t>(ReadWallTime().time_since_epoch().count());
  announcement_.sequence_ = 0;
  announcement_.state_ = ReplicaState::Ready;
  drainingSince_.reset();
  isUp_ = true;
}

void
SoakReplica::Drain()
{
  announcement_.state_ = ReplicaState::Draining;
}

void
SoakReplica::Leave(Fiber& aFiber)
{
  isUp_ = false;
  auto response = SendToControl(aFiber, "DELETE", "");
  if (!response) {
    LogEvent(Severity::Info,
             "withdrawal of announcement failed",
             { { "replica", announcement_.id_ },
               { "error", response.error().detail_ } });
  }
}

void
SoakReplica::SetFault(ReplicaFault aFault, double aProbability)
{
  fault_ = aFault;
  faultProbability_ = aProbability;
}

bool
SoakReplica::IsPastIncarnation(unsigned aIncarnation) const
{
  return aIncarnation != incarnation_;
}

void
SoakReplica::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  if (!isUp_) {
    aExchange.Abort();
    return;
  }
  if (request.method_ == "GET") {
    aExchange.Respond(JsonResponse(
      announcement_.state_ == ReplicaState::Ready ? 200 : 503, "{}"));
    return;
  }
  std::string_view expected = request.Header(protocol_.expectedReplica_);
  auto fault = random_.Chance(faultProbability_) ? fault_ : ReplicaFault::None;
  if (fault == ReplicaFault::ResetBefore) {
    aExchange.Abort();
    return;
  }
  bool isOtherReplica = !expected.empty() && expected != announcement_.id_;
  if (isOtherReplica || fault == ReplicaFault::Refused) {
    HttpResponse refused = JsonResponse(isOtherReplica ? 421 : 503, "{}");
    refused.headers_.push_back({ protocol_.notRun_, "1" });
    aExchange.Respond(refused);
    return;
  }
  onStart_(*this, request);
  RunRequest(aExchange, fault);
}

void
SoakReplica::RunRequest(HttpExchange& aExchange, ReplicaFault aFault)
{
  const HttpRequest& request = aExchange.Request();
  std::string id(request.Header(protocol_.requestId_));
  unsigned incarnation = incarnation_;
  aExchange.GetFiber().Sleep(random_.Between(kMinWorkTime, kMaxWorkTime));
  while (aFault == ReplicaFault::NoResponse &&
         !IsPastIncarnation(incarnation) && !aExchange.IsCallerDisconnected()) {
    aExchange.GetFiber().Sleep(kNoResponsePoll);
  }
  if (IsPastIncarnation(incarnation) || aExchange.IsCallerDisconnected() ||
      aFault == ReplicaFault::ResetAfter ||
      aFault == ReplicaFault::NoResponse) {
    aExchange.Abort();
    return;
  }
  int status = StatusFor(aFault);
  bool isStream = request.target_.find("/stream") != std::string::npos;
  if (isStream && status != kUnavailable) {
    SendStream(aExchange, aFault == ReplicaFault::Truncated);
    return;
  }
  HttpResponse response;
  response.status_ = status;
  response.headers_ = { { protocol_.requestId_, id },
                        { protocol_.seal_, MakeSeal(id, status) } };
  response.body_ = ExpectedBody(RequestKind::Idempotent, id);
  if (aFault == ReplicaFault::Truncated) {
    aExchange.StartStream(response);
    aExchange.WritePart(response.body_.substr(0, response.body_.size() / 2));
    aExchange.Abort();
    return;
  }
  aExchange.Respond(response);
}

void
SoakReplica::SendStream(HttpExchange& aExchange, bool aIsTruncated)
{
  const HttpRequest& request = aExchange.Request();
  std::string id(request.Header(protocol_.requestId_));
  int after = ParseNumber(request.Header("Last-Event-Id"));
  unsigned incarnation = incarnation_;
  int last = aIsTruncated ? (after + kStreamEvents) / 2 : kStreamEvents;
  HttpResponse head;
  head.headers_ = { { "Content-Type", "text/event-stream" },
                    { protocol_.requestId_, id },
                    { protocol_.seal_, MakeSeal(id, 200) } };
  aExchange.StartStream(head);
  for (int i = after + 1; i <= last; ++i) {
    if (IsPastIncarnation(incarnation) ||
        !aExchange.WritePart(MakeStreamEvent(id, i))) {
      aExchange.Abort();
      return;
    }
    aExchange.GetFiber().Sleep(kEventPause);
  }
  if (aIsTruncated) {
    aExchange.WritePart("id: ");
    aExchange.Abort();
    return;
  }
  aExchange.EndStream();
}

void
SoakReplica::AnnounceForever(Fiber& aFiber)
{
  while (true) {
    if (isUp_) {
      Announce(aFiber);
    }
    bool isDrainPending = announcement_.state_ == ReplicaState::Draining &&
                          !drainingSince_.has_value();
    aFiber.Sleep(isDrainPending ? kAnnounceInterval / 4 : kAnnounceInterval);
  }
}

void
SoakReplica::Announce(Fiber& aFiber)
{
  ++announcement_.sequence_;
  Replica announcement = announcement_;
  unsigned incarnation = incarnation_;
  auto response =
    SendToControl(aFiber, "PUT", platform::EncodeAnnouncement(announcement));
  bool isAccepted = response && response->status_ == 200;
  if (isAccepted && announcement.state_ == ReplicaState::Draining &&
      !IsPastIncarnation(incarnation) && !drainingSince_) {
    drainingSince_ = clock_.Now();
  }
}

} // namespace tanagerstall::soak
