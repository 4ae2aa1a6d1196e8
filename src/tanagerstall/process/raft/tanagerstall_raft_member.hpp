#ifndef TANAGERSTALL_RAFT_MEMBER_HPP_INCLUDED
#define TANAGERSTALL_RAFT_MEMBER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_member_link.hpp"
#include "tanagerstall/process/raft/tanagerstall_member_folder.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_repair.hpp"

namespace tanagerstall {

/// This process as a member of a cluster: runs the groups with their storage
/// and connections to the other members on the control thread. A DiskError
/// after the start ends the process.
class RaftMember
{
public:
  using StatusCallback =
    std::function<void(tl::expected<RepairStatus, GroupError>)>;

  /// Opens the data folder. Throws DiskError if it can't be used.
  RaftMember(ControlLoop& aLoop, Clock aClock, MemberSettings aSettings);
  ~RaftMember();

  /// Returns the address for entries from the previous start, to be reused.
  std::optional<Address> PreviousControlAddress() const;
  /// Listens and starts the groups; may throw DiskError. The first state
  /// machine belongs to the configuration group, the second, if any, to the
  /// ledger.
  void Start(const Address& aControlAddress,
             const std::vector<StateMachine>& aMachines);

  /// These forward a call to the group's leader and fail with NotLeader if none
  /// is found within 2.5 s.
  void Propose(GroupName aGroup, BytesView aCommand, GroupCallback aDone);
  void Query(GroupName aGroup, BytesView aQuery, GroupCallback aDone);
  void Advance(GroupName aGroup,
               const RepairGoal& aGoal,
               const StatusCallback& aDone);
  /// Requests the identity of the member at an address.
  void Identify(const std::string& aAddress,
                MemberLink::IdentityCallback aDone);

  /// Replaces the addresses that requests to join are sent to.
  void SetContacts(std::vector<Address> aContacts);

  const MemberIdentity& Identity() const;
  /// Returns a started group, whose state may be read.
  const RaftGroup& Group(GroupName aGroup) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
