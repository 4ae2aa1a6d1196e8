#ifndef TANAGERSTALL_MEMBER_LINK_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_LINK_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_control_server.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_identity.hpp"

namespace tanagerstall {

/// The kinds of calls that a member forwards to a group's leader.
enum class MemberCall
{
  Propose,
  Query,
  /// Performs the next step towards a RepairGoal and returns a RepairStatus.
  Advance
};

/// Callbacks for requests from other members. A callback that throws makes the
/// request fail.
struct MemberHooks
{
  /// Returns this member's identity.
  std::function<const MemberIdentity&()> self_;
  std::function<void(GroupName,
                     const std::string& aCluster,
                     const std::string& aSenderAddress,
                     const RaftMessage&)>
    receive_;
  /// Runs a call at this member, without forwarding it.
  std::function<void(MemberCall, GroupName, BytesView, GroupCallback)> call_;
};

/// Cap'n Proto RPC between the members of a cluster. Used on the control thread
/// only.
class MemberLink
{
public:
  using IdentityCallback =
    std::function<void(tl::expected<MemberIdentity, std::string>)>;

  MemberLink(ControlLoop& aLoop, MemberHooks aHooks);
  ~MemberLink();

  /// Starts to listen and returns the bound address; port 0 picks a free port.
  /// Throws kj::Exception if the address can't be used.
  Address Listen(const Address& aAddress);
  /// Sends a Raft message. Drops it if the member can't be reached or if too
  /// many messages to it are unacknowledged.
  void Send(const std::string& aAddress,
            GroupName aGroup,
            const RaftMessage& aMessage);
  /// Runs a call at another member. Reports GroupFault::NotLeader if there is
  /// no connection, since nothing was sent, and Unavailable if the call fails.
  void Call(const std::string& aAddress,
            MemberCall aCall,
            GroupName aGroup,
            Bytes aBytes,
            GroupCallback aDone);
  /// Requests the identity of the member at an address; reports an error
  /// message if that fails.
  void Identify(const std::string& aAddress, IdentityCallback aDone);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
