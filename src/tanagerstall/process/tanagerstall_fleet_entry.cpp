#include "tanagerstall/process/tanagerstall_fleet_entry.hpp"

#include "tanagerstall/connection/tanagerstall_fleet_client.hpp"
#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics_page.hpp"
#include "tanagerstall/process/tanagerstall_drain.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_loop_delay.hpp"
#include "tanagerstall/process/tanagerstall_shutdown_signal.hpp"
#include "tanagerstall/process/tanagerstall_stream_reports.hpp"
#include "tanagerstall/version/tanagerstall_declaration_source.hpp"

#include <atomic>
#include <kj/async-io.h>
#include <map>
#include <tuple>

namespace tanagerstall {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };
/// An entry with more requests per second is busy: it reports to the leader at
/// intervals, rather than whenever it lacks a grant.
constexpr double kBusyRequestRate = 0.5;
/// The part of the grace period that is reserved for shutting down.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(300);
/// Interval at which the settings are read again without a signal.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);
/// Counts of roll-outs are reported at this interval times the number of
/// entries, within the bounds, so that the leader's load doesn't grow with it.
constexpr Duration kCountsPerEntry = std::chrono::milliseconds(2);
constexpr Duration kMaxCountsInterval = std::chrono::milliseconds(600);

std::uint64_t
MakeIncarnation()
{
  return static_cast<std::uint64_t>(ReadWallTime().time_since_epoch().count());
}

ForwarderSettings
WithMemory(ForwarderSettings aSettings, std::shared_ptr<MemoryBudget> aMemory)
{
  aSettings.memory_ = std::move(aMemory);
  return aSettings;
}

} // namespace

struct FleetEntry::State
{
  State(FleetEntrySettings aSettings, FleetEntryHooks aHooks)
    : settings_(std::move(aSettings))
    , hooks_(std::move(aHooks))
    , threads_(1)
    , timer_(loop_.Io().provider->getTimer())
    , client_(
        loop_,
        { [this](const std::string& aControl, bool aIsLeader, bool aIsBrief) {
           return MakeReport(aControl, aIsLeader, aIsBrief);
         },
          [this](const std::string& aControl, const ControlAnswer& aAnswer) {
            HandleAnswer(aControl, aAnswer);
          } })
    , clients_(std::make_shared<ClientLimits>(
        MemoryBudget::DivideBytes(settings_.clients_.memoryBytes_)))
    , forwarder_(WithMemory(settings_.forwarder_, clients_->Memory()),
                 clock_,
                 { ReadWallTime,
                   [this] { loop_.Post([this] { client_.RefreshLeader(); }); },
                   [this] { PostReport(true); } })
    , callers_(
        threads_,
        MakeHttpLimits(settings_.clients_),
        [this](HttpExchange& aExchange) { forwarder_.Handle(aExchange); },
        clients_)
    , readiness_(
        threads_,
        MakeInternalHttpLimits(settings_.clients_),
        [this](HttpExchange& aExchange) {
          hooks_.answerReadiness_(aExchange, IsReady());
        },
        clients_)
    , metrics_(
        threads_,
        MakeInternalHttpLimits(settings_.clients_),
        [this](HttpExchange& aExchange) { ServeMetrics(aExchange); },
        clients_)
    , tasks_(Severity::Error, "entry task failed")
  {
    self_.id_ = settings_.id_;
    self_.callerAddress_ = settings_.callerAddress_.ToString();
    self_.failureDomain_ = settings_.failureDomain_;
    self_.region_ = settings_.region_;
    self_.incarnation_ = MakeIncarnation();
    self_.weight_ = 0;
  }

  void ServeMetrics(HttpExchange& aExchange)
  {
    Gauges gauges{ { "ready", IsReady() ? 1.0 : 0.0 },
                   { "requests_in_progress",
                     static_cast<double>(callers_.ActiveExchanges()) } };
    if (auto number = forwarder_.PlanNumber()) {
      gauges["declaration"] = static_cast<double>(*number);
    }
    AddServiceGauges(gauges,
                     "replicas_backing_off",
                     forwarder_.CountReplicas(ReplicaAvailability::BackingOff));
    AddServiceGauges(gauges,
                     "replicas_leaving",
                     forwarder_.CountReplicas(ReplicaAvailability::Leaving));
    AddServiceGauges(
      gauges, "replicas_rate_limited", forwarder_.CountRateLimitedReplicas());
    AddServiceGauges(gauges, "admission_level", forwarder_.AdmissionLevels());
    AddRolloutGauges(gauges);
    AddClientGauges(gauges, *clients_, callers_.Connections());
    aExchange.Respond(MetricsResponse(
      aExchange.Request(), forwarder_.GetMetrics().Collect(), gauges));
  }

  /// Adds a gauge for each service. Runs on the traffic thread, as the server
  /// of metrics does.
  template<class Value>
  static void AddServiceGauges(Gauges& aGauges,
                               const std::string& aName,
                               const std::map<std::string, Value>& aValues)
  {
    for (const auto& [service, value] : aValues) {
      std::string name = aName;
      name.append("{service=\"").append(service).append("\"}");
      aGauges[name] = static_cast<double>(value);
    }
  }

  void AddRolloutGauges(Gauges& aGauges)
  {
    for (const auto& [key, sent] :
         forwarder_.Rollouts().Counter().SentByVersion()) {
      std::string name = "rollout_requests{service=\"" + key.first +
                         "\",version=\"" + key.second + "\"}";
      aGauges[name] = static_cast<double>(sent);
    }
  }

  /// Runs on the traffic thread, as the servers that ask do.
  bool IsReady() const { return forwarder_.PlanNumber() && !isStopping_; }

  bool IsBusy() const { return traffic_.requestRate_ > kBusyRequestRate; }

  EntryReport MakeReport(const std::string& aControl,
                         bool aIsLeader,
                         bool aIsBrief)
  {
    EntryReport report;
    report.madeAt_ = clock_.Now();
    report.entry_ = self_;
    auto [run, stamp] = view_.Position(aControl);
    report.controlRun_ = run;
    report.stamp_ = stamp;
    report.readsPackedReplicas_ = true;
    if (!aIsBrief) {
      report.usage_ = traffic_.usage_;
      report.services_ = traffic_.services_;
      report.requestRate_ = traffic_.requestRate_;
    }
    if (aIsLeader && (aIsBrief || !IsBusy())) {
      report.grantRequests_ =
        forwarder_.Limits().NextGrantRequests(clock_.Now());
    }
    if (aIsLeader) {
      report.admission_ = traffic_.admissionSums_;
      report.crashReport_ = traffic_.crashReport_;
      report.promptRevision_ =
        aControl == verdictsFrom_ ? verdictsRevision_ : 0;
      report.rateRevision_ = aControl == ratesFrom_ ? ratesRevision_ : 0;
      if (!aIsBrief || traffic_.rateNews_ != reportedRateNews_) {
        report.namedRates_ = traffic_.namedRates_;
        reportedRateNews_ = traffic_.rateNews_;
      }
    }
    AddRolloutCounts(report, aControl, aIsLeader);
    if (aIsLeader) {
      auto streams = streamReports_.For(aControl, run);
      report.streamStarts_ = std::move(streams.streams_);
      report.streamPosition_ = streams.position_;
      report.wantedStreams_ = traffic_.wantedStreams_;
    }
    report.inForce_ = inForce_;
    report.newestDeclaration_ = source_.NewestNumber();
    DeclarationNumber held = NumberOf(received_);
    report.canRestore_ = { true, needsWhole_ ? std::nullopt : held };
    TimePoint now = clock_.Now();
    report.wantsDeclaration_ = source_.ShouldRequestFrom(aControl, held, now);
    if (report.wantsDeclaration_) {
      downloads_[aControl] = now;
      LogEvent(Severity::Info,
               "declaration requested",
               { { "number", source_.NewestNumber() },
                 { "held", held },
                 { "control", aControl },
                 { "to_leader", aIsLeader } });
    }
    return report;
  }

  /// A new leader, or one that was restarted, gets the counts immediately, and
  /// so does one whose directives are confirmed, since the counts show whether
  /// the old side has become idle.
  void AddRolloutCounts(EntryReport& aReport,
                        const std::string& aControl,
                        bool aIsLeader)
  {
    auto known = rolloutRevisions_.find(aControl);
    aReport.rolloutRevision_ =
      known == rolloutRevisions_.end() ? 0 : known->second;
    auto receiver =
      std::tuple(aControl, aReport.controlRun_, aReport.rolloutRevision_);
    if (!aIsLeader || (receiver == countsTo_ && aReport.madeAt_ < countsAt_)) {
      return;
    }
    aReport.rolloutCounts_ = traffic_.rolloutCounts_;
    countsTo_ = receiver;
    // Reports follow one another at the busy interval.
    countsAt_ = aReport.madeAt_ - kBusyReportInterval / 2 +
                std::min(kCountsPerEntry * shareDivisor_, kMaxCountsInterval);
  }

  void LogDownload(const std::string& aControl,
                   const ControlAnswer& aAnswer,
                   TimePoint aNow)
  {
    auto started = downloads_.extract(aControl);
    if (started.empty() || !aAnswer.declaration_) {
      return;
    }
    auto took = ToMilliseconds(aNow - started.mapped());
    LogEvent(Severity::Info,
             "declaration received",
             { { "number", aAnswer.declaration_->number_ },
               { "base", aAnswer.declaration_->base_ },
               { "control", aControl },
               { "region", aAnswer.region_ },
               { "bytes", aAnswer.declaration_->payload_.size() },
               { "took_ms", took.count() } });
  }

  static void LogWithdrawn(const Replica& aReplica, const std::string& aControl)
  {
    LogEvent(Severity::Info,
             "replica withdrawn",
             { { "replica", aReplica.id_ },
               { "start_ms", aReplica.startTimeMs_ },
               { "departed", aReplica.state_ == ReplicaState::Departed },
               { "control", aControl } });
  }

  void HandleAnswer(const std::string& aControl, const ControlAnswer& aAnswer)
  {
    TimePoint now = clock_.Now();
    loopDelay_.CountReport();
    for (const auto& replica :
         view_.ApplyReport(aControl, aAnswer.replicas_, now)) {
      LogWithdrawn(replica, aControl);
    }
    LogDownload(aControl, aAnswer, now);
    source_.OnUpdate(aControl,
                     { aAnswer.planNumber_,
                       aAnswer.region_ == settings_.region_,
                       aAnswer.isLeader_ },
                     now);
    if (aAnswer.declaration_) {
      ReceiveDeclaration(*aAnswer.declaration_);
    }
    ApplyConfirmed(now);
    if (aAnswer.isLeader_) {
      AdvanceAdmission advance;
      if (aAnswer.allowsAdvance_) {
        advance = { aAnswer.reportedAt_ + kAdvanceTime,
                    aAnswer.nearlyExhausted_ };
      }
      shareDivisor_ = aAnswer.shareDivisor_;
      forwarder_.Limits().ApplyGrants(
        aAnswer.grants_, aAnswer.shareDivisor_, advance);
      threads_.Post([this,
                     divisor = aAnswer.shareDivisor_,
                     longResponses = aAnswer.longResponses_,
                     sums = aAnswer.admission_,
                     reportedAt = aAnswer.reportedAt_] {
        forwarder_.SetShareDivisor(divisor);
        forwarder_.SetLongResponses(longResponses);
        forwarder_.AdoptAdmissionSums(sums, reportedAt);
      });
    }
    if (aAnswer.crashVerdicts_) {
      ReceiveVerdicts(aControl, *aAnswer.crashVerdicts_);
    }
    if (aAnswer.namedRates_) {
      ratesFrom_ = aControl;
      ratesRevision_ = aAnswer.rateRevision_;
      threads_.Post(
        [this, rates = *aAnswer.namedRates_] { forwarder_.AdoptRates(rates); });
    }
    ReceiveRollouts(aControl, aAnswer);
    ReceiveStreams(aControl, aAnswer);
    PublishReplicas(now);
  }

  void ReceiveStreams(const std::string& aControl, const ControlAnswer& aAnswer)
  {
    if (aAnswer.isLeader_) {
      streamReports_.Confirm(
        aControl, aAnswer.replicas_.run_, aAnswer.streamPosition_);
    }
    if (!aAnswer.foundStreams_.empty()) {
      threads_.Post([this, found = aAnswer.foundStreams_] {
        forwarder_.Resumption().Adopt(found);
      });
    }
  }

  /// Adopts the roll-outs of any control process, and the shares of the leader.
  /// An answer without directives confirms the latest ones.
  void ReceiveRollouts(const std::string& aControl,
                       const ControlAnswer& aAnswer)
  {
    std::optional<TimePoint> sharesUntil;
    if (aAnswer.isLeader_) {
      sharesUntil = aAnswer.reportedAt_ + settings_.directiveLease_;
    }
    if (aAnswer.rollouts_) {
      threads_.Post([this,
                     aControl,
                     sharesUntil,
                     rollouts = *aAnswer.rollouts_,
                     revision = aAnswer.rolloutRevision_] {
        forwarder_.Rollouts().Adopt(rollouts, aControl, sharesUntil);
        ConfirmRollouts(aControl, revision);
      });
    } else if (sharesUntil && aAnswer.rolloutRevision_ != 0) {
      threads_.Post([this, aControl, until = *sharesUntil] {
        forwarder_.Rollouts().Renew(aControl, until);
      });
    }
  }

  /// Reports a revision only together with counts that were made after it was
  /// adopted. Runs on the traffic thread.
  void ConfirmRollouts(const std::string& aControl, std::uint64_t aRevision)
  {
    loop_.Post(
      [this, aControl, aRevision, counts = forwarder_.Rollouts().Report()] {
        traffic_.rolloutCounts_ = counts;
        rolloutRevisions_[aControl] = aRevision;
        client_.RefreshLeader();
      });
  }

  void ReceiveVerdicts(const std::string& aControl,
                       const CrashVerdicts& aVerdicts)
  {
    verdictsFrom_ = aControl;
    verdictsRevision_ = aVerdicts.revision_;
    threads_.Post([this, aVerdicts] {
      forwarder_.ApplyVerdicts(aVerdicts);
      PostReport(true);
    });
  }

  void ReceiveDeclaration(const DeclarationTransfer& aTransfer)
  {
    if (aTransfer.number_ <= NumberOf(received_)) {
      return;
    }
    auto declaration = RestoreDeclaration(aTransfer, received_);
    needsWhole_ = !declaration;
    if (!declaration) {
      LogEvent(Severity::Warning,
               "declaration not restored",
               { { "number", aTransfer.number_ },
                 { "base", aTransfer.base_ },
                 { "held", NumberOf(received_) },
                 { "error", declaration.error().detail_ } });
      return;
    }
    received_ = std::move(*declaration);
    isUnconfirmed_ = true;
  }

  /// Applies the declaration received last. A starting entry waits until the
  /// leader has none that is newer; later ones are newer in any case.
  void ApplyConfirmed(TimePoint aNow)
  {
    if (isUnconfirmed_ &&
        (inForce_ || source_.IsConfirmed(received_->number_, aNow))) {
      isUnconfirmed_ = false;
      ApplyDeclaration(*received_);
    }
  }

  void ApplyDeclaration(const Declaration& aDeclaration)
  {
    auto plan = hooks_.decodePlan_(aDeclaration.document_);
    if (!plan) {
      LogEvent(Severity::Error,
               "declaration not readable",
               { { "number", aDeclaration.number_ },
                 { "error", plan.error().message_ } });
      return;
    }
    inForce_ = aDeclaration.number_;
    self_.weight_ = 100;
    LogEvent(Severity::Info,
             "declaration in force",
             { { "number", aDeclaration.number_ },
               { "routes", plan->routes_.size() } });
    auto shared = std::make_shared<const TrafficPlan>(std::move(*plan));
    streamTime_ = LongestStreamTime(*shared);
    HttpLimits limits = MakeHttpLimits(settings_.clients_);
    limits.maxHeadBytes_ = shared->limits_.maxHeadBytes_;
    limits.maxBodyBytes_ = shared->limits_.maxBodyBytes_;
    limits.requestTimeout_ = shared->limits_.headTimeout_;
    limits.idleTimeout_ = shared->limits_.idleTimeout_;
    limits.bodyIdleTimeout_ =
      settings_.clients_.bodyIdleTimeout_.value_or(limits.idleTimeout_);
    callers_.SetLimits(limits);
    threads_.Post([this, shared] { forwarder_.SetPlan(shared); });
  }

  void PublishReplicas(TimePoint aNow)
  {
    if (view_.ConsumeChange(aNow)) {
      threads_.Post([this, present = view_.Present(aNow)] {
        forwarder_.SetReplicas(present);
      });
    }
  }

  kj::Promise<void> TickPeriodically()
  {
    return timer_.afterDelay(kTickInterval.count() * kj::MILLISECONDS)
      .then([this]() -> kj::Promise<void> {
        TimePoint now = clock_.Now();
        if (auto lag = loopDelay_.Observe(now, ReadSuspendedTime())) {
          LogLag(*lag);
        }
        PublishReplicas(now);
        ApplyConfirmed(now);
        if (now >= nextSettingsReadAt_) {
          Reload(false);
        }
        if (AdvanceDrain(now)) {
          loop_.Stop();
          return kj::READY_NOW;
        }
        return TickPeriodically();
      });
  }

  void Reload(bool aIsRequested)
  {
    nextSettingsReadAt_ = clock_.Now() + kSettingsInterval;
    auto control = hooks_.readControl_();
    if (aIsRequested || control != settings_.control_) {
      LogEvent(Severity::Info,
               "settings read",
               { { "control_addresses", control.size() } });
    }
    if (!control.empty()) {
      settings_.control_ = control;
      client_.SetSeeds(control);
    }
  }

  void Stop()
  {
    if (isStopping_.exchange(true)) {
      return;
    }
    LogEvent(Severity::Info,
             "stopping",
             { { "requests", callers_.ActiveExchanges() } });
    self_.isDraining_ = true;
    drain_.Start(clock_.Now(),
                 settings_.discoveryTimeToLive_,
                 settings_.grace_ - kShutdownMargin);
    callers_.StopKeepingAlive();
    client_.Refresh();
  }

  /// Takes only what can end before the process does.
  void FinishRequests()
  {
    callers_.StopAccepting();
    callers_.CloseIdle();
    threads_.Post(
      [this, end = drain_.RequestsEndAt()] { forwarder_.RefuseBeyond(end); });
  }

  /// Performs the step that the drain requires now. Returns whether the drain
  /// has ended.
  bool AdvanceDrain(TimePoint aNow)
  {
    switch (drain_.Next(aNow, callers_.ActiveExchanges())) {
      case DrainStep::Serve:
      case DrainStep::ServeLateCallers:
        return false;
      case DrainStep::FinishRequests:
        FinishRequests();
        return false;
      case DrainStep::EndRequests:
        FinishRequests();
        threads_.Post([this] { forwarder_.EndRequests(); });
        return false;
      case DrainStep::End:
        return true;
    }
    return true;
  }

  void ReportPeriodically(Fiber& aFiber)
  {
    while (true) {
      aFiber.Sleep(kBusyReportInterval);
      forwarder_.TrimConnections();
      PostReport(false);
    }
  }

  /// Passes the traffic report to the control thread. The leader gets it at
  /// once if the entry is busy, if that is urgent, or if requests were lost
  /// with their replicas.
  void PostReport(bool aIsUrgent)
  {
    loop_.Post([this, aIsUrgent, report = forwarder_.Report()] {
      bool hasLosses =
        report.crashReport_.Lost() > traffic_.crashReport_.Lost();
      bool hasRateNews = report.rateNews_ != traffic_.rateNews_;
      bool hasStreams = !report.streamStarts_.empty();
      streamReports_.Append(report.streamStarts_, clock_.Now());
      streamReports_.ForgetBefore(clock_.Now() - streamTime_);
      traffic_ = report;
      if (aIsUrgent || hasLosses || hasRateNews || hasStreams || IsBusy()) {
        client_.RefreshLeader();
      }
    });
  }

  FleetEntrySettings settings_;
  FleetEntryHooks hooks_;
  Clock clock_;
  ShutdownSignal signal_;
  ControlLoop loop_;
  TrafficThreads threads_;
  kj::Timer& timer_;
  EntryInfo self_;
  ReplicaView view_;
  DeclarationSource source_;
  /// When the declaration was last requested from each control process.
  std::map<std::string, TimePoint> downloads_;
  /// The newest declaration received; the next is requested as its change.
  std::optional<Declaration> received_;
  DeclarationNumber inForce_;
  /// Whether `received_` is not yet applied.
  bool isUnconfirmed_ = false;
  /// Whether the last change could not be restored.
  bool needsWhole_ = false;
  TrafficReport traffic_;
  StreamReports streamReports_;
  /// How long streams may be resumed.
  Duration streamTime_{ 0 };
  /// The control process that sent the latest verdicts on prompt parts.
  std::string verdictsFrom_;
  std::uint64_t verdictsRevision_ = 0;
  /// The control process that sent the latest rate limits of replicas.
  std::string ratesFrom_;
  std::uint64_t ratesRevision_ = 0;
  /// The news of rate limits that the last report to a leader had.
  std::uint64_t reportedRateNews_ = 0;
  /// The revision of the directives that each control process has sent.
  std::map<std::string, std::uint64_t> rolloutRevisions_;
  /// The run of a control process that got the last counts of roll-outs, with
  /// the revision that they confirmed, and when it gets the next ones.
  std::tuple<std::string, std::uint64_t, std::uint64_t> countsTo_;
  TimePoint countsAt_;
  std::uint32_t shareDivisor_ = 0;
  LoopDelay loopDelay_{ kTickInterval };
  Drain drain_;
  std::atomic<bool> isStopping_{ false };
  TimePoint nextSettingsReadAt_;
  FleetClient client_;
  std::shared_ptr<ClientLimits> clients_;
  Forwarder forwarder_;
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer metrics_;
  LoggedTasks tasks_;
};

FleetEntry::FleetEntry(FleetEntrySettings aSettings, FleetEntryHooks aHooks)
  : state_(std::make_unique<State>(std::move(aSettings), std::move(aHooks)))
{
}

FleetEntry::~FleetEntry() = default;

int
FleetEntry::Run()
{
  State* state = state_.get();
  if (!ListenOrLog(state->callers_, state->settings_.callerAddress_) ||
      !ListenOrLog(state->readiness_, state->settings_.readinessAddress_)) {
    return 1;
  }
  ListenForMetrics(state->metrics_, state->settings_.metricsAddress_);
  LogEvent(Severity::Info,
           "started",
           { { "id", state->settings_.id_ },
             { "callers", state->settings_.callerAddress_.ToString() } });
  state->client_.SetSeeds(state->settings_.control_);
  state->nextSettingsReadAt_ = state->clock_.Now() + kSettingsInterval;
  state->signal_.Start(
    [state] { state->loop_.Post([state] { state->Stop(); }); },
    [state] { state->loop_.Post([state] { state->Reload(true); }); });
  state->tasks_.Add(state->TickPeriodically());
  state->threads_.Spawn(
    [state](Fiber& aFiber) { state->ReportPeriodically(aFiber); });
  state->loop_.Run();
  state->threads_.Stop();
  LogEvent(Severity::Info, "stopped", { { "id", state->settings_.id_ } });
  return 0;
}

} // namespace tanagerstall
