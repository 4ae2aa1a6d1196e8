#include "tanagerstall/request/tanagerstall_forwarder.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_forward_refusal.hpp"
#include "tanagerstall/request/tanagerstall_request_admission.hpp"
#include "tanagerstall/request/tanagerstall_request_fingerprint.hpp"
#include "tanagerstall/request/tanagerstall_request_log.hpp"
#include "tanagerstall/request/tanagerstall_request_work.hpp"

#include <algorithm>
#include <utility>

namespace tanagerstall {

namespace {

/// The maximum wait for control to grant a request's cost.
constexpr Duration kGrantWait = std::chrono::milliseconds(250);
/// The same for a request that asked control although its last reply reported
/// an exhausted limit. The others are refused at once.
constexpr Duration kExhaustedGrantWait = std::chrono::milliseconds(80);
/// The interval between grant requests. They are repeated because other
/// requests may just have requested less than is needed now.
constexpr Duration kGrantRequestInterval = std::chrono::milliseconds(45);
constexpr Duration kGrantPollInterval = std::chrono::milliseconds(15);
/// The work of a refused request relative to that of a forwarded one.
constexpr double kRefusalWork = 0.2;
/// Memory for whole responses in progress, in bytes: of all replicas, and of
/// one, which fits its largest response.
constexpr BufferBudget::Limits kBufferLimits{ 32UL << 20U, 16UL << 20U };

/// Counts a long response as in progress while it exists.
class LongResponse
{
public:
  LongResponse(ServiceLoad& aLoad, WorkClass aWork)
    : load_(aLoad)
    , isLong_(aWork == WorkClass::Long)
  {
    load_.longRunning_ += isLong_ ? 1 : 0;
  }
  ~LongResponse() { load_.longRunning_ -= isLong_ ? 1 : 0; }
  LongResponse(const LongResponse&) = delete;
  LongResponse& operator=(const LongResponse&) = delete;

private:
  ServiceLoad& load_;
  bool isLong_;
};

/// Lists an attempt among those in progress while it exists.
class AttemptInProgress
{
public:
  AttemptInProgress(std::set<ForwardAttempt*>& aList, ForwardAttempt& aAttempt)
    : list_(aList)
    , attempt_(aAttempt)
  {
    list_.insert(&attempt_);
  }
  ~AttemptInProgress() { list_.erase(&attempt_); }
  AttemptInProgress(const AttemptInProgress&) = delete;
  AttemptInProgress& operator=(const AttemptInProgress&) = delete;

private:
  std::set<ForwardAttempt*>& list_;
  ForwardAttempt& attempt_;
};

} // namespace

/// What the attempts of one request share.
struct Forwarder::Progress
{
  RequestCauses causes_;
  AdmissionObserver admission_;
  /// Whether a replica has begun to run the request, which counts once.
  bool hasRun_ = false;
  /// Whether the current attempt counts as a success of the causes already.
  bool isSuccessCounted_ = false;
};

Forwarder::Forwarder(ForwarderSettings aSettings, Clock aClock, Hooks aHooks)
  : settings_(std::move(aSettings))
  , clock_(std::move(aClock))
  , hooks_(std::move(aHooks))
  , pool_(clock_)
  , buffers_(kBufferLimits, settings_.memory_)
  , chooser_({ settings_.failureDomain_, settings_.regions_ },
             std::random_device()())
  , rollouts_(chooser_, std::random_device()())
  , limits_(std::random_device()())
  , admission_(std::random_device()())
  , resumption_(clock_, hooks_.requestStreams_)
  , recorder_(chooser_, quarantine_, metrics_, clock_)
  , usage_(settings_.usageWindow_, hooks_.wallClock_)
  , retries_(settings_.retryRatio_, settings_.retrySlack_)
  , random_(std::random_device()())
{
}

Forwarder::~Forwarder() = default;

/// Counts and logs the refusal of a request that has not run, and returns the
/// response for its caller.
HttpResponse
Forwarder::Refuse(const ForwardedRequest& aRequest,
                  const ForwardRefusal& aRefusal)
{
  metrics_.CountRefusal(aRefusal.code_);
  LogRefused(aRequest,
             aRefusal.status_,
             aRefusal.reason_,
             chooser_.CountReplicas(aRequest.service_),
             clock_.Now());
  return RefusalResponse(aRefusal);
}

void
Forwarder::SetPlan(std::shared_ptr<const TrafficPlan> aPlan)
{
  if (!plan_ || aPlan->number_ > plan_->number_) {
    plan_ = std::move(aPlan);
    admission_.SetPlan(*plan_);
    resumption_.Directory().SetPlan(*plan_);
  }
}

void
Forwarder::SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas)
{
  admission_.SetReplicas(*aReplicas);
  resumption_.Directory().SetReplicas(*aReplicas, clock_.Now());
  rollouts_.SetReplicas(std::move(aReplicas));
}

void
Forwarder::AdoptRates(const NamedRates& aRates)
{
  chooser_.RateLimits().Adopt(aRates, clock_.Now());
}

void
Forwarder::SetLongResponses(
  const std::map<std::string, std::uint32_t>& aLongResponses)
{
  chooser_.SetLongResponses(aLongResponses, clock_.Now());
}

void
Forwarder::ApplyVerdicts(const CrashVerdicts& aVerdicts)
{
  quarantine_.Apply(aVerdicts, clock_.Now());
}

void
Forwarder::SetShareDivisor(std::uint32_t aDivisor)
{
  retries_.SetShareDivisor(aDivisor);
  chooser_.SetShareDivisor(aDivisor);
  admission_.SetShareDivisor(aDivisor);
}

std::optional<HttpResponse>
Forwarder::CheckOrganisation(HttpExchange& aExchange,
                             ForwardedRequest& aRequest)
{
  const HttpRequest& http = aExchange.Request();
  if (!aRequest.plan_->organisations_ || aRequest.route_->isAnonymous_) {
    return std::nullopt;
  }
  aRequest.organisation_ =
    aRequest.plan_->FindOrganisation(http.Header(settings_.protocol_.key_));
  if (aRequest.organisation_ == nullptr) {
    return Refuse(aRequest, kUnknownKey);
  }
  if (!aExchange.HoldFor(aRequest.organisation_->name_)) {
    return Refuse(aRequest, kOverMemory);
  }
  return std::nullopt;
}

std::optional<HttpResponse>
Forwarder::CheckRate(HttpExchange& aExchange, ForwardedRequest& aRequest)
{
  const PlanOrganisation* organisation = aRequest.organisation_;
  if (organisation == nullptr) {
    return std::nullopt;
  }
  aRequest.limitCost_ = 1.0;
  if (organisation->isLimitedByTokens_) {
    auto tokens =
      aRequest.prompt_.promptTokens_ + aRequest.prompt_.maxOutputTokens_;
    aRequest.limitCost_ = static_cast<double>(
      tokens > 0 ? tokens : organisation->defaultTokenCost_);
  }
  auto decision = AwaitCost(aExchange, *organisation, aRequest.limitCost_);
  if (decision == CostDecision::Admitted) {
    return std::nullopt;
  }
  return Refuse(aRequest,
                decision == CostDecision::Exhausted ? kOverRate : kNoGrant);
}

/// Refuses a request that would crash its replica.
std::optional<HttpResponse>
Forwarder::CheckQuarantine(const ForwardedRequest& aRequest)
{
  RequestCauses causes = aRequest.Causes();
  auto remaining = quarantine_.RemainingFor(causes, clock_.Now());
  if (!remaining) {
    return std::nullopt;
  }
  causes.request_ = 0;
  ForwardRefusal refusal = quarantine_.RemainingFor(causes, clock_.Now())
                             ? kQuarantinedPart
                             : kQuarantinedRequest;
  refusal.retryAfter_ = remaining;
  return Refuse(aRequest, refusal);
}

/// Refuses a request that no replica of its service takes now, before it is
/// charged to a limit or waits for one.
std::optional<HttpResponse>
Forwarder::CheckBackoff(const ForwardedRequest& aRequest)
{
  auto untilOpen = chooser_.TimeUntilOpen(aRequest.service_, clock_.Now());
  if (!untilOpen || *untilOpen == Duration::zero()) {
    return std::nullopt;
  }
  ServiceLoad& load = loads_[aRequest.service_];
  ++load.arrivals_;
  ++load.refused_;
  return Refuse(aRequest, UnavailableRefusal(aRequest.service_));
}

/// Refuses a request that would delay more urgent ones, or that can't be served
/// in time.
std::optional<HttpResponse>
Forwarder::CheckAdmission(const ForwardedRequest& aRequest)
{
  if (!settings_.hasAdmission_) {
    return std::nullopt;
  }
  auto refusal = RefuseByAdmission(admission_, aRequest, clock_.Now());
  if (!refusal) {
    return std::nullopt;
  }
  ServiceLoad& load = loads_[aRequest.service_];
  ++load.arrivals_;
  ++load.refused_;
  return Refuse(aRequest, *refusal);
}

/// Takes the cost from the organisation's limit, waiting for control to grant
/// more if the entry holds too little.
CostDecision
Forwarder::AwaitCost(HttpExchange& aExchange,
                     const PlanOrganisation& aOrganisation,
                     double aCost)
{
  CostLimit limit{ aOrganisation.ratePerSecond_, aOrganisation.burst_ };
  TimePoint begin = clock_.Now();
  TimePoint requestAt = begin;
  limits_.AddWaiting(aOrganisation.name_, aCost);
  CostDecision decision = CostDecision::InsufficientGrant;
  Duration exhaustedWait = Duration::zero();
  while (true) {
    TimePoint now = clock_.Now();
    decision = limits_.TryAdmit(aOrganisation.name_, limit, aCost, now);
    if (decision == CostDecision::Admitted ||
        aExchange.IsCallerDisconnected()) {
      break;
    }
    if (now >= requestAt &&
        limits_.TakeRequestToken(aOrganisation.name_, now)) {
      requestAt = now + kGrantRequestInterval;
      exhaustedWait = kExhaustedGrantWait;
      hooks_.requestCost_();
    }
    Duration wait =
      decision == CostDecision::InsufficientGrant ? kGrantWait : exhaustedWait;
    if (now - begin >= wait) {
      break;
    }
    aExchange.GetFiber().Sleep(kGrantPollInterval);
  }
  limits_.RemoveWaiting(aOrganisation.name_, aCost);
  return decision;
}

/// Finds the request's route and organisation, charges its cost to the limit
/// and chooses its service. The error is the response that refuses it.
tl::expected<ForwardedRequest, HttpResponse>
Forwarder::Admit(HttpExchange& aExchange)
{
  const HttpRequest& http = aExchange.Request();
  ForwardedRequest request;
  request.arrivedAt_ = clock_.Now();
  request.id_ = http.Header(settings_.protocol_.requestId_);
  request.plan_ = plan_;
  if (!plan_) {
    return tl::make_unexpected(Refuse(request, kNoConfiguration));
  }
  request.route_ = plan_->FindRoute(HostOf(http), PathOf(http));
  if (request.route_ == nullptr) {
    return tl::make_unexpected(Refuse(request, kNoRoute));
  }
  if (auto refusal = CheckOrganisation(aExchange, request)) {
    return tl::make_unexpected(*refusal);
  }
  request.prompt_ = ReadPromptFacts(http, settings_.protocol_);
  request.fingerprint_ = FingerprintOf(http, request.OrganisationName());
  if (auto refusal = CheckQuarantine(request)) {
    return tl::make_unexpected(*refusal);
  }
  request.cost_ = EstimateWork(request.prompt_);
  Milliseconds wait = request.route_->timeout_;
  if (auto remaining = ReadTimeRemaining(http, settings_.protocol_)) {
    wait = std::min(wait, *remaining);
  }
  request.deadline_ = request.arrivedAt_ + wait;
  if (request.deadline_ > takesUntil_) {
    return tl::make_unexpected(Refuse(request, kStopping));
  }
  request.service_ = PickService(*request.route_);
  if (!resumption_.Prepare(aExchange, settings_.protocol_, request)) {
    return tl::make_unexpected(Refuse(request, kUnknownOrigin));
  }
  if (auto refusal = CheckBackoff(request)) {
    return tl::make_unexpected(*refusal);
  }
  if (auto refusal = CheckAdmission(request)) {
    return tl::make_unexpected(*refusal);
  }
  if (auto refusal = CheckRate(aExchange, request)) {
    return tl::make_unexpected(*refusal);
  }
  return request;
}

/// Draws one of the route's services by their weights.
const std::string&
Forwarder::PickService(const Route& aRoute)
{
  std::vector<double> weights;
  for (const auto& target : aRoute.services_) {
    weights.push_back(target.weight_);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return aRoute.services_[pick(random_)].service_;
}

void
Forwarder::Handle(HttpExchange& aExchange)
{
  auto request = Admit(aExchange);
  arrivals_.Add(request ? 1.0 : kRefusalWork);
  if (!request) {
    aExchange.Respond(request.error());
    return;
  }
  ServiceLoad& load = loads_[request->service_];
  ++load.arrivals_;
  metrics_.Count(Counter::Requests);
  retries_.OnRequest(request->service_);
  LongResponse longResponse(load, WorkClassOf(*request));
  Run(aExchange, *request);
  CountLatency(*request, load);
}

/// Counts whether the response began within the target latency of the route. A
/// request without a response counts once it has waited for longer.
void
Forwarder::CountLatency(const ForwardedRequest& aRequest, ServiceLoad& aLoad)
{
  Duration target = aRequest.route_->targetLatency_;
  if (target == Duration::zero()) {
    return;
  }
  TimePoint begunAt = aRequest.firstPartAt_.value_or(clock_.Now());
  bool isLong = WorkClassOf(aRequest) == WorkClass::Long;
  if (begunAt - aRequest.arrivedAt_ > target) {
    ++(isLong ? aLoad.longLate_ : aLoad.late_);
  } else if (aRequest.firstPartAt_) {
    ++(isLong ? aLoad.longInTime_ : aLoad.inTime_);
  }
}

/// Returns the refusal of a request that no replica took. If all replicas have
/// asked for a back-off or have got what they take, callers are told to come
/// back after the shortest of them, spread over as long a time again, since new
/// ones come as well.
ForwardRefusal
Forwarder::UnavailableRefusal(const std::string& aService)
{
  auto untilOpen = chooser_.TimeUntilOpen(aService, clock_.Now());
  if (!untilOpen) {
    return kUnavailable;
  }
  std::uniform_real_distribution<double> part(0.0, 1.0);
  Duration spread = std::max(RequestedBackoff::kReturnTime, *untilOpen);
  ForwardRefusal refusal = kBackingOff;
  refusal.retryAfter_ =
    *untilOpen + std::chrono::duration_cast<Duration>(spread * part(random_));
  return refusal;
}

/// Returns whether the request may be sent again, and takes the retry from the
/// budget. An attempt that sent nothing is not charged.
bool
Forwarder::TakeRetry(const ForwardedRequest& aRequest, bool aIsSent)
{
  if (clock_.Now() >= aRequest.deadline_) {
    return false;
  }
  if (!aIsSent) {
    return true;
  }
  bool isTaken = retries_.Take(aRequest.service_);
  metrics_.Count(Counter::Retries, isTaken ? 1 : 0);
  return isTaken;
}

/// Returns the hooks of one attempt at a replica. All arguments must outlive
/// it.
ForwardAttempt::Hooks
Forwarder::HooksOf(ForwardedRequest& aRequest,
                   const Replica& aReplica,
                   RolloutAttempt& aCounted,
                   Progress& aProgress)
{
  return { [&] {
            if (!aProgress.hasRun_ && aRequest.organisation_ != nullptr) {
              usage_.Count(aRequest.organisation_->name_);
            }
            aProgress.hasRun_ = true;
            resumption_.RecordStart(aRequest);
            aRequest.firstPartAt_ = clock_.Now();
            aProgress.admission_.OnFirstPart();
          },
           [&](Duration aSinceFirst) {
             aCounted.OnEvent();
             if (!aProgress.isSuccessCounted_ &&
                 aSinceFirst >= CrashQuarantine::kBeginning) {
               aProgress.isSuccessCounted_ = true;
               quarantine_.RecordSuccess(aProgress.causes_, clock_.Now());
             }
           },
           [&](const ReplicaNotice& aNotice) {
             recorder_.RecordNotice(aReplica, aNotice);
           },
           [&](const ReplicaNotice& aNotice, TimePoint aSentAt) {
             recorder_.RecordRate(aReplica, aNotice, aSentAt);
           },
           [&] {
             return chooser_.MaySend(aReplica, clock_.Now()) &&
                    aCounted.OnSend();
           } };
}

/// Sends the request to one replica and records what became of it.
AttemptResult
Forwarder::TryReplica(HttpExchange& aExchange,
                      ForwardedRequest& aRequest,
                      const Replica& aReplica,
                      bool aReturnsFailures,
                      Progress& aProgress)
{
  aRequest.runningAtReplica_ = chooser_.RunningAt(aReplica);
  aProgress.isSuccessCounted_ = false;
  TimePoint startedAt = clock_.Now();
  RolloutAttempt counted(rollouts_, aReplica, *aRequest.route_, clock_);
  ForwardAttempt attempt(
    { pool_, buffers_, settings_.memory_, settings_.protocol_, clock_ },
    aExchange,
    aRequest,
    HooksOf(aRequest, aReplica, counted, aProgress));
  AttemptInProgress inProgress(attempts_, attempt);
  AttemptResult result = attempt.Run(aReplica, aReturnsFailures);
  counted.OnEnd(result);
  recorder_.RecordAttempt(aRequest, aReplica, result, startedAt);
  recorder_.RecordEvidence(
    aRequest, aReplica, result, aProgress.isSuccessCounted_);
  aRequest.lastReplica_ = aReplica.id_;
  aRequest.runs_ += result.MayHaveRun() ? 1 : 0;
  return result;
}

/// Sends the request to one replica after another until one answers or no
/// further attempt is allowed, and ends the exchange.
void
Forwarder::Run(HttpExchange& aExchange, ForwardedRequest& aRequest)
{
  const Route& route = *aRequest.route_;
  Progress progress{ aRequest.Causes(), { admission_, aRequest, clock_ } };
  std::optional<HttpResponse> failure;
  AttemptResult last;
  bool canRetry = true;
  auto side = rollouts_.Assign(
    aRequest.service_, aRequest.prompt_.LastSharedPart(), clock_.Now());
  while (canRetry && !hasEndedRequests_ &&
         !quarantine_.RemainingFor(progress.causes_, clock_.Now())) {
    ChoiceRequest choice{
      aRequest.service_,     aRequest.prompt_.LastSharedPart(),
      WorkClassOf(aRequest), aRequest.cost_,
      aRequest.excluded_,    aRequest.streamVersion_
    };
    auto replica = rollouts_.Choose(choice, side, clock_.Now());
    if (!replica) {
      break;
    }
    bool mayRunAgain =
      route.IsIdempotent() && aRequest.runs_ + 1 < route.maxAttempts_;
    last = TryReplica(
      aExchange, aRequest, *replica, mayRunAgain && !failure, progress);
    if (last.outcome_ == AttemptOutcome::Abandoned) {
      break;
    }
    if (last.isRelayed_) {
      recorder_.RecordAnswerLatency(aRequest);
      LogAnswered(aRequest, *replica, aExchange.Status(), clock_.Now());
      return;
    }
    LogAttemptFailed(aRequest, last);
    aRequest.excluded_.insert(replica->id_);
    side = rollouts_.SideAfter(side, aRequest.service_, clock_.Now());
    if (last.failure_) {
      failure = std::move(last.failure_);
    }
    bool isSuspected =
      last.isConnectionLost_ && quarantine_.IsSuspected(progress.causes_);
    if (last.MayHaveRun() && (!mayRunAgain || isSuspected)) {
      break;
    }
    canRetry = TakeRetry(aRequest, last.isSent_);
  }
  EndUnanswered(aExchange, aRequest, last, failure);
}

/// Ends the exchange of a request that no replica has answered: passes a
/// replica's failure on, refuses the request if it has not run, or reports that
/// its outcome is unknown.
void
Forwarder::EndUnanswered(HttpExchange& aExchange,
                         ForwardedRequest& aRequest,
                         const AttemptResult& aLast,
                         const std::optional<HttpResponse>& aFailure)
{
  if (aExchange.IsCallerDisconnected()) {
    LogFailure("caller left", aRequest, aLast, clock_.Now());
    return;
  }
  if (aExchange.HasStarted()) {
    LogFailure("stream broken off", aRequest, aLast, clock_.Now());
    aExchange.Abort();
    return;
  }
  if (aFailure) {
    LogFailure("failure passed on", aRequest, aLast, clock_.Now());
    aExchange.Respond(*aFailure);
    return;
  }
  if (aRequest.runs_ == 0) {
    auto refusal = CheckQuarantine(aRequest);
    if (!refusal && hasEndedRequests_) {
      refusal = Refuse(aRequest, kStopping);
    }
    if (!refusal) {
      ++loads_[aRequest.service_].refused_;
      refusal = Refuse(aRequest, UnavailableRefusal(aRequest.service_));
    }
    aExchange.Respond(*refusal);
    return;
  }
  LogFailure("outcome unknown", aRequest, aLast, clock_.Now());
  const char* code = hasEndedRequests_ ? "stopping" : "upstream_failed";
  aExchange.Respond(aLast.isLate_ ? UnknownOutcomeResponse(504, "timeout")
                                  : UnknownOutcomeResponse(502, code));
}

void
Forwarder::EndRequests()
{
  takesUntil_ = TimePoint::min();
  if (!std::exchange(hasEndedRequests_, true)) {
    LogEvent(Severity::Info,
             "requests ended by the stop",
             { { "requests", attempts_.size() } });
  }
  for (auto* attempt : attempts_) {
    attempt->Stop();
  }
}

TrafficReport
Forwarder::Report()
{
  TrafficReport report;
  report.usage_ = usage_.Latest();
  for (auto& [service, load] : loads_) {
    load.running_ = chooser_.Running(service);
  }
  report.services_ = loads_;
  report.admissionSums_ = admission_.Report(clock_.Now());
  report.requestRate_ = arrivals_.Update(clock_.Now());
  report.crashReport_ = quarantine_.Report(clock_.Now());
  report.namedRates_ = chooser_.RateLimits().Report(clock_.Now());
  report.rateNews_ = chooser_.RateLimits().News();
  report.rolloutCounts_ = rollouts_.Report();
  resumption_.Directory().Tick(clock_.Now());
  report.streamStarts_ = resumption_.Directory().TakeNew(clock_.Now());
  report.wantedStreams_ = resumption_.Wanted();
  return report;
}

std::map<std::string, std::size_t>
Forwarder::CountReplicas(ReplicaAvailability aAvailability) const
{
  return chooser_.CountReplicas(aAvailability, clock_.Now());
}

std::map<std::string, std::size_t>
Forwarder::CountRateLimitedReplicas() const
{
  return chooser_.CountRateLimited();
}

void
Forwarder::TrimConnections()
{
  pool_.Trim([this](const std::string& aReplica) {
    return chooser_.IsWanted(aReplica, clock_.Now());
  });
}

} // namespace tanagerstall
