#include "tanagerstall_soak_operators.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall_platform_fakes.hpp"
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_platform_plan.hpp"
#include "tanagerstall_soak_callers.hpp"

#include <deque>

namespace tanagerstall::soak {

namespace {

using platform::NodePorts;
using std::chrono::milliseconds;

constexpr int kOperators = 2;
constexpr milliseconds kCallTimeout(1500);
constexpr milliseconds kMinPause(500);
constexpr milliseconds kMaxPause(2500);
constexpr milliseconds kReadPause(300);
constexpr milliseconds kProbePause(150);
/// How long the cloud takes for most calls, and for orders in one failure
/// domain. The latter is longer than a call may be late, so that a leader that
/// goes on with a round of orders after a suspension makes calls that count.
constexpr milliseconds kCloudTime(30);
constexpr milliseconds kSlowCloudTime(350);
constexpr const char* kSlowDomain = " in b";
/// The failure domain in which a leader first orders replicas of a service.
constexpr const char* kFirstDomain = " in a";
/// Share of the replica orders that the cloud can't place.
constexpr double kNoCapacityRatio = 0.9;
/// Replicas of a service that each failure domain should have. It is more than
/// there are, so that the leader orders replicas all the time.
constexpr std::uint32_t kMinScaling = 2;
/// A change must be in force at all processes this long after its
/// acknowledgement.
constexpr milliseconds kInForceAfter(3000);
/// A change must be acknowledged this long after it was sent first and after
/// the last repair.
constexpr milliseconds kAcknowledgedAfter(8000);
/// Number of most recent changes whose added routes a document contains.
constexpr std::uint64_t kKeptRoutes = 4;

std::string
AddedRoute(std::uint64_t aNumber)
{
  return "/added-" + std::to_string(aNumber) + "/";
}

Route
MakeRoute(const std::string& aPath, const SoakRoute& aTemplate)
{
  Route route;
  route.name_ = aPath;
  route.host_ = kSoakHost;
  route.pathPrefix_ = aPath;
  route.kind_ = aTemplate.kind_;
  route.isResumable_ = aTemplate.isResumable_;
  route.timeout_ = milliseconds(3500);
  route.targetLatency_ = milliseconds(800);
  route.targetGap_ = milliseconds(500);
  route.maxAttempts_ = 2;
  route.services_ = { { aTemplate.service_, 1 } };
  return route;
}

std::string
MakeDocument(std::uint64_t aNumber)
{
  TrafficPlan plan;
  plan.number_ = aNumber;
  for (const auto& route : kSoakRoutes) {
    plan.routes_.push_back(MakeRoute(route.path_, route));
  }
  auto first = aNumber > kKeptRoutes ? aNumber - kKeptRoutes + 1 : 1;
  for (auto i = first; i <= aNumber; ++i) {
    plan.routes_.push_back(MakeRoute(AddedRoute(i), kSoakRoutes[0]));
  }
  for (const char* name : { "plain", "model" }) {
    PlanService service;
    service.name_ = name;
    service.maxConnections_ = 100;
    service.scaling_ =
      ScalingBounds{ kMinScaling, 4, std::chrono::seconds(4), 0.0, {} };
    plan.services_[name] = service;
  }
  PlanOrganisation organisation;
  organisation.name_ = kOrganisation;
  plan.organisations_ = { organisation };
  return platform::EncodePlan(plan, { { kOrganisation, kOrganisationKey } });
}

/// All operators of a run. They share one sequence of change numbers.
class Operators
{
public:
  explicit Operators(Environment& aEnvironment)
    : environment_(aEnvironment)
    , random_(aEnvironment.options_.seed_ + 7)
  {
  }

  void ChangeForever(Fiber& aFiber)
  {
    while (!environment_.isFinished_) {
      Change(aFiber, ++number_);
      aFiber.Sleep(random_.Between(kMinPause, kMaxPause));
    }
  }

  void ReadForever(Fiber& aFiber)
  {
    while (!environment_.isFinished_) {
      Read(aFiber, PickControl(), NewestRequired());
      aFiber.Sleep(kReadPause);
    }
  }

  /// Returns true if the control process returned a configuration.
  bool Read(Fiber& aFiber, Host aControl, std::uint64_t aMinNumber)
  {
    auto response = Call(aFiber, aControl, "GET", "");
    if (!response || response->status_ != 200) {
      return false;
    }
    auto plan = platform::DecodePlan(response->body_);
    environment_.configuration_.OnRead(
      environment_.NodeAt(aControl).process_->Name(),
      aMinNumber,
      plan ? plan->number_ : 0,
      response->body_);
    return true;
  }

  void ProbeForever(Fiber& aFiber)
  {
    auto hosts = environment_.EntryHosts();
    while (!environment_.isFinished_) {
      for (Host host : hosts) {
        Probe(aFiber, environment_.NodeAt(host));
        aFiber.Sleep(kProbePause);
      }
    }
  }

private:
  Host PickControl()
  {
    auto hosts = environment_.ControlHosts();
    return random_.Pick(hosts);
  }

  tl::expected<HttpResponse, TransportError> Call(Fiber& aFiber,
                                                  Host aControl,
                                                  const char* aMethod,
                                                  const std::string& aBody)
  {
    return FetchHttp(aFiber,
                     environment_.network_.ProxyAddress(
                       { kClientHost, aControl }, NodePorts::kControl),
                     { aMethod, platform::kDeclarationPath, {}, aBody },
                     kCallTimeout);
  }

  /// Sends one change to randomly chosen control processes until one of them
  /// acknowledges it.
  void Change(Fiber& aFiber, std::uint64_t aNumber)
  {
    std::string document = MakeDocument(aNumber);
    environment_.configuration_.OnSent(aNumber, document);
    TimePoint dueAt = environment_.clock_.Now() + kAcknowledgedAfter;
    bool isLate = false;
    while (!environment_.isFinished_) {
      auto response = Call(aFiber, PickControl(), "PUT", document);
      if (response && response->status_ == 200) {
        environment_.configuration_.OnAcknowledged(aNumber);
        acknowledged_.push_back({ aNumber, environment_.clock_.Now() });
        return;
      }
      if (response && response->status_ < 500) {
        environment_.AddFinding({ "CONFIG",
                                  "change " + std::to_string(aNumber) +
                                    " was rejected with status " +
                                    std::to_string(response->status_) });
        return;
      }
      if (!isLate && environment_.options_.checksTimeBounds_ &&
          environment_.clock_.Now() > dueAt &&
          environment_.IsSteadyFor(kAcknowledgedAfter)) {
        isLate = true;
        environment_.AddFinding(
          { "RECOVER",
            "change " + std::to_string(aNumber) + " is not acknowledged" });
      }
      aFiber.Sleep(kReadPause);
    }
  }

  /// Returns the number of the newest change that must be in force by now, or
  /// 0.
  std::uint64_t NewestRequired()
  {
    auto now = environment_.clock_.Now();
    while (!acknowledged_.empty() &&
           acknowledged_.front().at_ + kInForceAfter < now) {
      newestRequired_ =
        std::max(newestRequired_, acknowledged_.front().number_);
      acknowledged_.pop_front();
    }
    return newestRequired_;
  }

  /// Whether all documents from this change on contain the route that it added.
  bool IsRouteKept(std::uint64_t aNumber) const
  {
    return environment_.configuration_.NewestSent() < aNumber + kKeptRoutes;
  }

  void Probe(Fiber& aFiber, const Node& aNode)
  {
    auto number = NewestRequired();
    if (number == 0 || !IsRouteKept(number)) {
      return;
    }
    SentRequest sent;
    sent.id_ = "probe-" + std::to_string(++probes_);
    sent.canRunAgain_ = true;
    sent.service_ = kSoakRoutes[0].service_;
    sent.target_ = AddedRoute(number);
    sent.organisation_ = kOrganisation;
    sent.canLackRoute_ = true;
    environment_.requests_.OnSent(sent);
    bool isRequired = environment_.options_.checksTimeBounds_ &&
                      environment_.IsSteadyFor(kSettleTime);
    unsigned incarnation = aNode.process_->Incarnation();
    auto response = FetchHttp(
      aFiber,
      environment_.network_.ProxyAddress(
        { kClientHost, aNode.process_->GetHost() }, NodePorts::kCallers),
      MakeCallerRequest(sent, kCallTimeout),
      kCallTimeout);
    bool isSameIncarnation = incarnation == aNode.process_->Incarnation();
    bool isChecked = response && isSameIncarnation && IsRouteKept(number) &&
                     (response->status_ == 200 || response->status_ == 404);
    if (isChecked) {
      environment_.configuration_.OnProbe(aNode.process_->Name() + " start " +
                                            std::to_string(incarnation),
                                          number,
                                          response->status_ == 200,
                                          isRequired);
    }
  }

  struct Acknowledgement
  {
    std::uint64_t number_ = 0;
    TimePoint at_;
  };

  Environment& environment_;
  Random random_;
  std::uint64_t number_ = 0;
  std::deque<Acknowledgement> acknowledged_;
  std::uint64_t newestRequired_ = 0;
  unsigned probes_ = 0;
};

/// Passes a call of a leader task to the checker.
void
CheckCloudCall(Environment& aEnvironment, const platform::CloudCall& aCall)
{
  Node* sender = aEnvironment.FindControl(aCall.holder_);
  if (sender == nullptr) {
    aEnvironment.AddFinding(
      { "CLOUD", "call to the cloud by unknown " + aCall.holder_ });
    return;
  }
  if (aCall.subject_.ends_with(kFirstDomain)) {
    ++sender->orderRounds_;
  }
  aEnvironment.lastCloudCaller_ = sender;
  bool canBeLate = aEnvironment.CanCallBeLate(*sender);
  LogEvent(Severity::Info,
           "call to the cloud",
           { { "sender", aCall.holder_ },
             { "subject", aCall.subject_ },
             { "fence", aCall.fence_ },
             { "can_be_late", canBeLate } });
  aEnvironment.leaderTasks_.OnCall({ aCall.subject_,
                                     aCall.fence_,
                                     aCall.holder_,
                                     aEnvironment.clock_.Now(),
                                     canBeLate });
  if (aCall.window_) {
    aEnvironment.leaderTasks_.OnReport(*aCall.window_, aCall.content_);
  }
}

/// Handles calls of leader tasks. Like a real interface it takes a while, and
/// at times has no capacity for a replica order.
void
HandleCloudCall(Environment& aEnvironment,
                Random& aRandom,
                HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  auto call =
    platform::DecodeCloudCall(PathOf(request),
                              request.Header(platform::kLeaderHeader),
                              request.Header(platform::kFencingTokenHeader),
                              request.body_.Text());
  if (!call) {
    aEnvironment.AddFinding(
      { "CLOUD", "malformed call to the cloud: " + request.body_.Text() });
    aExchange.Respond(JsonResponse(400, "{}"));
    return;
  }
  CheckCloudCall(aEnvironment, *call);
  bool isSlow = call->subject_.ends_with(kSlowDomain);
  aExchange.GetFiber().Sleep(isSlow ? kSlowCloudTime : kCloudTime);
  bool hasCapacity = call->window_ || !aRandom.Chance(kNoCapacityRatio);
  aExchange.Respond(JsonResponse(hasCapacity ? 200 : 409, "{}"));
}

} // namespace

void
StartOperators(Environment& aEnvironment)
{
  auto operators = std::make_shared<Operators>(aEnvironment);
  for (int i = 0; i < kOperators; ++i) {
    aEnvironment.threads_.Spawn(
      [operators](Fiber& aFiber) { operators->ChangeForever(aFiber); });
  }
  aEnvironment.threads_.Spawn(
    [operators](Fiber& aFiber) { operators->ReadForever(aFiber); });
  aEnvironment.threads_.Spawn(
    [operators](Fiber& aFiber) { operators->ProbeForever(aFiber); });
}

void
VerifyConfiguration(Fiber& aFiber, Environment& aEnvironment, TimePoint aUntil)
{
  Operators readers(aEnvironment);
  for (Host control : aEnvironment.ControlHosts()) {
    auto minNumber = aEnvironment.configuration_.NewestAcknowledged();
    bool isRead = false;
    while (!isRead && aEnvironment.clock_.Now() < aUntil) {
      isRead = readers.Read(aFiber, control, minNumber);
      aFiber.Sleep(kReadPause);
    }
    if (!isRead) {
      aEnvironment.AddFinding(
        { "CONFIG",
          aEnvironment.NodeAt(control).process_->Name() +
            " returned no configuration at the end of the run" });
    }
  }
}

bool
StartCloud(Environment& aEnvironment)
{
  auto random = std::make_shared<Random>(aEnvironment.options_.seed_ + 11);
  aEnvironment.cloud_ = std::make_unique<HttpServer>(
    aEnvironment.threads_,
    HttpLimits(),
    [&aEnvironment, random](HttpExchange& aExchange) {
      HandleCloudCall(aEnvironment, *random, aExchange);
    });
  return aEnvironment.cloud_
    ->Listen(aEnvironment.network_.ListenAddress(kCloudHost, kCloudPort))
    .has_value();
}

} // namespace tanagerstall::soak
