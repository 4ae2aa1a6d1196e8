#include "tanagerstall/connection/tanagerstall_control_server.hpp"

#include "tanagerstall/internal/tanagerstall_entry_wire.hpp"
#include "tanagerstall/internal/tanagerstall_rpc_connection.hpp"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <vector>

namespace tanagerstall {

namespace {

constexpr auto kMaxWatchWait = 500 * kj::MILLISECONDS;
constexpr auto kProbeInterval = 500 * kj::MILLISECONDS;
constexpr Duration kMaxProbeAge = std::chrono::seconds(2);

void
WriteReply(wire::Reply::Builder aReply, const GroupResult& aResult)
{
  if (aResult) {
    aReply.setResult(ToData(*aResult));
  } else if (aResult.error().fault_ == GroupFault::NotLeader) {
    aReply.setNotLeader(ToText(aResult.error().detail_));
  } else {
    aReply.setUnavailable(ToText(aResult.error().detail_));
  }
}

GroupName
ToGroupName(wire::Group aGroup)
{
  return aGroup == wire::Group::LEDGER ? GroupName::Ledger
                                       : GroupName::Configuration;
}

} // namespace

struct ControlServer::State
{
  ControlLoop& loop_;
  Clock clock_;
  const ConfigurationStore& store_;
  EntryDirectory& entries_;
  ControlHooks hooks_;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
  kj::Own<capnp::TwoPartyServer> server_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  kj::Maybe<kj::Promise<void>> listening_;
  kj::Maybe<kj::Promise<void>> probing_;
  /// The newest revision that a leader confirmed, and when it was queried.
  std::pair<std::uint64_t, TimePoint> confirmed_{ 0, TimePoint::min() };
  /// The latest time at which this member is known to have had all committed
  /// changes.
  TimePoint currentAt_ = TimePoint::min();

  bool IsCurrent() const
  {
    return currentAt_ != TimePoint::min() &&
           clock_.Now() - currentAt_ < kMaxProbeAge;
  }

  /// Queries the leader for the newest revision; it answers once a quorum has
  /// confirmed its leadership.
  void Probe()
  {
    TimePoint askedAt = clock_.Now();
    hooks_.query_(
      GroupName::Configuration,
      EncodeQueryRevision(),
      [this, askedAt](const GroupResult& aResult) {
        if (aResult) {
          confirmed_ = { DecodeRecords(*aResult).revision_, askedAt };
          UpdateCurrentAt();
        }
      });
  }

  /// Advances currentAt_ to the time of the last probe if the store has reached
  /// the revision that was the newest then.
  void UpdateCurrentAt()
  {
    if (store_.Revision() >= confirmed_.first) {
      currentAt_ = std::max(currentAt_, confirmed_.second);
    }
  }

  kj::Promise<void> ProbeForever()
  {
    Probe();
    return loop_.Io()
      .provider->getTimer()
      .afterDelay(kProbeInterval)
      .then([this] { return ProbeForever(); });
  }

  /// Resolves when the revision may have increased.
  kj::Promise<void> NextRevision()
  {
    auto pair = kj::newPromiseAndFulfiller<void>();
    waiting_.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }
};

namespace {

using Call = std::function<void(GroupName, BytesView, GroupCallback)>;

/// Adapts a call with a callback to a promise.
kj::Promise<GroupResult>
CallAsPromise(const Call& aCall, GroupName aGroup, BytesView aBytes)
{
  auto pair = kj::newPromiseAndFulfiller<GroupResult>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<GroupResult>>>(
    kj::mv(pair.fulfiller));
  aCall(aGroup, aBytes, [fulfiller](GroupResult aResult) {
    (*fulfiller)->fulfill(kj::mv(aResult));
  });
  return kj::mv(pair.promise);
}

class ControlCapability final : public wire::Control::Server
{
public:
  using State = ControlServer;

  ControlCapability(kj::Timer& aTimer,
                    Clock aClock,
                    const ConfigurationStore& aStore,
                    EntryDirectory& aEntries,
                    const ControlHooks& aHooks,
                    std::function<bool()> aIsCurrent,
                    std::function<kj::Promise<void>()> aNextRevision)
    : timer_(aTimer)
    , clock_(std::move(aClock))
    , store_(aStore)
    , entries_(aEntries)
    , hooks_(aHooks)
    , isCurrent_(std::move(aIsCurrent))
    , nextRevision_(std::move(aNextRevision))
  {
  }

protected:
  kj::Promise<void> propose(ProposeContext aContext) override
  {
    auto params = aContext.getParams();
    Bytes command = ToBytes(params.getCommand());
    return CallAsPromise(
             hooks_.propose_, ToGroupName(params.getGroup()), command)
      .then([aContext](GroupResult aResult) mutable {
        WriteReply(aContext.getResults().initReply(), aResult);
      });
  }

  kj::Promise<void> query(QueryContext aContext) override
  {
    auto params = aContext.getParams();
    Bytes command = ToBytes(params.getQuery());
    return CallAsPromise(hooks_.query_, ToGroupName(params.getGroup()), command)
      .then([aContext](GroupResult aResult) mutable {
        WriteReply(aContext.getResults().initReply(), aResult);
      });
  }

  kj::Promise<void> watch(WatchContext aContext) override
  {
    auto params = aContext.getParams();
    entries_.Observe(ReadWire(params.getSelf()), clock_.Now());
    WatchedState seen{ params.getAfterRevision(), params.getEntriesVersion() };
    if (!isCurrent_() || store_.Revision() > seen.revision_) {
      WriteUpdate(aContext, seen);
      return kj::READY_NOW;
    }
    return nextRevision_()
      .exclusiveJoin(timer_.afterDelay(kMaxWatchWait))
      .then([this, aContext, seen]() mutable { WriteUpdate(aContext, seen); });
  }

  kj::Promise<void> announce(AnnounceContext aContext) override
  {
    entries_.Observe(ReadWire(aContext.getParams().getSelf()), clock_.Now());
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext /*aContext*/) override
  {
    return kj::READY_NOW;
  }

private:
  /// The versions that the watching entry already has.
  struct WatchedState
  {
    std::uint64_t revision_;
    std::uint64_t entriesVersion_;
  };

  void WriteUpdate(WatchContext aContext, WatchedState aSeen)
  {
    auto update = aContext.getResults().initUpdate();
    if (!isCurrent_()) {
      update.setUnavailable("this member can't reach a quorum");
      return;
    }
    update.setRevision(store_.Revision());
    if (store_.Revision() > aSeen.revision_) {
      WriteRecords(update, aSeen.revision_);
    }
    std::uint64_t version = entries_.Version(clock_.Now());
    update.setEntriesVersion(version);
    if (version != aSeen.entriesVersion_) {
      WriteEntries(update);
    }
  }

  void WriteRecords(wire::ConfigurationUpdate::Builder aTo,
                    std::uint64_t aAfter)
  {
    bool isDelta = store_.HasDeltaFrom(aAfter);
    aTo.setIsSnapshot(!isDelta);
    auto changed = store_.ChangedAfter(isDelta ? aAfter : 0);
    auto records = aTo.initRecords(changed.size());
    for (unsigned i = 0; i < changed.size(); ++i) {
      records[i].setKey(ToText(changed[i].key_));
      records[i].setRevision(changed[i].revision_);
      records[i].setDeleted(changed[i].isDeleted_);
      records[i].setBody(ToText(changed[i].body_));
    }
  }

  void WriteEntries(wire::ConfigurationUpdate::Builder aTo)
  {
    auto present = entries_.Present(clock_.Now());
    auto entries = aTo.initEntries(present.size());
    for (unsigned i = 0; i < present.size(); ++i) {
      WriteWire(entries[i], present[i]);
    }
  }

  kj::Timer& timer_;
  Clock clock_;
  const ConfigurationStore& store_;
  EntryDirectory& entries_;
  const ControlHooks& hooks_;
  std::function<bool()> isCurrent_;
  std::function<kj::Promise<void>()> nextRevision_;
};

} // namespace

ControlServer::ControlServer(ControlLoop& aLoop,
                             Clock aClock,
                             const ConfigurationStore& aStore,
                             EntryDirectory& aEntries,
                             ControlHooks aHooks)
  : state_(new State{ aLoop,
                      std::move(aClock),
                      aStore,
                      aEntries,
                      std::move(aHooks),
                      {},
                      {},
                      {},
                      {},
                      {} })
{
}

ControlServer::~ControlServer() = default;

Address
ControlServer::Listen(const Address& aAddress)
{
  auto& io = state_->loop_.Io();
  State* state = state_.get();
  state->server_ = kj::heap<capnp::TwoPartyServer>(kj::heap<ControlCapability>(
    io.provider->getTimer(),
    state->clock_,
    state->store_,
    state->entries_,
    state->hooks_,
    [state] { return state->IsCurrent(); },
    [state] { return state->NextRevision(); }));
  state->receiver_ = ListenForRpc(io, aAddress);
  state->listening_ =
    state->server_->listen(*state->receiver_).eagerlyEvaluate(nullptr);
  return { aAddress.host_,
           static_cast<std::uint16_t>(state->receiver_->getPort()) };
}

void
ControlServer::Start()
{
  state_->probing_ = state_->ProbeForever().eagerlyEvaluate(nullptr);
}

void
ControlServer::NotifyRevision()
{
  state_->UpdateCurrentAt();
  auto waiting = kj::mv(state_->waiting_);
  state_->waiting_.clear();
  for (auto& fulfiller : waiting) {
    fulfiller->fulfill();
  }
}

} // namespace tanagerstall
