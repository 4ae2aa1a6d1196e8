#include "tanagerstall_soak_replica.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_platform_outside.hpp"

#include <charconv>
#include <utility>

namespace tanagerstall::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat(1200);
constexpr milliseconds kAnnounceTimeout(1000);
constexpr milliseconds kShortestWork(20);
constexpr milliseconds kLongestWork(80);
constexpr milliseconds kEventPause(25);
constexpr milliseconds kSilentPoll(50);

int
NumberIn(std::string_view aText)
{
  int number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace

SoakReplica::SoakReplica(ReplicaPlan aPlan,
                         TrafficThreads& aThreads,
                         Network& aNetwork,
                         CallerProtocol aProtocol,
                         std::uint64_t aSeed,
                         BeganHook aBegan)
  : plan_(std::move(aPlan))
  , network_(aNetwork)
  , protocol_(std::move(aProtocol))
  , random_(aSeed)
  , began_(std::move(aBegan))
  , server_(aThreads, {}, [this](HttpExchange& aExchange) {
    Handle(aExchange);
  })
{
  said_.service_ = plan_.service_;
  said_.failureDomain_ = plan_.failureDomain_;
  said_.slots_ = 8;
}

bool
SoakReplica::Start(TrafficThreads& aThreads)
{
  auto address = network_.Own(plan_.host_, kReplicaPort);
  if (!server_.Listen(address)) {
    return false;
  }
  said_.address_ = address.ToString();
  Restart(false);
  aThreads.Spawn([this](Fiber& aFiber) { AnnounceForever(aFiber); });
  return true;
}

/// Resets what connects to it, or takes connections again.
void
SoakReplica::SetRefusing(bool aIsRefusing)
{
  for (LinkEnds link : network_.LinksOf(plan_.host_)) {
    if (link.to_ != plan_.host_) {
      continue;
    }
    network_.Faults(link).isRefusing_ = aIsRefusing;
    if (aIsRefusing) {
      network_.Reset(link);
    }
  }
}

/// Says something of itself to any control process.
tl::expected<HttpResponse, TransportError>
SoakReplica::Tell(Fiber& aFiber, const char* aMethod, std::string aBody)
{
  Host control = random_.Pick(plan_.control_);
  return FetchHttp(
    aFiber,
    network_.Through({ plan_.host_, control }, platform::NodePorts::kControl),
    { aMethod,
      platform::kReplicasPath + said_.id_,
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
    said_.id_ = plan_.name_ + "-" + std::to_string(incarnation_);
  }
  said_.startTimeMs_ =
    static_cast<std::uint64_t>(ReadWallTime().time_since_epoch().count());
  said_.sequence_ = 0;
  said_.state_ = ReplicaState::Ready;
  drainingSince_.reset();
  isUp_ = true;
}

void
SoakReplica::Drain()
{
  said_.state_ = ReplicaState::Draining;
}

void
SoakReplica::Leave(Fiber& aFiber)
{
  isUp_ = false;
  auto answer = Tell(aFiber, "DELETE", "");
  if (!answer) {
    LogEvent(Severity::Info,
             "leave not heard",
             { { "replica", said_.id_ }, { "error", answer.error().detail_ } });
  }
}

void
SoakReplica::SetFault(ReplicaFault aFault, double aPart)
{
  fault_ = aFault;
  faultyPart_ = aPart;
}

bool
SoakReplica::IsDead(unsigned aIncarnation) const
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
    aExchange.Respond(
      JsonResponse(said_.state_ == ReplicaState::Ready ? 200 : 503, "{}"));
    return;
  }
  std::string_view expected = request.Header(protocol_.expectedReplica_);
  auto fault = random_.Chance(faultyPart_) ? fault_ : ReplicaFault::None;
  if (fault == ReplicaFault::ResetBefore) {
    aExchange.Abort();
    return;
  }
  bool isAnother = !expected.empty() && expected != said_.id_;
  if (isAnother || fault == ReplicaFault::Full) {
    HttpResponse refused = JsonResponse(isAnother ? 421 : 503, "{}");
    refused.headers_.push_back({ protocol_.notRun_, "1" });
    aExchange.Respond(refused);
    return;
  }
  began_(*this, request);
  Work(aExchange, fault);
}

void
SoakReplica::Work(HttpExchange& aExchange, ReplicaFault aFault)
{
  const HttpRequest& request = aExchange.Request();
  std::string id(request.Header(protocol_.requestId_));
  unsigned incarnation = incarnation_;
  aExchange.GetFiber().Sleep(random_.Between(kShortestWork, kLongestWork));
  while (aFault == ReplicaFault::Silent && !IsDead(incarnation) &&
         !aExchange.IsCallerDisconnected()) {
    aExchange.GetFiber().Sleep(kSilentPoll);
  }
  if (IsDead(incarnation) || aExchange.IsCallerDisconnected() ||
      aFault == ReplicaFault::ResetAfter || aFault == ReplicaFault::Silent) {
    aExchange.Abort();
    return;
  }
  if (request.target_.find("/stream") != std::string::npos) {
    Stream(aExchange, aFault == ReplicaFault::Half);
    return;
  }
  int status = aFault == ReplicaFault::Failed ? 500 : 200;
  HttpResponse response;
  response.status_ = status;
  response.headers_ = { { protocol_.requestId_, id },
                        { protocol_.seal_, SealOf(id, status) } };
  response.body_ = WholeBody(RequestKind::Idempotent, id);
  if (aFault == ReplicaFault::Half) {
    aExchange.StartStream(response);
    aExchange.WritePart(response.body_.substr(0, response.body_.size() / 2));
    aExchange.Abort();
    return;
  }
  aExchange.Respond(response);
}

void
SoakReplica::Stream(HttpExchange& aExchange, bool aIsHalf)
{
  const HttpRequest& request = aExchange.Request();
  std::string id(request.Header(protocol_.requestId_));
  int after = NumberIn(request.Header("Last-Event-Id"));
  unsigned incarnation = incarnation_;
  int last = aIsHalf ? (after + kStreamEvents) / 2 : kStreamEvents;
  HttpResponse head;
  head.headers_ = { { "Content-Type", "text/event-stream" },
                    { protocol_.requestId_, id },
                    { protocol_.seal_, SealOf(id, 200) } };
  aExchange.StartStream(head);
  for (int i = after + 1; i <= last; ++i) {
    if (IsDead(incarnation) || !aExchange.WritePart(StreamEvent(id, i))) {
      aExchange.Abort();
      return;
    }
    aExchange.GetFiber().Sleep(kEventPause);
  }
  if (aIsHalf) {
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
    bool isPressing =
      said_.state_ == ReplicaState::Draining && !drainingSince_.has_value();
    aFiber.Sleep(isPressing ? kHeartbeat / 4 : kHeartbeat);
  }
}

void
SoakReplica::Announce(Fiber& aFiber)
{
  ++said_.sequence_;
  Replica said = said_;
  unsigned incarnation = incarnation_;
  auto answer = Tell(aFiber, "PUT", platform::EncodeAnnouncement(said));
  bool isHeard = answer && answer->status_ == 200;
  if (isHeard && said.state_ == ReplicaState::Draining &&
      !IsDead(incarnation) && !drainingSince_) {
    drainingSince_ = clock_.Now();
  }
}

} // namespace tanagerstall::soak
