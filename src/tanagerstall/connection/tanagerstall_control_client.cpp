#include "tanagerstall/connection/tanagerstall_control_client.hpp"

#include "tanagerstall/internal/tanagerstall_entry_wire.hpp"
#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/internal/tanagerstall_rpc_connection.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <map>

namespace tanagerstall {

namespace {

constexpr auto kCallTimeout = 3 * kj::SECONDS;
constexpr auto kConnectTimeout = 1 * kj::SECONDS;
constexpr auto kWatchTimeout = 1500 * kj::MILLISECONDS;
constexpr auto kRetryDelay = 200 * kj::MILLISECONDS;
constexpr auto kHeartbeatInterval = 1 * kj::SECONDS;
constexpr unsigned kMaxTries = 6;

/// An open connection to a control server.
struct Link : RpcConnection<wire::Control>
{
  using RpcConnection::RpcConnection;

  /// The version of the entry list last received over this connection.
  std::uint64_t entriesVersion_ = 0;
};

ControlUpdate
ReadUpdate(wire::ConfigurationUpdate::Reader aFrom)
{
  ControlUpdate update;
  update.revision_ = aFrom.getRevision();
  update.isSnapshot_ = aFrom.getIsSnapshot();
  for (auto record : aFrom.getRecords()) {
    StoredRecord stored;
    stored.key_ = ToString(record.getKey());
    stored.revision_ = record.getRevision();
    stored.isDeleted_ = record.getDeleted();
    stored.body_ = ToString(record.getBody());
    update.records_.push_back(stored);
  }
  for (auto entry : aFrom.getEntries()) {
    update.entries_.push_back(ReadWire(entry));
  }
  return update;
}

GroupResult
ReadReply(wire::Reply::Reader aReply)
{
  switch (aReply.which()) {
    case wire::Reply::RESULT:
      return ToBytes(aReply.getResult());
    case wire::Reply::NOT_LEADER:
      return tl::make_unexpected(
        GroupError{ GroupFault::NotLeader, ToString(aReply.getNotLeader()) });
    case wire::Reply::UNAVAILABLE:
      break;
  }
  return tl::make_unexpected(
    GroupError{ GroupFault::Unavailable, ToString(aReply.getUnavailable()) });
}

wire::Group
ToWire(GroupName aGroup)
{
  return aGroup == GroupName::Ledger ? wire::Group::LEDGER
                                     : wire::Group::CONFIGURATION;
}

} // namespace

struct ControlClient::State
{
  enum class CallKind
  {
    Propose,
    Query
  };

  State(ControlLoop& aLoop, std::vector<Address> aAddresses, Hooks aHooks)
    : loop_(aLoop)
    , timer_(aLoop.Io().provider->getTimer())
    , addresses_(std::move(aAddresses))
    , hooks_(std::move(aHooks))
    , tasks_(Severity::Error, "control task failed")
  {
  }

  /// Returns the open connection, or opens one to the current address.
  kj::Promise<std::shared_ptr<Link>> Connect()
  {
    if (link_ != nullptr) {
      return link_;
    }
    std::size_t number = addressNumber_;
    return Open(addresses_[number % addresses_.size()])
      .then([this, number](std::shared_ptr<Link> aLink) {
        if (link_ == nullptr && number == addressNumber_) {
          link_ = aLink;
        }
        return aLink;
      });
  }

  kj::Promise<std::shared_ptr<Link>> Open(const Address& aAddress)
  {
    return timer_.timeoutAfter(
      kConnectTimeout,
      OpenRpcConnection<Link>(loop_.Io(), aAddress.ToString()));
  }

  /// Closes the connection after a failed attempt and selects the next address,
  /// unless another failed attempt with the same number already has.
  void Drop(std::size_t aNumber)
  {
    if (aNumber == addressNumber_) {
      link_.reset();
      ++addressNumber_;
    }
  }

  kj::Promise<GroupResult> CallOnce(CallKind aKind,
                                    GroupName aGroup,
                                    const Bytes& aBytes)
  {
    return Connect().then(
      [this, aKind, aGroup, aBytes](std::shared_ptr<Link> aLink) {
        if (aKind == CallKind::Propose) {
          auto request = aLink->capability_.proposeRequest();
          request.setGroup(ToWire(aGroup));
          request.setCommand(ToData(aBytes));
          return timer_.timeoutAfter(kCallTimeout, request.send())
            .then([aLink](auto aResponse) {
              return ReadReply(aResponse.getReply());
            });
        }
        auto request = aLink->capability_.queryRequest();
        request.setGroup(ToWire(aGroup));
        request.setQuery(ToData(aBytes));
        return timer_.timeoutAfter(kCallTimeout, request.send())
          .then([aLink](auto aResponse) {
            return ReadReply(aResponse.getReply());
          });
      });
  }

  kj::Promise<GroupResult> CallUntilAnswered(CallKind aKind,
                                             GroupName aGroup,
                                             Bytes aBytes,
                                             unsigned aTriesLeft)
  {
    std::size_t number = addressNumber_;
    return CallOnce(aKind, aGroup, aBytes)
      .catch_([](kj::Exception&& aError) -> GroupResult {
        return tl::make_unexpected(GroupError{
          GroupFault::Unavailable, aError.getDescription().cStr() });
      })
      .then([=, this](GroupResult aResult) -> kj::Promise<GroupResult> {
        if (aResult || aTriesLeft == 0) {
          return aResult;
        }
        Drop(number);
        return timer_.afterDelay(kRetryDelay).then([=, this] {
          return CallUntilAnswered(aKind, aGroup, aBytes, aTriesLeft - 1);
        });
      });
  }

  void Call(CallKind aKind, GroupName aGroup, Bytes aBytes, GroupCallback aDone)
  {
    tasks_.Add(CallUntilAnswered(aKind, aGroup, std::move(aBytes), kMaxTries)
                 .then([done = std::move(aDone)](GroupResult aResult) {
                   done(std::move(aResult));
                 }));
  }

  /// Fetches all records from the leader, retrying until this succeeds.
  kj::Promise<void> FetchConfirmed()
  {
    return CallUntilAnswered(CallKind::Query,
                             GroupName::Configuration,
                             EncodeQueryAll(),
                             kMaxTries)
      .then([this](GroupResult aResult) -> kj::Promise<void> {
        if (!aResult) {
          LogEvent(Severity::Warning,
                   "no confirmed configuration",
                   { { "error", aResult.error().detail_ } });
          return timer_.afterDelay(kRetryDelay).then([this] {
            return FetchConfirmed();
          });
        }
        RecordList list = DecodeRecords(*aResult);
        ControlUpdate update;
        update.revision_ = list.revision_;
        update.isSnapshot_ = true;
        update.isConfirmed_ = true;
        update.records_ = std::move(list.records_);
        hooks_.onUpdate_(update);
        return kj::READY_NOW;
      });
  }

  kj::Promise<void> WatchOnce()
  {
    return Connect().then([this](std::shared_ptr<Link> aLink) {
      auto request = aLink->capability_.watchRequest();
      EntryInfo self = hooks_.self_();
      WriteWire(request.initSelf(), self);
      request.setAfterRevision(self.revision_);
      request.setEntriesVersion(aLink->entriesVersion_);
      return timer_.timeoutAfter(kWatchTimeout, request.send())
        .then([this, aLink, after = self.revision_](auto aResponse) {
          OnWatchUpdate(*aLink, after, aResponse.getUpdate());
        });
    });
  }

  void OnWatchUpdate(Link& aLink,
                     std::uint64_t aAfter,
                     wire::ConfigurationUpdate::Reader aUpdate)
  {
    if (aUpdate.getUnavailable().size() > 0) {
      kj::throwFatalException(
        KJ_EXCEPTION(DISCONNECTED, aUpdate.getUnavailable()));
    }
    if (aUpdate.getRevision() < aAfter) {
      kj::throwFatalException(
        KJ_EXCEPTION(DISCONNECTED, "this member is behind what is in force"));
    }
    ControlUpdate update = ReadUpdate(aUpdate);
    update.after_ = aAfter;
    update.hasEntries_ = aUpdate.getEntriesVersion() != aLink.entriesVersion_;
    aLink.entriesVersion_ = aUpdate.getEntriesVersion();
    hooks_.onUpdate_(update);
  }

  /// Resolves when Refresh() is called.
  kj::Promise<void> WaitForRefresh()
  {
    auto pair = kj::newPromiseAndFulfiller<void>();
    refresh_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  kj::Promise<void> WatchForever()
  {
    std::size_t number = addressNumber_;
    return WatchOnce()
      .exclusiveJoin(WaitForRefresh())
      .catch_([this, number](kj::Exception&& aError) {
        LogEvent(Severity::Warning,
                 "control unreachable",
                 { { "error", aError.getDescription().cStr() } });
        Drop(number);
        return timer_.afterDelay(kRetryDelay);
      })
      .then([this] { return WatchForever(); });
  }

  /// Returns the heartbeat connection to an address, opening it if needed.
  kj::Promise<std::shared_ptr<Link>> ConnectForHeartbeats(std::size_t aIndex)
  {
    if (auto link = heartbeatLinks_[aIndex]) {
      return link;
    }
    return Open(addresses_[aIndex])
      .then([this, aIndex](std::shared_ptr<Link> aLink) {
        heartbeatLinks_[aIndex] = aLink;
        return aLink;
      });
  }

  /// Sends a heartbeat to the member at an address. The watched member needs
  /// none: each watch request carries the same data.
  kj::Promise<void> AnnounceOnce(std::size_t aIndex)
  {
    if (aIndex == addressNumber_ % addresses_.size()) {
      return kj::READY_NOW;
    }
    return ConnectForHeartbeats(aIndex).then(
      [this](std::shared_ptr<Link> aLink) {
        auto request = aLink->capability_.announceRequest();
        WriteWire(request.initSelf(), hooks_.self_());
        return timer_.timeoutAfter(kWatchTimeout, request.send())
          .then([aLink](auto /*aResponse*/) {});
      });
  }

  kj::Promise<void> AnnounceForever(std::size_t aIndex)
  {
    return AnnounceOnce(aIndex)
      .catch_([this, aIndex](kj::Exception&& /*aError*/) {
        heartbeatLinks_[aIndex].reset();
      })
      .then([this] { return timer_.afterDelay(kHeartbeatInterval); })
      .then([this, aIndex] { return AnnounceForever(aIndex); });
  }

  ControlLoop& loop_;
  kj::Timer& timer_;
  std::vector<Address> addresses_;
  /// Counts address changes; modulo the number of addresses, it is the index of
  /// the current one.
  std::size_t addressNumber_ = 0;
  Hooks hooks_;
  std::shared_ptr<Link> link_;
  /// Connections to the members that are not watched, by index of the address.
  std::map<std::size_t, std::shared_ptr<Link>> heartbeatLinks_;
  kj::Own<kj::PromiseFulfiller<void>> refresh_;
  LoggedTasks tasks_;
};

ControlClient::ControlClient(ControlLoop& aLoop,
                             std::vector<Address> aAddresses,
                             Hooks aHooks)
  : state_(
      std::make_unique<State>(aLoop, std::move(aAddresses), std::move(aHooks)))
{
}

ControlClient::~ControlClient() = default;

void
ControlClient::Start()
{
  State* state = state_.get();
  state->tasks_.Add(
    state->FetchConfirmed().then([state] { return state->WatchForever(); }));
  for (std::size_t i = 0; i < state->addresses_.size(); ++i) {
    state->tasks_.Add(state->AnnounceForever(i));
  }
}

void
ControlClient::Refresh()
{
  if (state_->refresh_) {
    state_->refresh_->fulfill();
  }
}

void
ControlClient::Propose(GroupName aGroup, Bytes aCommand, GroupCallback aDone)
{
  state_->Call(
    State::CallKind::Propose, aGroup, std::move(aCommand), std::move(aDone));
}

void
ControlClient::Query(GroupName aGroup, Bytes aQuery, GroupCallback aDone)
{
  state_->Call(
    State::CallKind::Query, aGroup, std::move(aQuery), std::move(aDone));
}

} // namespace tanagerstall
