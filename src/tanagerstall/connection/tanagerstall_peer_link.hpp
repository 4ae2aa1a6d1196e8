#ifndef TANAGERSTALL_PEER_LINK_HPP_INCLUDED
#define TANAGERSTALL_PEER_LINK_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerstall {

/// Describes why a pull failed.
struct PeerError
{
  std::string message_;
};

/// RPC connections between entries. Used on the control thread only. If a pull
/// fails or times out, its connection is closed; the next pull opens a new one.
class PeerLink
{
public:
  using PullDone = std::function<void(tl::expected<PresenceReply, PeerError>)>;

  struct Hooks
  {
    /// Builds the reply to a peer's pull.
    std::function<PresenceReply(const PresencePull&)> answer_;
    /// Called with the size in bytes of each message.
    std::function<void(std::size_t)> onSent_;
    std::function<void(std::size_t)> onReceived_;
  };

  PeerLink(ControlLoop& aLoop, Hooks aHooks);
  ~PeerLink();

  /// Starts to listen and returns the bound address; port 0 picks a free port.
  /// Throws kj::Exception if the address can't be used.
  Address Listen(const Address& aAddress);
  /// Pulls from a peer. `aDone` is called exactly once, unless this object is
  /// destroyed before.
  void Pull(const Address& aPeer, const PresencePull& aPull, PullDone aDone);
  /// Closes all connections except those to these addresses.
  void KeepConnections(const std::vector<Address>& aPeers);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
