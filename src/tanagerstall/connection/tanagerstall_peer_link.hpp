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

/// Why a peer did not answer.
struct PeerError
{
  std::string message_;
};

/// The RPC connections between entries, on the control thread. A connection
/// on which a pull is not answered in time is closed; the next pull opens a
/// new one.
class PeerLink
{
public:
  using PullDone = std::function<void(tl::expected<PresenceReply, PeerError>)>;

  struct Hooks
  {
    std::function<PresenceReply(const PresencePull&)> answer_;
    /// Tells of the bytes of each message.
    std::function<void(std::size_t)> onSent_;
    std::function<void(std::size_t)> onReceived_;
  };

  PeerLink(ControlLoop& aLoop, Hooks aHooks);
  ~PeerLink();

  /// Listens; port 0 lets the system choose. Gives the address in use.
  Address Listen(const Address& aAddress);
  /// Pulls from a peer; `aDone` is called exactly once while this lives.
  void Pull(const Address& aPeer, const PresencePull& aPull, PullDone aDone);
  /// Closes the connections to other addresses than these.
  void KeepConnections(const std::vector<Address>& aPeers);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
