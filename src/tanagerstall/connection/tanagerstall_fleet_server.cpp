#include "tanagerstall/connection/tanagerstall_fleet_server.hpp"

#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/internal/tanagerstall_rpc_connection.hpp"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <list>

namespace tanagerstall {

namespace {

/// Upper bound of the wait that an entry may request.
constexpr std::chrono::milliseconds kMaxWait{ 2000 };

/// A report whose answer is delayed until there is an update.
struct Waiting
{
  EntryReport report_;
  kj::Own<kj::PromiseFulfiller<void>> fulfiller_;
};

using WaitingList = std::list<std::shared_ptr<Waiting>>;

} // namespace

struct FleetServer::State
{
  State(ControlLoop& aLoop, Hooks aHooks)
    : loop_(aLoop)
    , timer_(aLoop.Io().provider->getTimer())
    , hooks_(std::move(aHooks))
    , tasks_(Severity::Warning, "entry connection failed")
  {
  }

  /// Resolves when there is an update for the entry, or after the wait that
  /// its report allows.
  kj::Promise<void> WaitForUpdate(const EntryReport& aReport)
  {
    if (aReport.wait_.count() == 0 || hooks_.hasUpdate_(aReport)) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto waiting =
      std::make_shared<Waiting>(Waiting{ aReport, kj::mv(pair.fulfiller) });
    waiting_->push_back(waiting);
    auto wait = std::min(aReport.wait_, kMaxWait).count() * kj::MILLISECONDS;
    // The list is shared because a call in progress may outlive this server:
    // its connection is closed with the loop.
    return pair.promise.exclusiveJoin(timer_.afterDelay(wait))
      .attach(kj::defer([list = waiting_, waiting] { list->remove(waiting); }));
  }

  ControlLoop& loop_;
  kj::Timer& timer_;
  Hooks hooks_;
  std::shared_ptr<WaitingList> waiting_ = std::make_shared<WaitingList>();
  kj::Own<capnp::TwoPartyServer> server_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  LoggedTasks tasks_;
};

namespace {

template<class State>
class FleetCapability final : public wire::FleetPort::Server
{
public:
  explicit FleetCapability(State& aState)
    : state_(aState)
  {
  }

protected:
  kj::Promise<void> sync(SyncContext aContext) override
  {
    auto report = std::make_shared<EntryReport>(
      ReadReport(aContext.getParams().getRequest()));
    state_.hooks_.onReport_(*report);
    return state_.WaitForUpdate(*report).then(
      [this, aContext, report]() mutable {
        WriteAnswer(aContext.getResults().initReply(),
                    state_.hooks_.answer_(*report));
      });
  }

private:
  State& state_;
};

} // namespace

FleetServer::FleetServer(ControlLoop& aLoop, Hooks aHooks)
  : state_(std::make_unique<State>(aLoop, std::move(aHooks)))
{
}

FleetServer::~FleetServer() = default;

void
FleetServer::Listen(const Address& aAddress)
{
  auto& io = state_->loop_.Io();
  state_->server_ =
    kj::heap<capnp::TwoPartyServer>(kj::heap<FleetCapability<State>>(*state_));
  state_->receiver_ = ListenForRpc(io, aAddress);
  state_->tasks_.Add(state_->server_->listen(*state_->receiver_));
}

void
FleetServer::Notify()
{
  for (const auto& waiting : *state_->waiting_) {
    if (state_->hooks_.hasUpdate_(waiting->report_)) {
      waiting->fulfiller_->fulfill();
    }
  }
}

} // namespace tanagerstall
