#include "tanagerstall/process/tanagerstall_entry.hpp"

#include "tanagerstall/connection/tanagerstall_control_client.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/process/presence/tanagerstall_presence_service.hpp"
#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/process/tanagerstall_drain.hpp"
#include "tanagerstall/process/tanagerstall_entry_api.hpp"
#include "tanagerstall/process/tanagerstall_shutdown_signal.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_dispatch.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_response.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"
#include "tanagerstall/request/tanagerstall_idempotent_dispatch.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"
#include "tanagerstall/request/tanagerstall_request_reporter.hpp"

#include <algorithm>
#include <atomic>
#include <optional>

namespace tanagerstall {

namespace {

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

/// Returns the name that the ledger stores for one incarnation of an entry.
std::string
IncarnationName(const std::string& aId, std::uint64_t aIncarnation)
{
  return aId + "/" + std::to_string(aIncarnation);
}

} // namespace

struct Entry::State
{
  explicit State(EntrySettings aSettings)
    : settings_(std::move(aSettings))
    , threads_(settings_.trafficThreads_)
    , presence_(loop_,
                clock_,
                { settings_.id_, incarnation_ },
                metrics_,
                [this] { Publish(); })
    , control_(loop_,
               settings_.control_,
               { [this] { return Self(); },
                 [this](const ControlUpdate& aUpdate) { OnUpdate(aUpdate); } })
    , dispatcher_(
        clock_,
        [this] { return snapshot_.load(); },
        MakePolicy(),
        Checksum(ViewOf(settings_.id_)))
    , reporter_(settings_.id_, metrics_)
    , idempotent_(clock_, dispatcher_, reporter_.AsObserver())
    , atMostOnce_(IncarnationName(settings_.id_, incarnation_),
                  clock_,
                  dispatcher_,
                  MakeLedgerClient(),
                  MakeAtMostOnceHooks())
    , api_(settings_.id_,
           { settings_.operatorToken_, settings_.upstreamToken_ },
           clock_,
           metrics_,
           MakeApiHooks())
    , server_(threads_, {}, [this](HttpExchange& aExchange) {
      Handle(aExchange);
    })
  {
    Publish();
  }

  PolicyOptions MakePolicy() const
  {
    PolicyOptions options;
    options.region_ = settings_.region_;
    return options;
  }

  LedgerClient MakeLedgerClient()
  {
    return LedgerClient(
      [this](Bytes aCommand, GroupCallback aDone) {
        loop_.Post([this,
                    command = std::move(aCommand),
                    done = std::move(aDone)]() mutable {
          control_.Propose(
            GroupName::Ledger, std::move(command), std::move(done));
        });
      },
      [this](Bytes aQuery, GroupCallback aDone) {
        loop_.Post([this,
                    query = std::move(aQuery),
                    done = std::move(aDone)]() mutable {
          control_.Query(GroupName::Ledger, std::move(query), std::move(done));
        });
      });
  }

  AtMostOnceDispatchHooks MakeAtMostOnceHooks()
  {
    return {
      [this](const std::string& aName) { return IsIncarnationPresent(aName); },
      [this] { return isDraining_.load(); },
      [this] { return IsRecoveryEntry(); },
      [this] {
        return snapshot_.load()->configuration_->policy_.answerRetention_;
      }
    };
  }

  bool IsIncarnationPresent(const std::string& aName) const
  {
    if (aName == IncarnationName(settings_.id_, incarnation_)) {
      return true;
    }
    auto snapshot = snapshot_.load();
    return std::any_of(snapshot->entries_.begin(),
                       snapshot->entries_.end(),
                       [&](const EntryInfo& aEntry) {
                         return IncarnationName(aEntry.id_,
                                                aEntry.incarnation_) == aName;
                       });
  }

  /// Whether this entry recovers abandoned requests: the one with the lowest id
  /// that isn't draining. Recovery by two entries at once would do no harm.
  bool IsRecoveryEntry() const
  {
    auto snapshot = snapshot_.load();
    return std::none_of(snapshot->entries_.begin(),
                        snapshot->entries_.end(),
                        [&](const EntryInfo& aEntry) {
                          return !aEntry.isDraining_ &&
                                 aEntry.id_ < settings_.id_;
                        });
  }

  EntryApi::Hooks MakeApiHooks()
  {
    return { [this] { return snapshot_.load(); },
             [this](const UpstreamInfo& aUpstream) {
               loop_.Post([this, aUpstream] { presence_.Announce(aUpstream); });
             },
             [this] { return isDraining_.load(); },
             [this](Duration aNotice) { StartDrain("reclaim", aNotice); } };
  }

  EntryInfo Self() const
  {
    EntryInfo self;
    self.id_ = settings_.id_;
    self.callerAddress_ = settings_.callerAddress_.ToString();
    self.peerAddress_ = settings_.peerAddress_.ToString();
    self.failureDomain_ = settings_.failureDomain_;
    self.region_ = settings_.region_;
    self.incarnation_ = incarnation_;
    self.revision_ = configuration_.Revision();
    self.isDraining_ = isDraining_;
    return self;
  }

  void OnUpdate(const ControlUpdate& aUpdate)
  {
    configuration_.Apply(aUpdate, clock_.Now());
    if (aUpdate.hasEntries_) {
      entries_ = aUpdate.entries_;
      presence_.SetEntries(entries_);
      isConfigured_ = configuration_.IsConfirmed();
    }
    Publish();
  }

  /// Returns the entries that callers may use. While control is unreachable,
  /// other entries are included only if they renewed their upstreams recently.
  std::vector<EntryInfo> PresentEntries(bool aIsControlReachable,
                                        TimePoint aNow) const
  {
    std::vector<EntryInfo> present = entries_;
    if (!aIsControlReachable) {
      std::erase_if(present, [&](const EntryInfo& aEntry) {
        return aEntry.id_ != settings_.id_ &&
               !presence_.Table().IsEntryFresh(aEntry.id_, aNow);
      });
    }
    return present;
  }

  /// Publishes the state of the control thread to the traffic threads as a new
  /// routing snapshot.
  void Publish()
  {
    auto now = clock_.Now();
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->configuration_ = configuration_.Current();
    snapshot->confirmedAt_ = configuration_.ConfirmedAt();
    snapshot->entries_ = PresentEntries(snapshot->IsControlReachable(now), now);
    for (auto& upstream : presence_.Table().Present(now)) {
      auto& upstreams = snapshot->upstreams_[upstream.info_->service_];
      upstreams.push_back(std::move(upstream));
    }
    snapshot_.store(std::move(snapshot));
  }

  void Handle(HttpExchange& aExchange)
  {
    if (api_.Handle(aExchange)) {
      return;
    }
    const HttpRequest& request = aExchange.Request();
    auto snapshot = snapshot_.load();
    if (!isConfigured_) {
      Refuse(aExchange, "not_configured", "this entry has no configuration");
    } else if (!canAcceptRequests_) {
      Refuse(aExchange, "draining", "this entry is about to be reclaimed");
    } else if (auto key = KeyOfLocation(request.target_)) {
      FetchOutcome(aExchange, *snapshot->configuration_, *key);
    } else {
      auto call =
        ReadServiceCall(request, *snapshot->configuration_, clock_.Now());
      if (!call) {
        aExchange.Respond(call.error());
        return;
      }
      call->requestId_ = reporter_.RegisterRequest(request);
      if (call->rule_.isIdempotent_) {
        idempotent_.Forward(aExchange, std::move(*call));
      } else {
        TimePoint startedAt = clock_.Now();
        atMostOnce_.Forward(aExchange, *call);
        reporter_.OnAtMostOnceEnd(
          *call, aExchange.Status(), clock_.Now() - startedAt);
      }
    }
  }

  void FetchOutcome(HttpExchange& aExchange,
                    const Configuration& aConfiguration,
                    const std::string& aKey)
  {
    const auto* organisation =
      FindOrganisation(aExchange.Request(), aConfiguration);
    if (organisation == nullptr) {
      aExchange.Respond(UnauthorisedResponse());
      return;
    }
    atMostOnce_.Fetch(aExchange, { organisation->name_, aKey });
  }

  void Refuse(HttpExchange& aExchange,
              std::string_view aCode,
              std::string_view aMessage)
  {
    reporter_.OnRefusal("", aCode);
    aExchange.Respond(RefusalResponse(
      503, Outcome::NotRun, aCode, aMessage, std::chrono::seconds(1)));
  }

  /// Starts a drain, which removes this entry from discovery at once. A later
  /// call can only shorten the drain. May be called from any thread.
  void StartDrain(const char* aReason, std::optional<Duration> aNotice)
  {
    bool isFirst = !isDraining_.exchange(true);
    server_.StopKeepingAlive();
    metrics_.Count(Counter::Drains, isFirst ? 1 : 0);
    LogDecision(DecisionKind::Drain, "", aReason);
    loop_.Post([this, aNotice, isFirst] {
      drain_.Start(clock_.Now(),
                   configuration_.Current()->policy_.discoveryTimeToLive_,
                   aNotice);
      control_.Refresh();
      if (isFirst) {
        PollDrain();
      }
    });
  }

  /// Performs the step that the drain requires now, and schedules itself again
  /// until the drain has ended.
  void PollDrain()
  {
    auto inProgress = server_.ActiveExchanges() + atMostOnce_.Running();
    auto step = drain_.Next(clock_.Now(), inProgress);
    canAcceptRequests_ = drain_.CanAcceptRequests(clock_.Now());
    if (step == DrainStep::End) {
      LogEvent(
        Severity::Info, "drain ended", { { "requests_cut", inProgress } });
      loop_.Stop();
      return;
    }
    if (step != DrainStep::ServeLateCallers) {
      server_.StopAccepting();
    }
    threads_.Spawn([this](Fiber& aFiber) {
      aFiber.Sleep(kDrainPollInterval);
      loop_.Post([this] { PollDrain(); });
    });
  }

  EntrySettings settings_;
  Clock clock_;
  ShutdownSignal signal_;
  ControlLoop loop_;
  TrafficThreads threads_;

  Metrics metrics_;

  // Accessed by the control thread only.
  ConfigurationView configuration_{ [](const RecordError& aError) {
    LogEvent(Severity::Error,
             "record refused",
             { { "record", aError.record_ },
               { "field", aError.field_ },
               { "error", aError.message_ } });
  } };
  std::vector<EntryInfo> entries_;
  const std::uint64_t incarnation_ =
    static_cast<std::uint64_t>(ReadWallTime().time_since_epoch().count());
  Drain drain_;

  std::atomic<bool> isConfigured_{ false };
  std::atomic<bool> isDraining_{ false };
  std::atomic<bool> canAcceptRequests_{ true };
  std::atomic<std::shared_ptr<const RoutingSnapshot>> snapshot_;

  PresenceService presence_;
  ControlClient control_;
  Dispatcher dispatcher_;
  RequestReporter reporter_;
  IdempotentDispatch idempotent_;
  AtMostOnceDispatch atMostOnce_;
  EntryApi api_;
  HttpServer server_;
};

Entry::Entry(EntrySettings aSettings)
  : state_(std::make_unique<State>(std::move(aSettings)))
{
}

Entry::~Entry() = default;

int
Entry::Run()
{
  auto caller = ListenOrLog(state_->server_, state_->settings_.callerAddress_);
  if (!caller) {
    return 1;
  }
  state_->settings_.callerAddress_ = *caller;
  state_->settings_.peerAddress_ =
    state_->presence_.Listen(state_->settings_.peerAddress_);
  LogEvent(Severity::Info,
           "listening",
           { { "callers", caller->ToString() },
             { "peers", state_->settings_.peerAddress_.ToString() } });
  state_->presence_.Start();
  state_->control_.Start();
  state_->threads_.Spawn([this](Fiber& aFiber) {
    state_->atMostOnce_.RecoverAbandonedRequests(aFiber);
  });
  state_->signal_.Start([this] { state_->StartDrain("signal", std::nullopt); });
  state_->loop_.Run();
  state_->threads_.Stop();
  return 0;
}

} // namespace tanagerstall
