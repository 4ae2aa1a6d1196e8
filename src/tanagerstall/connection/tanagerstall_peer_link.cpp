#include "tanagerstall/connection/tanagerstall_peer_link.hpp"

#include "tanagerstall/connection/tanagerstall_presence_codec.hpp"
#include "tanagerstall/internal/control.capnp.h"
#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/internal/tanagerstall_rpc_connection.hpp"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tanagerstall {

namespace {

constexpr auto kPullTimeout = 1 * kj::SECONDS;
constexpr int kKeepAliveSeconds = 10;
constexpr unsigned kUserTimeoutMs = 10'000;

std::size_t
BytesOf(capnp::MessageSize aSize)
{
  return aSize.wordCount * sizeof(capnp::word);
}

/// Sets socket options with which the system closes a connection whose peer no
/// longer responds.
void
EnableDeadPeerDetection(kj::AsyncIoStream& aStream)
{
  int on = 1;
  aStream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  int seconds = kKeepAliveSeconds;
  aStream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  unsigned timeout = kUserTimeoutMs;
  aStream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

class PeerCapability final : public wire::Peer::Server
{
public:
  explicit PeerCapability(const PeerLink::Hooks& aHooks)
    : hooks_(aHooks)
  {
  }

protected:
  kj::Promise<void> pull(PullContext aContext) override
  {
    auto pull = aContext.getParams().getPull();
    hooks_.onReceived_(BytesOf(pull.totalSize()));
    auto results = aContext.getResults();
    WriteReply(results.initReply(), hooks_.answer_(ReadPull(pull)));
    hooks_.onSent_(BytesOf(results.asReader().totalSize()));
    return kj::READY_NOW;
  }

private:
  const PeerLink::Hooks& hooks_;
};

using Connection = RpcConnection<wire::Peer>;

using ConnectionPointer = std::shared_ptr<Connection>;

} // namespace

struct PeerLink::State
{
  State(ControlLoop& aLoop, Hooks aHooks)
    : loop_(aLoop)
    , hooks_(std::move(aHooks))
    , tasks_(Severity::Warning, "peer task failed")
  {
  }

  kj::Promise<ConnectionPointer> Connect(const std::string& aPeer)
  {
    if (auto it = connections_.find(aPeer); it != connections_.end()) {
      return it->second;
    }
    return OpenRpcConnection<Connection>(loop_.Io(), aPeer)
      .then([this, aPeer](ConnectionPointer aConnection) {
        connections_[aPeer] = aConnection;
        return aConnection;
      });
  }

  kj::Promise<PresenceReply> Call(const ConnectionPointer& aConnection,
                                  const PresencePull& aPull)
  {
    auto request = aConnection->capability_.pullRequest();
    WritePull(request.initPull(), aPull);
    hooks_.onSent_(BytesOf(request.asReader().totalSize()));
    return request.send().then([this, aConnection](auto aResponse) {
      hooks_.onReceived_(BytesOf(aResponse.totalSize()));
      return ReadReply(aResponse.getReply());
    });
  }

  kj::Promise<void> Pull(const std::string& aPeer,
                         const PresencePull& aPull,
                         const PullDone& aDone)
  {
    auto calling =
      Connect(aPeer).then([this, aPull](ConnectionPointer aConnection) {
        return Call(aConnection, aPull);
      });
    return loop_.Io()
      .provider->getTimer()
      .timeoutAfter(kPullTimeout, kj::mv(calling))
      .then([aDone](PresenceReply aReply) { aDone(std::move(aReply)); },
            [this, aPeer, aDone](kj::Exception&& aError) {
              connections_.erase(aPeer);
              aDone(tl::make_unexpected(
                PeerError{ aError.getDescription().cStr() }));
            });
  }

  kj::Promise<void> AcceptForever()
  {
    return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream> aStream) {
      EnableDeadPeerDetection(*aStream);
      server_->accept(kj::mv(aStream));
      return AcceptForever();
    });
  }

  ControlLoop& loop_;
  Hooks hooks_;
  std::map<std::string, ConnectionPointer> connections_;
  kj::Own<capnp::TwoPartyServer> server_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  LoggedTasks tasks_;
};

PeerLink::PeerLink(ControlLoop& aLoop, Hooks aHooks)
  : state_(std::make_unique<State>(aLoop, std::move(aHooks)))
{
}

PeerLink::~PeerLink() = default;

Address
PeerLink::Listen(const Address& aAddress)
{
  auto& io = state_->loop_.Io();
  state_->server_ =
    kj::heap<capnp::TwoPartyServer>(kj::heap<PeerCapability>(state_->hooks_));
  state_->receiver_ = ListenForRpc(io, aAddress);
  state_->tasks_.Add(state_->AcceptForever());
  return { aAddress.host_,
           static_cast<std::uint16_t>(state_->receiver_->getPort()) };
}

void
PeerLink::Pull(const Address& aPeer, const PresencePull& aPull, PullDone aDone)
{
  state_->tasks_.Add(state_->Pull(aPeer.ToString(), aPull, aDone));
}

void
PeerLink::KeepConnections(const std::vector<Address>& aPeers)
{
  std::erase_if(state_->connections_, [&](const auto& aItem) {
    return std::none_of(
      aPeers.begin(), aPeers.end(), [&](const Address& aPeer) {
        return aPeer.ToString() == aItem.first;
      });
  });
}

} // namespace tanagerstall
