#ifndef TANAGERSTALL_MEMBER_LINK_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_LINK_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_control_server.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_identity.hpp"

namespace tanagerstall {

/// What a member passes on to a group's leader.
enum class MemberCall
{
  Propose,
  Query,
  /// The bytes are a RepairGoal, the result a RepairStatus.
  Advance
};

/// What comes from another member. Whoever throws refuses it.
struct MemberHooks
{
  std::function<const MemberIdentity&()> self_;
  std::function<void(GroupName,
                     const std::string& aCluster,
                     const std::string& aSenderAddress,
                     const RaftMessage&)>
    receive_;
  /// Runs a call at this member only.
  std::function<void(MemberCall, GroupName, BytesView, GroupCallback)> call_;
};

/// Cap'n Proto RPC between the members of a cluster, on the control thread.
class MemberLink
{
public:
  using IdentityCallback =
    std::function<void(tl::expected<MemberIdentity, std::string>)>;

  MemberLink(ControlLoop& aLoop, MemberHooks aHooks);
  ~MemberLink();

  /// Listens; port 0 lets the system choose. Gives the address in use.
  Address Listen(const Address& aAddress);
  /// Sends a message; what can't be sent is dropped.
  void Send(const std::string& aAddress,
            GroupName aGroup,
            const RaftMessage& aMessage);
  /// Asks another member to run a call.
  void Call(const std::string& aAddress,
            MemberCall aCall,
            GroupName aGroup,
            Bytes aBytes,
            GroupCallback aDone);
  /// Asks who listens at an address; an error is in words.
  void Identify(const std::string& aAddress, IdentityCallback aDone);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
