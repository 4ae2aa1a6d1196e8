#include "tanagerstall/process/tanagerstall_controller.hpp"

#include "tanagerstall/connection/tanagerstall_control_server.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_shutdown_signal.hpp"
#include "tanagerstall/request/tanagerstall_ledger.hpp"
#include "tanagerstall/request/tanagerstall_member_api.hpp"
#include "tanagerstall/request/tanagerstall_metrics_route.hpp"
#include "tanagerstall/request/tanagerstall_record_api.hpp"
#include "tanagerstall/request/tanagerstall_request_api.hpp"
#include "tanagerstall/version/tanagerstall_configuration_store.hpp"

namespace tanagerstall {

struct Controller::State
{
  explicit State(ControllerSettings aSettings)
    : settings_(std::move(aSettings))
    , threads_(1)
    , store_([this](std::uint64_t) { OnRevision(); })
    , member_(loop_,
              clock_,
              { settings_.id_,
                settings_.dataFolder_,
                settings_.memberAddress_,
                settings_.isBootstrap_,
                {},
                {},
                {},
                0 })
    , rpc_(loop_,
           clock_,
           store_,
           entries_,
           { [this](GroupName aGroup,
                    BytesView aCommand,
                    const GroupCallback& aDone) {
              member_.Propose(aGroup, aCommand, aDone);
            },
             [this](GroupName aGroup,
                    BytesView aQuery,
                    const GroupCallback& aDone) {
               member_.Query(aGroup, aQuery, aDone);
             } })
    , records_(MakeOperatorHooks())
    , requests_(MakeOperatorHooks())
    , members_(MakeMemberHooks())
    , api_(MakeRoutes())
    , server_(threads_, {}, [this](HttpExchange& aExchange) {
      api_.Handle(aExchange);
    })
  {
    isBuilt_ = true;
  }

  /// Notifies entries of a new revision. Runs on the control thread. Replaying
  /// the log calls it as well, before all members are constructed.
  void OnRevision()
  {
    if (isBuilt_) {
      rpc_.NotifyRevision();
    }
  }

  std::vector<OperatorRoute> MakeRoutes()
  {
    return {
      [this](HttpExchange& aExchange) { return records_.Handle(aExchange); },
      [this](HttpExchange& aExchange) { return requests_.Handle(aExchange); },
      [this](HttpExchange& aExchange) { return members_.Handle(aExchange); },
      MakeStatusRoute(MakeOperatorHooks()),
      MakeMetricsRoute(metrics_, MakeOperatorHooks())
    };
  }

  MemberApiHooks MakeMemberHooks()
  {
    return { [this](GroupName aGroup,
                    const RepairGoal& aGoal,
                    std::function<void(MemberApiHooks::Status)> aDone) {
              loop_.Post([this, aGroup, aGoal, aDone] {
                member_.Advance(aGroup, aGoal, aDone);
              });
            },
             [this](const std::string& aAddress,
                    std::function<void(MemberApiHooks::Identity)> aDone) {
               loop_.Post([this, aAddress, aDone] {
                 member_.Identify(aAddress, aDone);
               });
             },
             [this](std::function<void(MemberIdentity)> aDone) {
               loop_.Post([this, aDone] { aDone(member_.Identity()); });
             } };
  }

  /// Listens for entries. If no port is configured, tries the port of the
  /// previous run, which entries still know.
  Address ListenForEntries()
  {
    auto previous = member_.PreviousControlAddress();
    const Address& configured = settings_.rpcAddress_;
    if (configured.port_ != 0 || !previous ||
        previous->host_ != configured.host_) {
      return rpc_.Listen(configured);
    }
    try {
      return rpc_.Listen(*previous);
    } catch (const std::exception&) {
      return rpc_.Listen(configured);
    }
  }

  OperatorHooks MakeOperatorHooks()
  {
    return { [this](GroupName aGroup, Bytes aCommand, GroupCallback aDone) {
              loop_.Post([this, aGroup, aCommand, aDone] {
                member_.Propose(aGroup, aCommand, aDone);
              });
            },
             [this](GroupName aGroup, Bytes aQuery, GroupCallback aDone) {
               loop_.Post([this, aGroup, aQuery, aDone] {
                 member_.Query(aGroup, aQuery, aDone);
               });
             },
             [this](std::function<void(std::vector<EntryInfo>)> aDone) {
               loop_.Post(
                 [this, aDone] { aDone(entries_.Present(clock_.Now())); });
             },
             [this](std::function<void(std::uint64_t)> aDone) {
               loop_.Post([this, aDone] { aDone(store_.Revision()); });
             } };
  }

  ControllerSettings settings_;
  Clock clock_;
  ShutdownSignal signal_;
  ControlLoop loop_;
  TrafficThreads threads_;
  Metrics metrics_;
  bool isBuilt_ = false;
  ConfigurationStore store_;
  Ledger ledger_;
  RaftMember member_;
  EntryDirectory entries_;
  ControlServer rpc_;
  RecordApi records_;
  RequestApi requests_;
  MemberApi members_;
  OperatorApi api_;
  HttpServer server_;
};

Controller::Controller(ControllerSettings aSettings)
  : state_(std::make_unique<State>(std::move(aSettings)))
{
}

Controller::~Controller() = default;

int
Controller::Run()
{
  auto operators =
    ListenOrLog(state_->server_, state_->settings_.operatorAddress_);
  if (!operators) {
    return 1;
  }
  auto rpc = state_->ListenForEntries();
  state_->member_.Start(
    rpc, { state_->store_.AsStateMachine(), state_->ledger_.AsStateMachine() });
  LogEvent(
    Severity::Info,
    "listening",
    { { "operators", operators->ToString() },
      { "rpc", rpc.ToString() },
      { "members", state_->member_.Identity().member_.memberAddress_ } });
  state_->signal_.Start([this] { state_->loop_.Stop(); });
  state_->rpc_.Start();
  state_->loop_.Run();
  state_->threads_.Stop();
  return 0;
}

} // namespace tanagerstall
