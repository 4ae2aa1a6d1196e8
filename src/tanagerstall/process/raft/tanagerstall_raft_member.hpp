#ifndef TANAGERSTALL_RAFT_MEMBER_HPP_INCLUDED
#define TANAGERSTALL_RAFT_MEMBER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_member_link.hpp"
#include "tanagerstall/process/raft/tanagerstall_member_folder.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_repair.hpp"

namespace tanagerstall {

/// This process as a member of a cluster: both groups, their storage and the
/// link to the other members, on the control thread. A DiskError after the
/// start ends the process.
class RaftMember
{
public:
  using StatusCallback =
    std::function<void(tl::expected<RepairStatus, GroupError>)>;

  /// Opens the data folder. Throws DiskError where it can't be used.
  RaftMember(ControlLoop& aLoop, Clock aClock, MemberSettings aSettings);
  ~RaftMember();

  /// The address for entries that this member had before, to be used again.
  std::optional<Address> PreviousControlAddress() const;
  /// Listens and begins. Throws DiskError. The first machine is the
  /// configuration group's; the second, if any, the ledger's.
  void Start(const Address& aControlAddress,
             const std::vector<StateMachine>& aMachines);

  /// These run at the group's leader, wherever it is, and answer NotLeader
  /// where none is found in time.
  void Propose(GroupName aGroup, BytesView aCommand, GroupCallback aDone);
  void Query(GroupName aGroup, BytesView aQuery, GroupCallback aDone);
  void Advance(GroupName aGroup,
               const RepairGoal& aGoal,
               const StatusCallback& aDone);
  /// Asks who listens at a member's address.
  void Identify(const std::string& aAddress,
                MemberLink::IdentityCallback aDone);

  /// Other places to ask from now on.
  void SetContacts(std::vector<Address> aContacts);

  const MemberIdentity& Identity() const;
  /// A started group, for its standing; not for commands.
  const RaftGroup& Group(GroupName aGroup) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
