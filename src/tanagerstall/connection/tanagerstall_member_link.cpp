#include "tanagerstall/connection/tanagerstall_member_link.hpp"

#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/internal/tanagerstall_rpc_connection.hpp"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_codec.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <map>

namespace tanagerstall {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr auto kConnectTimeout = 300 * kj::MILLISECONDS;
constexpr auto kDeliverTimeout = 1 * kj::SECONDS;
constexpr auto kProposeTimeout = 3 * kj::SECONDS;
/// Shorter than for proposals, since a read can be retried at another member.
constexpr auto kReadTimeout = 1 * kj::SECONDS;
/// Limit of unacknowledged messages to one member.
constexpr unsigned kMaxOutstanding = 64;

GroupName
ReadGroup(std::uint16_t aGroup)
{
  KJ_REQUIRE(aGroup <= 1, "unknown group", aGroup);
  return aGroup == 0 ? GroupName::Configuration : GroupName::Ledger;
}

std::uint16_t
WriteGroup(GroupName aGroup)
{
  return aGroup == GroupName::Configuration ? 0 : 1;
}

void
WriteReply(wire::MemberReply::Builder aReply, const GroupResult& aResult)
{
  if (aResult) {
    aReply.setResult(ToData(*aResult));
    return;
  }
  auto detail = ToText(aResult.error().detail_);
  switch (aResult.error().fault_) {
    case GroupFault::NotLeader:
      aReply.setNotLeader(detail);
      break;
    case GroupFault::Unavailable:
      aReply.setUnavailable(detail);
      break;
    case GroupFault::Malformed:
      aReply.setMalformed(detail);
      break;
  }
}

GroupResult
ReadReply(wire::MemberReply::Reader aReply)
{
  switch (aReply.which()) {
    case wire::MemberReply::RESULT:
      return ToBytes(aReply.getResult());
    case wire::MemberReply::NOT_LEADER:
      return tl::make_unexpected(
        GroupError{ GroupFault::NotLeader, ToString(aReply.getNotLeader()) });
    case wire::MemberReply::MALFORMED:
      return tl::make_unexpected(
        GroupError{ GroupFault::Malformed, ToString(aReply.getMalformed()) });
    case wire::MemberReply::UNAVAILABLE:
      break;
  }
  return tl::make_unexpected(
    GroupError{ GroupFault::Unavailable, ToString(aReply.getUnavailable()) });
}

void
RequireKnownVersion(std::uint32_t aVersion)
{
  KJ_REQUIRE(aVersion == kProtocolVersion, "unknown version", aVersion);
}

class MemberCapability final : public wire::MemberPort::Server
{
public:
  explicit MemberCapability(const MemberHooks& aHooks)
    : hooks_(aHooks)
  {
  }

protected:
  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    auto envelope = aContext.getParams().getEnvelope();
    RequireKnownVersion(envelope.getVersion());
    auto bytes = envelope.totalSize().wordCount * sizeof(capnp::word);
    KJ_REQUIRE(bytes <= kMaxMessageBytes, "the message is too large", bytes);
    auto message = ReadMessage(envelope.getMessage());
    KJ_REQUIRE(message != std::nullopt, "unknown kind of message");
    hooks_.receive_(ReadGroup(envelope.getGroup()),
                    ToString(envelope.getCluster()),
                    ToString(envelope.getSenderAddress()),
                    *message);
    return kj::READY_NOW;
  }

  kj::Promise<void> identify(IdentifyContext aContext) override
  {
    auto results = aContext.getResults();
    const MemberIdentity& self = hooks_.self_();
    results.setVersion(kProtocolVersion);
    results.setCluster(ToText(self.cluster_));
    WriteMember(results.initMember(), self.member_);
    return kj::READY_NOW;
  }

  kj::Promise<void> call(CallContext aContext) override
  {
    auto params = aContext.getParams();
    RequireKnownVersion(params.getVersion());
    KJ_REQUIRE(params.getData().size() <= kMaxMessageBytes,
               "the message is too large");
    KJ_REQUIRE(ToString(params.getCluster()) == hooks_.self_().cluster_,
               "this member belongs to another cluster");
    auto pair = kj::newPromiseAndFulfiller<GroupResult>();
    auto fulfiller =
      std::make_shared<kj::Own<kj::PromiseFulfiller<GroupResult>>>(
        kj::mv(pair.fulfiller));
    Bytes bytes = ToBytes(params.getData());
    hooks_.call_(static_cast<MemberCall>(params.getKind()),
                 ReadGroup(params.getGroup()),
                 bytes,
                 [fulfiller](GroupResult aResult) {
                   (*fulfiller)->fulfill(kj::mv(aResult));
                 });
    return pair.promise.then([aContext](GroupResult aResult) mutable {
      WriteReply(aContext.getResults().initReply(), aResult);
    });
  }

private:
  const MemberHooks& hooks_;
};

using Connection = RpcConnection<wire::MemberPort>;

using SharedConnection = std::shared_ptr<Connection>;

struct Peer
{
  SharedConnection connection_;
  kj::Maybe<kj::ForkedPromise<SharedConnection>> connecting_;
  unsigned outstanding_ = 0;
};

} // namespace

struct MemberLink::State
{
  State(ControlLoop& aLoop, MemberHooks aHooks)
    : loop_(aLoop)
    , timer_(aLoop.Io().provider->getTimer())
    , hooks_(std::move(aHooks))
    , tasks_(Severity::Warning, "member task failed")
  {
  }

  kj::Promise<SharedConnection> Connect(const std::string& aAddress)
  {
    Peer& peer = peers_[aAddress];
    if (peer.connection_) {
      return peer.connection_;
    }
    KJ_IF_MAYBE (connecting, peer.connecting_) {
      return connecting->addBranch();
    }
    auto opening = OpenRpcConnection<Connection>(loop_.Io(), aAddress);
    auto fork = timer_.timeoutAfter(kConnectTimeout, kj::mv(opening)).fork();
    auto branch = fork.addBranch();
    tasks_.Add(fork.addBranch().then(
      [this, aAddress](SharedConnection aConnection) {
        peers_[aAddress].connection_ = aConnection;
        peers_[aAddress].connecting_ = nullptr;
      },
      [this, aAddress](kj::Exception&&) {
        peers_[aAddress].connecting_ = nullptr;
      }));
    peer.connecting_ = kj::mv(fork);
    return branch;
  }

  /// Discards a connection on which a call failed or timed out, unless it has
  /// already been replaced.
  void Drop(const std::string& aAddress, const SharedConnection& aConnection)
  {
    Peer& peer = peers_[aAddress];
    if (peer.connection_ == aConnection) {
      peer.connection_.reset();
    }
  }

  kj::Promise<void> Deliver(SharedConnection aConnection,
                            std::string aAddress,
                            GroupName aGroup,
                            RaftMessage aMessage)
  {
    auto request = aConnection->capability_.deliverRequest();
    auto envelope = request.initEnvelope();
    const MemberIdentity& self = hooks_.self_();
    envelope.setVersion(kProtocolVersion);
    envelope.setCluster(ToText(self.cluster_));
    envelope.setGroup(WriteGroup(aGroup));
    envelope.setSenderAddress(ToText(self.member_.memberAddress_));
    WriteMessage(envelope.initMessage(), aMessage);
    return timer_.timeoutAfter(kDeliverTimeout, request.send())
      .then([aConnection](auto) {},
            [this, aConnection, aAddress](kj::Exception&& aError) {
              Drop(aAddress, aConnection);
              kj::throwRecoverableException(kj::mv(aError));
            });
  }

  kj::Promise<GroupResult> CallOnce(SharedConnection aConnection,
                                    std::string aAddress,
                                    MemberCall aCall,
                                    GroupName aGroup,
                                    Bytes aBytes)
  {
    auto request = aConnection->capability_.callRequest();
    request.setVersion(kProtocolVersion);
    request.setCluster(ToText(hooks_.self_().cluster_));
    request.setGroup(WriteGroup(aGroup));
    request.setKind(static_cast<wire::MemberCall>(aCall));
    request.setData(ToData(aBytes));
    auto timeout =
      aCall == MemberCall::Propose ? kProposeTimeout : kReadTimeout;
    return timer_.timeoutAfter(timeout, request.send())
      .then(
        [aConnection](auto aResponse) {
          return ReadReply(aResponse.getReply());
        },
        [this, aConnection, aAddress](kj::Exception&& aError) -> GroupResult {
          Drop(aAddress, aConnection);
          return tl::make_unexpected(GroupError{
            GroupFault::Unavailable, aError.getDescription().cStr() });
        });
  }

  ControlLoop& loop_;
  kj::Timer& timer_;
  MemberHooks hooks_;
  std::map<std::string, Peer> peers_;
  kj::Own<capnp::TwoPartyServer> server_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  LoggedTasks tasks_;
};

MemberLink::MemberLink(ControlLoop& aLoop, MemberHooks aHooks)
  : state_(std::make_unique<State>(aLoop, std::move(aHooks)))
{
}

MemberLink::~MemberLink() = default;

Address
MemberLink::Listen(const Address& aAddress)
{
  auto& io = state_->loop_.Io();
  state_->server_ =
    kj::heap<capnp::TwoPartyServer>(kj::heap<MemberCapability>(state_->hooks_));
  state_->receiver_ = ListenForRpc(io, aAddress);
  state_->tasks_.Add(state_->server_->listen(*state_->receiver_));
  return { aAddress.host_,
           static_cast<std::uint16_t>(state_->receiver_->getPort()) };
}

void
MemberLink::Send(const std::string& aAddress,
                 GroupName aGroup,
                 const RaftMessage& aMessage)
{
  State* state = state_.get();
  Peer& peer = state->peers_[aAddress];
  if (peer.outstanding_ >= kMaxOutstanding) {
    return;
  }
  ++peer.outstanding_;
  state->tasks_.Add(
    state->Connect(aAddress)
      .then([=](SharedConnection aConnection) {
        return state->Deliver(aConnection, aAddress, aGroup, aMessage);
      })
      .then([state, aAddress] { --state->peers_[aAddress].outstanding_; },
            [state, aAddress](kj::Exception&& aError) {
              --state->peers_[aAddress].outstanding_;
              LogEvent(Severity::Debug,
                       "member unreachable",
                       { { "address", aAddress },
                         { "error", aError.getDescription().cStr() } });
            }));
}

void
MemberLink::Call(const std::string& aAddress,
                 MemberCall aCall,
                 GroupName aGroup,
                 Bytes aBytes,
                 GroupCallback aDone)
{
  State* state = state_.get();
  state->tasks_.Add(
    state->Connect(aAddress)
      .then(
        [=](SharedConnection aConnection) {
          return state->CallOnce(aConnection, aAddress, aCall, aGroup, aBytes);
        },
        [](kj::Exception&&) -> kj::Promise<GroupResult> {
          // The call wasn't sent, so that it can safely be retried elsewhere.
          return GroupResult(
            tl::make_unexpected(GroupError{ GroupFault::NotLeader, "" }));
        })
      .then([aDone](GroupResult aResult) { aDone(std::move(aResult)); }));
}

void
MemberLink::Identify(const std::string& aAddress, IdentityCallback aDone)
{
  State* state = state_.get();
  auto identifying =
    state->Connect(aAddress).then([state](SharedConnection aConnection) {
      return state->timer_
        .timeoutAfter(kDeliverTimeout,
                      aConnection->capability_.identifyRequest().send())
        .then([aConnection](auto aResponse) {
          RequireKnownVersion(aResponse.getVersion());
          return MemberIdentity{ ToString(aResponse.getCluster()),
                                 ReadMember(aResponse.getMember()) };
        });
    });
  state->tasks_.Add(identifying.then(
    [aDone](MemberIdentity aIdentity) { aDone(std::move(aIdentity)); },
    [state, aAddress, aDone](kj::Exception&& aError) {
      state->peers_[aAddress].connection_.reset();
      aDone(tl::make_unexpected(std::string(aError.getDescription().cStr())));
    }));
}

} // namespace tanagerstall
