#include "tanagerstall/process/tanagerstall_fleet_control.hpp"

#include "tanagerstall/connection/tanagerstall_encoded_changes.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_client.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_server.hpp"
#include "tanagerstall/connection/tanagerstall_on_loop.hpp"
#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics_page.hpp"
#include "tanagerstall/process/presence/tanagerstall_departure.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_working_set.hpp"
#include "tanagerstall/process/presence/tanagerstall_leave_recorder.hpp"
#include "tanagerstall/process/presence/tanagerstall_peer_confirmations.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_batches.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"
#include "tanagerstall/process/presence/tanagerstall_version_gate.hpp"
#include "tanagerstall/process/tanagerstall_admission_levels.hpp"
#include "tanagerstall/process/tanagerstall_configuration_calls.hpp"
#include "tanagerstall/process/tanagerstall_declaration_calls.hpp"
#include "tanagerstall/process/tanagerstall_entry_loads.hpp"
#include "tanagerstall/process/tanagerstall_fleet_records.hpp"
#include "tanagerstall/process/tanagerstall_leader_tasks.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_loop_delay.hpp"
#include "tanagerstall/process/tanagerstall_member_directory.hpp"
#include "tanagerstall/process/tanagerstall_rollout_api.hpp"
#include "tanagerstall/process/tanagerstall_rollout_leader.hpp"
#include "tanagerstall/process/tanagerstall_shutdown_signal.hpp"
#include "tanagerstall/process/tanagerstall_stream_reports.hpp"
#include "tanagerstall/request/tanagerstall_cost_leases.hpp"
#include "tanagerstall/request/tanagerstall_named_rate_table.hpp"
#include "tanagerstall/request/tanagerstall_request_log.hpp"
#include "tanagerstall/request/tanagerstall_stream_directory.hpp"
#include "tanagerstall/request/tanagerstall_usage_counter.hpp"

#include <algorithm>
#include <kj/async-io.h>
#include <random>
#include <set>

namespace tanagerstall {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 100 };
constexpr Duration kSettingsInterval = std::chrono::seconds(2);
/// The number of usage windows before the last summed one that are retained.
constexpr std::int64_t kRetainedWindows = 8;
/// The fraction of the tolerated overshoot that is granted. The rest covers
/// grants that entries still hold when the leader changes.
constexpr double kGrantedOvershootShare = 0.35;
/// The same fraction of the fixed additional cost, which lets organisations
/// with a low limit send large requests.
constexpr double kGrantedSlackShare = 0.6;
/// Time after the start of a control process during which it may not know all
/// entries and returns none to callers.
constexpr Duration kDirectoryWarmUp = std::chrono::milliseconds(300);
/// The streams of all entries that a leader remembers.
constexpr std::size_t kMaxStreams = 1UL << 18U;
/// A replica waits a second for an answer before it turns to the next control
/// process.
constexpr Duration kMaxConfirmationTime = std::chrono::milliseconds(700);

std::uint64_t
MakeRunId()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Whether the report is one of another control process, or of an entry that
/// doesn't serve yet. Neither waits for a publication: what one control process
/// acknowledged must outlast its loss, so the others learn of it at once.
bool
NeedsAllAtOnce(const EntryReport& aReport)
{
  return aReport.entry_.weight_ == 0;
}

/// Whether the report is one of another control process: entries name the
/// address at which they serve callers, also before they do.
bool
IsFromControl(const EntryReport& aReport)
{
  return aReport.entry_.callerAddress_.empty();
}

/// Identifies one run of an entry.
std::string
RunOf(const EntryInfo& aEntry)
{
  return aEntry.id_ + "#" + std::to_string(aEntry.incarnation_);
}

} // namespace

struct FleetControl::State
{
  State(FleetControl& aSelf,
        FleetControlSettings aSettings,
        FleetControlHooks aHooks)
    : settings_(std::move(aSettings))
    , hooks_(std::move(aHooks))
    , threads_(1)
    , timer_(loop_.Io().provider->getTimer())
    , fleet_([this] { OnFleetChange(); })
    , member_(loop_, clock_, settings_.member_)
    , replicas_(settings_.replicaTimeToLive_)
    , leaderTasks_(
        { settings_.id_, settings_.leaderLease_, settings_.usageWindow_ },
        { hooks_.cloud_,
          [this](std::int64_t aWindow) { return SumUsage(aWindow); },
          [this] { return ReadServices(); } },
        loop_,
        clock_,
        member_)
    , entriesServer_(
        loop_,
        { [this](const EntryReport& aReport) { HandleReport(aReport); },
          [this](const EntryReport& aReport) { return HasUpdate(aReport); },
          [this](const EntryReport& aReport) { return MakeAnswer(aReport); } })
    , peerClient_(
        loop_,
        { [this](const std::string& aControl, bool, bool) {
           return MakePeerReport(aControl);
         },
          [this](const std::string& aControl, const ControlAnswer& aAnswer) {
            view_.ApplyReport(aControl, aAnswer.replicas_, clock_.Now());
            AdoptReports(aAnswer.replicas_);
            members_.RecordCapabilities(aControl,
                                        { aAnswer.readsCompressed_,
                                          aAnswer.appliesRollouts_,
                                          aAnswer.appliesNumberZero_ });
          } })
    , rolloutApi_(
        { [&aSelf](Fiber& aFiber, const RolloutOrder& aOrder) {
           return aSelf.StartRollout(aFiber, aOrder);
         },
          [&aSelf](Fiber& aFiber) { return aSelf.ReadRollouts(aFiber); } })
    , clients_(std::make_shared<ClientLimits>(
        MemoryBudget::DivideBytes(settings_.clients_.memoryBytes_)))
    , control_(
        threads_,
        MakeHttpLimits(settings_.clients_),
        [this, &aSelf](HttpExchange& aExchange) {
          if (auto response = rolloutApi_.Handle(aExchange)) {
            aExchange.Respond(*response);
            return;
          }
          hooks_.handleControl_(aExchange, aSelf);
        },
        clients_)
    , directory_(
        threads_,
        MakeHttpLimits(settings_.clients_),
        [this, &aSelf](HttpExchange& aExchange) {
          hooks_.handleDirectory_(aExchange, aSelf);
        },
        clients_)
    , metrics_(
        threads_,
        MakeInternalHttpLimits(settings_.clients_),
        [this](HttpExchange& aExchange) { ServeMetrics(aExchange); },
        clients_)
    , tasks_(Severity::Error, "control task failed")
  {
    isBuilt_ = true;
  }

  /// Reads the state of the control thread, on which it runs.
  Gauges ReadGauges()
  {
    const Raft& core = member_.Group(GroupName::Configuration).Core();
    auto voters = std::count_if(core.Log().Members().begin(),
                                core.Log().Members().end(),
                                [](const auto& aIt) { return aIt.isVoter_; });
    auto now = clock_.Now();
    Gauges gauges{
      { "leads", core.Role() == RaftRole::Leader ? 1.0 : 0.0 },
      { "holds_duties", leaderTasks_.HasLease(now) ? 1.0 : 0.0 },
      { "term", static_cast<double>(core.CurrentTerm()) },
      { "members", static_cast<double>(core.Log().Members().size()) },
      { "voters", static_cast<double>(voters) },
      { "entries_serving", static_cast<double>(ServingEntries().size()) },
      { "crash_causes_quarantined",
        static_cast<double>(detector_.CountQuarantined(now)) },
      { "entries_active", static_cast<double>(workingSet_.ActiveCount()) },
      { "replicas_ready_here", static_cast<double>(replicas_.Ready().size()) }
    };
    if (const auto& declaration = fleet_.Current()) {
      gauges["declaration"] = static_cast<double>(declaration->number_);
    }
    for (const auto& directive : rollouts_.Directives()) {
      const RolloutOrder& order = directive.rollout_.order_;
      std::string name = "rollout_request_share{service=\"" + order.service_ +
                         "\",version=\"" + order.version_ + "\"}";
      gauges[name] = directive.requestShare_;
    }
    return gauges;
  }

  void ServeMetrics(HttpExchange& aExchange)
  {
    auto gauges = OnLoop<Gauges>(
      loop_, aExchange.GetFiber(), [this] { return ReadGauges(); });
    AddClientGauges(
      gauges, *clients_, control_.Connections() + directory_.Connections());
    aExchange.Respond(
      MetricsResponse(aExchange.Request(), counters_.Collect(), gauges));
  }

  void OnFleetChange()
  {
    if (!isBuilt_) {
      return;
    }
    const auto& declaration = fleet_.Current();
    if (declaration && declaration->number_ != appliedDeclaration_) {
      appliedDeclaration_ = declaration->number_;
      OnDeclaration(*declaration);
    }
    rollouts_.SetRollouts(fleet_.Rollouts());
    AdoptLeaves();
    AdoptVersionStarts();
    entriesServer_.Notify();
  }

  /// Passes on what the log holds of replicas that leave. After a restart of
  /// all control processes nothing else does.
  void AdoptLeaves()
  {
    auto stamp = replicas_.Stamp();
    for (const auto& [id, record] : fleet_.Leaves().All()) {
      replicas_.AdoptReport(record.first, clock_.Now());
    }
    if (stamp != replicas_.Stamp()) {
      OnReplicasChanged();
    }
    confirmations_.Update();
  }

  /// Streams may begin at these versions before any of their replicas is heard
  /// of here.
  void AdoptVersionStarts()
  {
    for (const auto& [version, startedAt] : fleet_.StartedVersions()) {
      auto known = versionStarts_.find(version);
      if (known == versionStarts_.end() || known->second != startedAt) {
        streams_.RecordStart(version.first, version.second, clock_.Now());
      }
    }
    versionStarts_ = fleet_.StartedVersions();
  }

  /// Has the leadership confirmed for entries that ask which versions there
  /// are.
  void ConfirmVersions()
  {
    if (!isLeading_ || std::exchange(isConfirmingVersions_, true)) {
      return;
    }
    leaderTasks_.ConfirmLease([this](bool aHasLease) {
      isConfirmingVersions_ = false;
      if (aHasLease) {
        streams_.ConfirmVersions(leaderTasks_.ConfirmedAt());
        entriesServer_.Notify();
      }
    });
  }

  void OnDeclaration(const Declaration& aDeclaration)
  {
    history_.Add(aDeclaration);
    if (auto plan = hooks_.decodePlan_(aDeclaration.document_)) {
      plan_ = std::move(*plan);
      planNumber_ = aDeclaration.number_;
      streams_.SetPlan(*plan_);
      SetLimits();
    }
    LogEvent(Severity::Info,
             "declaration applied",
             { { "number", aDeclaration.number_ },
               { "bytes", aDeclaration.document_.size() } });
  }

  void SetLimits()
  {
    if (!plan_->organisations_) {
      return;
    }
    for (const auto& organisation : *plan_->organisations_) {
      double rate = organisation.ratePerSecond_;
      double burst = organisation.burst_;
      double window = InSeconds(settings_.costWindow_);
      double overshoot = settings_.costOvershoot_ * (rate * window + burst);
      leases_.SetLimit(organisation.name_,
                       { rate, burst },
                       kGrantedOvershootShare * overshoot +
                         kGrantedSlackShare * settings_.costSlack_);
    }
  }

  void HandleReport(const EntryReport& aReport)
  {
    loopDelay_.CountReport();
    if (IsFromControl(aReport) && aReport.entry_.id_ != settings_.id_) {
      bool isOfThisRun = aReport.controlRun_ == runId_;
      confirmations_.Record(aReport.entry_.id_,
                            isOfThisRun ? aReport.stamp_ : 0);
    }
    entries_.Observe(aReport.entry_, clock_.Now());
    if (!NeedsAllAtOnce(aReport)) {
      batches_.RecordFollower(aReport.entry_.id_, clock_.Now());
    }
    if (!aReport.isBrief_) {
      usageTotals_.Merge(RunOf(aReport.entry_), aReport.usage_);
      loads_.Record(aReport);
    }
    if (aReport.entry_.weight_ > 0) {
      leases_.RecordReport(aReport.entry_.id_,
                           workingSet_.ShareDivisor(aReport.entry_.id_),
                           aReport.grantRequests_,
                           clock_.Now());
    }
    if (isLeading_ && !aReport.namedRates_.empty()) {
      auto revision = namedRates_.Revision();
      namedRates_.Record(aReport.namedRates_, clock_.Now());
      if (revision != namedRates_.Revision()) {
        entriesServer_.Notify();
      }
    }
    if (isLeading_ && aReport.isToLeader_) {
      admission_.Record(aReport.entry_.id_, aReport.admission_, clock_.Now());
    }
    rollouts_.Record(RunOf(aReport.entry_), aReport, clock_.Now());
    if (!aReport.wantedStreams_.empty()) {
      ConfirmVersions();
    }
    streams_.Adopt(aReport.streamStarts_, clock_.Now());
    if (isLeading_ && aReport.crashReport_) {
      detector_.RecordReport(
        RunOf(aReport.entry_), *aReport.crashReport_, clock_.Now());
    }
  }

  /// Whether the report is one to the leader and lacks its verdicts.
  bool LacksVerdicts(const EntryReport& aReport) const
  {
    return isLeading_ && aReport.crashReport_ &&
           aReport.promptRevision_ != detector_.Revision();
  }

  /// Whether the report is one to the leader and lacks the rate limits that it
  /// knows.
  bool LacksRates(const EntryReport& aReport) const
  {
    return isLeading_ && aReport.isToLeader_ &&
           aReport.rateRevision_ != namedRates_.Revision();
  }

  std::set<std::string> ServingRuns() const
  {
    std::set<std::string> runs;
    for (const auto& entry : ServingEntries()) {
      runs.insert(RunOf(entry));
    }
    return runs;
  }

  void DecideOnCrashes(TimePoint aNow)
  {
    if (!isLeading_ || !detector_.Update(aNow)) {
      return;
    }
    for (const auto& decision : detector_.TakeDecisions()) {
      LogQuarantined(decision);
    }
    entriesServer_.Notify();
  }

  void AdoptReports(const ReplicaReport& aReport)
  {
    auto stamp = replicas_.Stamp();
    for (const auto& replica : aReport.changed_) {
      replicas_.AdoptReport(replica, clock_.Now());
    }
    if (stamp != replicas_.Stamp()) {
      OnReplicasChanged();
    }
  }

  /// Makes the report to another control process. Its weight of 0 marks the
  /// sender as no serving entry; the answer carries the replicas that announced
  /// themselves to that process.
  EntryReport MakePeerReport(const std::string& aControl)
  {
    EntryReport report;
    report.entry_.id_ = settings_.id_;
    report.entry_.weight_ = 0;
    report.inForce_ = NumberOf(fleet_.Current());
    report.newestDeclaration_ = report.inForce_;
    report.readsPackedReplicas_ = true;
    std::tie(report.controlRun_, report.stamp_) = view_.Position(aControl);
    return report;
  }

  bool HasUpdate(const EntryReport& aReport) const
  {
    bool wantsGrant =
      std::any_of(aReport.grantRequests_.begin(),
                  aReport.grantRequests_.end(),
                  [](const auto& aIt) { return aIt.second.HasDemand(); });
    DeclarationNumber number = NumberOf(fleet_.Current());
    bool wantsDeclaration =
      aReport.wantsDeclaration_ && aReport.inForce_ < number;
    // Entries without a leader get no grants.
    bool missesLeader = isLeading_ && !aReport.isToLeader_;
    return wantsGrant || wantsDeclaration || missesLeader ||
           LacksVerdicts(aReport) || LacksRates(aReport) ||
           rollouts_.HasUpdate(RunOf(aReport.entry_), aReport) ||
           aReport.newestDeclaration_ < number ||
           aReport.controlRun_ != runId_ || aReport.stamp_ < StampFor(aReport);
  }

  /// The last change of replicas that the sender of the report may learn of.
  std::uint64_t StampFor(const EntryReport& aReport) const
  {
    return NeedsAllAtOnce(aReport) ? replicas_.Stamp() : publishedStamp_;
  }

  ReplicaReport MakeReplicaReport(const EntryReport& aReport)
  {
    bool isKnown = aReport.controlRun_ == runId_;
    std::uint64_t from = isKnown ? aReport.stamp_ : 0;
    // An entry that has just begun to serve may know more than was published.
    std::uint64_t to = std::max(from, StampFor(aReport));
    auto changes = encodedChanges_.Get(
      runId_, from, to, [&] { return replicas_.ChangedBetween(from, to); });
    return { runId_, to, {}, std::move(changes), aReport.readsPackedReplicas_ };
  }

  /// Passes changes of replicas on: to the other control processes at once, to
  /// the entries when the next publication is due.
  void OnReplicasChanged()
  {
    TimePoint now = clock_.Now();
    if (now >= batches_.NextAt()) {
      PublishReplicas(now);
      return;
    }
    entriesServer_.Notify();
    if (!std::exchange(isPublicationPending_, true)) {
      auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
        batches_.NextAt() - now);
      tasks_.Add(
        timer_.afterDelay((wait.count() + 1) * kj::MICROSECONDS).then([this] {
          if (isPublicationPending_) {
            PublishReplicas(clock_.Now());
          }
        }));
    }
  }

  void PublishReplicas(TimePoint aNow)
  {
    isPublicationPending_ = false;
    publishedStamp_ = replicas_.Stamp();
    batches_.RecordPublication(aNow);
    encodedChanges_.Clear();
    entriesServer_.Notify();
  }

  ControlAnswer MakeAnswer(const EntryReport& aReport)
  {
    ControlAnswer answer;
    answer.replicas_ = MakeReplicaReport(aReport);
    answer.region_ = settings_.region_;
    answer.planNumber_ = NumberOf(fleet_.Current());
    if (aReport.wantsDeclaration_ && answer.planNumber_ > aReport.inForce_) {
      answer.declaration_ = history_.TransferFor(aReport.canRestore_);
    }
    if (LacksVerdicts(aReport)) {
      answer.crashVerdicts_ = detector_.Verdicts(clock_.Now());
    }
    if (LacksRates(aReport)) {
      answer.namedRates_ = namedRates_.Rates(clock_.Now());
    }
    answer.rateRevision_ = namedRates_.Revision();
    rollouts_.AddTo(answer, RunOf(aReport.entry_), aReport);
    answer.streamPosition_ =
      ConfirmedPosition(aReport.controlRun_, runId_, aReport.streamPosition_);
    answer.foundStreams_ =
      streams_.FindAll(aReport.wantedStreams_, clock_.Now());
    answer.members_ = members_.Addresses();
    answer.readsCompressed_ = true;
    answer.appliesRollouts_ = true;
    answer.appliesNumberZero_ = true;
    answer.shareDivisor_ = workingSet_.ShareDivisor(aReport.entry_.id_);
    answer.isStandby_ =
      aReport.entry_.weight_ > 0 && !workingSet_.IsActive(aReport.entry_.id_);
    answer.isLeader_ = leaderTasks_.IsSteadyLeader(clock_.Now());
    if (answer.isLeader_) {
      TimePoint now = clock_.Now();
      answer.grants_ =
        leases_.Grant(aReport.entry_.id_, aReport.grantRequests_, now);
      answer.admission_ = admission_.Sums(now);
      answer.allowsAdvance_ = true;
      answer.longResponses_ = loads_.LongResponses(now);
      answer.nearlyExhausted_ = leases_.NearlyExhausted(now);
    }
    return answer;
  }

  std::vector<EntryInfo> ServingEntries() const
  {
    auto present = entries_.Present(clock_.Now());
    std::erase_if(present, [](const EntryInfo& aIt) {
      return aIt.isDraining_ || aIt.weight_ == 0;
    });
    return present;
  }

  /// Whether a leader can know that the replica's version accepts work. Where
  /// no leader has been heard since the start, as after a restart of all
  /// control processes, none infers anything, and known versions don't wait for
  /// one.
  bool IsVersionKnown(const Replica& aReplica) const
  {
    return streams_.HasVersion(aReplica.service_, aReplica.version_) ||
           (!hasHeardLeader_ && fleet_.StartedVersions().contains(
                                  { aReplica.service_, aReplica.version_ }));
  }

  /// Applies an announcement, at once or when its version has started, and
  /// reports whether it may be acknowledged.
  void ReceiveAnnouncement(const Replica& aReplica,
                           const PeerConfirmations::Done& aDone)
  {
    if (aReplica.state_ == ReplicaState::Ready && !IsVersionKnown(aReplica)) {
      versionGate_.Hold(aReplica);
      aDone(true);
      return;
    }
    RecordAnnouncement(aReplica, aDone);
  }

  void RecordAnnouncement(const Replica& aReplica,
                          const PeerConfirmations::Done& aDone)
  {
    auto stamp = replicas_.Stamp();
    bool isAccepted = replicas_.Announce(aReplica, clock_.Now());
    counters_.Count(isAccepted ? Counter::AnnouncementsTaken
                               : Counter::AnnouncementsStale);
    if (!isAccepted) {
      LogEvent(Severity::Info,
               "announcement out of date",
               { { "replica", aReplica.id_ },
                 { "start_ms", aReplica.startTimeMs_ },
                 { "sequence", aReplica.sequence_ } });
    }
    if (stamp != replicas_.Stamp()) {
      LogEvent(Severity::Info,
               "replica announced",
               { { "replica", aReplica.id_ },
                 { "service", aReplica.service_ },
                 { "draining", aReplica.state_ == ReplicaState::Draining },
                 { "sequence", aReplica.sequence_ } });
      OnReplicasChanged();
    }
    if (aReplica.state_ == ReplicaState::Ready) {
      aDone(true);
      return;
    }
    AwaitConfirmation(aReplica.id_, aDone);
  }

  /// Waits until what the replica said last can't be lost with this process nor
  /// with all of them. It may be its last word, and entries would use it for
  /// longer than they may.
  void AwaitConfirmation(const std::string& aId,
                         const PeerConfirmations::Done& aDone)
  {
    TimePoint begunAt = clock_.Now();
    auto leave = replicas_.LeaveOf(aId);
    auto isRecorded = [this, leave] {
      return !leave || fleet_.Leaves().Holds(*leave);
    };
    if (!isRecorded()) {
      leaveRecorder_.Record(*leave, begunAt);
    }
    auto onDone = [this, aId, begunAt, aDone](bool aIsConfirmed) {
      LogEvent(aIsConfirmed ? Severity::Info : Severity::Warning,
               aIsConfirmed ? "leave confirmed" : "leave not confirmed",
               { { "replica", aId },
                 { "took_ms", WholeMilliseconds(clock_.Now() - begunAt) } });
      aDone(aIsConfirmed);
    };
    confirmations_.Await(replicas_.StampOf(aId),
                         isRecorded,
                         begunAt + kMaxConfirmationTime,
                         onDone);
  }

  void RecordDeparture(const std::string& aId,
                       std::uint64_t aSentStartMs,
                       const PeerConfirmations::Done& aDone)
  {
    if (!TryRecordDeparture(aId, aSentStartMs)) {
      aDone(false);
      return;
    }
    AwaitConfirmation(aId, aDone);
  }

  /// Returns false if the run that leaves can't be known.
  bool TryRecordDeparture(const std::string& aId, std::uint64_t aSentStartMs)
  {
    TimePoint now = clock_.Now();
    auto run = FindDepartedRun({ aSentStartMs,
                                 replicas_.NewestRun(aId),
                                 view_.NewestRun(aId, now),
                                 now - startedAt_,
                                 settings_.replicaTimeToLive_ });
    LogEvent(Severity::Info,
             run ? "replica left" : "departure not recorded",
             { { "replica", aId }, { "start_ms", run.value_or(0) } });
    if (run) {
      replicas_.Leave(aId, *run, now);
      OnReplicasChanged();
    }
    return run.has_value();
  }

  void ExpireReplicas(TimePoint aNow)
  {
    auto expired = replicas_.Tick(aNow);
    for (const auto& id : expired) {
      LogEvent(Severity::Info, "replica expired", { { "replica", id } });
    }
    if (!expired.empty()) {
      OnReplicasChanged();
    }
  }

  kj::Promise<void> TickPeriodically()
  {
    return timer_.afterDelay(kTickInterval.count() * kj::MILLISECONDS)
      .then([this] {
        TimePoint now = clock_.Now();
        if (auto lag = loopDelay_.Observe(now, ReadSuspendedTime())) {
          LogLag(*lag);
        }
        ExpireReplicas(now);
        const Membership& members =
          member_.Group(GroupName::Configuration).Core().Log().Members();
        members_.Update(members, settings_.entriesAddress_.port_);
        confirmations_.SetMembers(members.size());
        confirmations_.Tick(now);
        leaveRecorder_.Tick(now);
        auto serving = ServingEntries();
        loads_.KeepOnly(serving);
        workingSet_.Update(serving, loads_.Rates(), now);
        hasHeardLeader_ |=
          member_.Group(GroupName::Configuration).Core().Leader() != 0;
        leaderTasks_.Observe(now);
        bool wasLeading =
          std::exchange(isLeading_, leaderTasks_.IsSteadyLeader(now));
        if (isLeading_ && !wasLeading) {
          leases_.StartLeading(now);
          detector_.StartLeading();
          admission_.StartLeading(now);
          entriesServer_.Notify();
        }
        UpdateStreams(now);
        rollouts_.SetLeading(isLeading_, now);
        namedRates_.Update(now);
        DecideOnCrashes(now);
        rollouts_.Update(now, ReadWallTime());
        if (now >= nextSettingsReadAt_) {
          Reload(false);
        }
        return TickPeriodically();
      });
  }

  void UpdateStreams(TimePoint aNow)
  {
    if (view_.ConsumeChange(aNow)) {
      streams_.SetReplicas(*view_.Present(aNow), aNow);
      streams_.Tick(aNow);
    }
  }

  void Reload(bool aIsRequested)
  {
    nextSettingsReadAt_ = clock_.Now() + kSettingsInterval;
    auto contacts = hooks_.readContacts_();
    if (aIsRequested) {
      LogEvent(
        Severity::Info, "settings read", { { "contacts", contacts.size() } });
    }
    if (!contacts.empty()) {
      member_.SetContacts(std::move(contacts));
    }
  }

  UsageWindow SumUsage(std::int64_t aWindow)
  {
    UsageWindow usage{ aWindow, usageTotals_.TotalOf(aWindow) };
    usageTotals_.RemoveBefore(aWindow - kRetainedWindows);
    return usage;
  }

  std::vector<PlacementInput> ReadServices()
  {
    if (!plan_) {
      return {};
    }
    TimePoint now = clock_.Now();
    return MakePlacementInputs(*plan_,
                               *view_.Present(now),
                               fleet_.Rollouts(),
                               namedRates_.Rates(now),
                               loads_,
                               now);
  }

  RolloutFacts ReadRolloutFacts(const std::string& aService)
  {
    TimePoint now = clock_.Now();
    RolloutFacts facts = FactsOf(aService, fleet_, *view_.Present(now));
    facts.isServiceKnown_ = plan_ && plan_->services_.contains(aService);
    facts.declaration_ = planNumber_;
    facts.canAllApply_ |= members_.CanAllApplyRollouts();
    // After a cut from other control processes, the replicas that announce
    // themselves there are missing until those have reported again.
    facts.hasHeardAll_ = now - startedAt_ >= settings_.replicaTimeToLive_ &&
                         view_.HasRecentReports(members_.Addresses(), now);
    return facts;
  }

  /// Returns the orders of roll-outs as handled on a fiber.
  RolloutOrders OrdersOn(Fiber& aFiber)
  {
    return RolloutOrders(
      { [this, &aFiber](const Bytes& aCommand) {
         return configuration_.Propose(aFiber, [aCommand] { return aCommand; });
       },
        [this, &aFiber](const Bytes& aQuery) {
          return configuration_.Query(aFiber, aQuery);
        },
        [this, &aFiber](const std::string& aService) {
          return OnLoop<RolloutFacts>(loop_, aFiber, [this, aService] {
            return ReadRolloutFacts(aService);
          });
        },
        hooks_.decodePlan_ });
  }

  /// Returns the calls on declarations as handled on a fiber.
  DeclarationCalls DeclarationsOn(Fiber& aFiber)
  {
    return DeclarationCalls(
      { [this, &aFiber](const Declaration& aDeclaration) {
         return configuration_.Propose(aFiber, [this, aDeclaration] {
           return FleetState::EncodeDeclare(aDeclaration,
                                            members_.CommandEncoding());
         });
       },
        [this, &aFiber](const Bytes& aQuery) {
          return configuration_.Query(aFiber, aQuery);
        },
        [this, &aFiber] {
          return OnLoop<bool>(
            loop_, aFiber, [this] { return members_.CanAllApplyNumberZero(); });
        } });
  }

  FleetControlSettings settings_;
  FleetControlHooks hooks_;
  Clock clock_;
  ShutdownSignal signal_;
  ControlLoop loop_;
  TrafficThreads threads_;
  kj::Timer& timer_;
  bool isBuilt_ = false;
  std::uint64_t runId_ = MakeRunId();
  FleetState fleet_;
  /// The number of the declaration that was applied last.
  DeclarationNumber appliedDeclaration_;
  DeclarationHistory history_;
  RaftMember member_;
  ConfigurationCalls configuration_{ loop_, member_ };
  FleetRecords records_{ member_, clock_ };
  ReplicaTable replicas_;
  PeerConfirmations confirmations_;
  LeaveRecorder leaveRecorder_{ [this](const auto& aReplicas,
                                       const LeaveRecorder::Done& aDone) {
    records_.RecordLeaves(aReplicas, aDone);
  } };
  ReplicaBatches batches_;
  EncodedChanges encodedChanges_;
  /// The last change of replicas that entries may learn of.
  std::uint64_t publishedStamp_ = 0;
  bool isPublicationPending_ = false;
  EntryDirectory entries_;
  EntryWorkingSet workingSet_;
  MemberDirectory members_;
  CostLeases leases_;
  CrashDetector detector_{ runId_ };
  NamedRateTable namedRates_{ runId_ };
  AdmissionLevels admission_;
  RolloutLeader rollouts_{ settings_.rollouts_,
                           runId_,
                           { [this] { return view_.Present(clock_.Now()); },
                             [this] { return ServingRuns(); },
                             [this](const RolloutEnd& aEnd) {
                               records_.RecordRolloutEnd(aEnd);
                             },
                             [this] { entriesServer_.Notify(); } } };
  bool isLeading_ = false;
  LoopDelay loopDelay_{ kTickInterval };
  UsageTotals usageTotals_;
  /// The replicas that the other control processes report.
  ReplicaView view_;
  EntryLoads loads_;
  /// What began the streams of all entries.
  StreamDirectory streams_{ kMaxStreams };
  /// The starts of versions that `streams_` knows.
  VersionStarts versionStarts_;
  bool isConfirmingVersions_ = false;
  bool hasHeardLeader_ = false;
  VersionGate versionGate_{ [this](const std::string& aService,
                                   const std::string& aVersion,
                                   const VersionGate::Done& aDone) {
                             records_.RecordVersionStart(
                               aService, aVersion, aDone);
                           },
                            [this](const Replica& aReplica) {
                              RecordAnnouncement(aReplica, [](bool) {});
                            } };
  std::optional<TrafficPlan> plan_;
  /// The number of the declaration that `plan_` was decoded from.
  DeclarationNumber planNumber_;
  LeaderTasks leaderTasks_;
  TimePoint nextSettingsReadAt_;
  TimePoint startedAt_;
  FleetServer entriesServer_;
  FleetClient peerClient_;
  RolloutApi rolloutApi_;
  std::shared_ptr<ClientLimits> clients_;
  HttpServer control_;
  HttpServer directory_;
  Metrics counters_;
  HttpServer metrics_;
  LoggedTasks tasks_;
};

FleetControl::FleetControl(FleetControlSettings aSettings,
                           FleetControlHooks aHooks)
  : state_(
      std::make_unique<State>(*this, std::move(aSettings), std::move(aHooks)))
{
}

FleetControl::~FleetControl() = default;

tl::expected<void, GroupError>
FleetControl::Declare(Fiber& aFiber, const Declaration& aDeclaration)
{
  return state_->DeclarationsOn(aFiber).Declare(aDeclaration);
}

tl::expected<std::optional<Declaration>, GroupError>
FleetControl::ReadDeclaration(Fiber& aFiber)
{
  return state_->DeclarationsOn(aFiber).Read();
}

RolloutResult
FleetControl::StartRollout(Fiber& aFiber, RolloutOrder aOrder)
{
  aOrder.orderedAt_ = ReadWallTime();
  return state_->OrdersOn(aFiber).Start(aOrder);
}

tl::expected<RolloutsByService, GroupError>
FleetControl::ReadRollouts(Fiber& aFiber)
{
  return state_->OrdersOn(aFiber).Read();
}

bool
FleetControl::Announce(Fiber& aFiber, const Replica& aReplica)
{
  return aFiber.Await<bool>([&](const PeerConfirmations::Done& aDone) {
    state_->loop_.Post([state = state_.get(), aReplica, aDone] {
      state->ReceiveAnnouncement(aReplica, aDone);
    });
  });
}

bool
FleetControl::Leave(Fiber& aFiber,
                    const std::string& aId,
                    std::uint64_t aStartTimeMs)
{
  return aFiber.Await<bool>([&](const PeerConfirmations::Done& aDone) {
    state_->loop_.Post([state = state_.get(), aId, aStartTimeMs, aDone] {
      state->RecordDeparture(aId, aStartTimeMs, aDone);
    });
  });
}

std::vector<EntryInfo>
FleetControl::EntriesFor(Fiber& aFiber, const CallerLocation& aCaller)
{
  return OnLoop<std::vector<EntryInfo>>(
    state_->loop_, aFiber, [this, aCaller]() -> std::vector<EntryInfo> {
      if (state_->clock_.Now() - state_->startedAt_ < kDirectoryWarmUp) {
        return {};
      }
      return SelectEntries(
        state_->workingSet_.SelectActive(state_->ServingEntries()),
        aCaller,
        state_->settings_.maxDirectoryEntries_);
    });
}

int
FleetControl::Run()
{
  State* state = state_.get();
  state->startedAt_ = state->clock_.Now();
  if (!ListenOrLog(state->control_, state->settings_.controlAddress_) ||
      !ListenOrLog(state->directory_, state->settings_.directoryAddress_)) {
    return 1;
  }
  state->member_.Start(state->settings_.entriesAddress_,
                       { state->fleet_.AsStateMachine() });
  state->entriesServer_.Listen(state->settings_.entriesAddress_);
  state->peerClient_.SetSeeds({ state->settings_.entriesAddress_ });
  ListenForMetrics(state->metrics_, state->settings_.metricsAddress_);
  LogEvent(
    Severity::Info,
    "started",
    { { "id", state->settings_.id_ },
      { "members", state->settings_.member_.memberAddress_.ToString() } });
  state->nextSettingsReadAt_ = state->clock_.Now() + kSettingsInterval;
  state->signal_.Start(
    [state] { state->loop_.Stop(); },
    [state] { state->loop_.Post([state] { state->Reload(true); }); });
  state->tasks_.Add(state->TickPeriodically());
  state->threads_.Spawn(
    [state](Fiber& aFiber) { state->leaderTasks_.Run(aFiber); });
  state->loop_.Run();
  state->threads_.Stop();
  LogEvent(Severity::Info, "stopped", { { "id", state->settings_.id_ } });
  return 0;
}

} // namespace tanagerstall
