#ifndef TANAGERSTALL_MEMBER_API_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_API_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/request/tanagerstall_operator_api.hpp"

namespace tanagerstall {

/// Functions of the control process that the member routes use. They can be
/// called from traffic threads.
struct MemberApiHooks
{
  using Status = tl::expected<RepairStatus, GroupError>;
  using Identity = tl::expected<MemberIdentity, std::string>;

  std::function<void(GroupName, RepairGoal, std::function<void(Status)>)>
    advance_;
  /// Looks up the member at an address.
  std::function<void(std::string, std::function<void(Identity)>)> identify_;
  /// Passes on the identity of this member.
  std::function<void(std::function<void(MemberIdentity)>)> self_;
};

/// GET /v1/members lists the members of both Raft groups. POST /v1/members with
/// an action (add, remove or replace), a name and an address performs the next
/// step of a membership change and reports whether it is done; clients repeat
/// the request until then.
class MemberApi
{
public:
  explicit MemberApi(MemberApiHooks aHooks);

  std::optional<HttpResponse> Handle(HttpExchange& aExchange) const;

private:
  using Statuses = std::vector<RepairStatus>;

  HttpResponse List(Fiber& aFiber) const;
  HttpResponse Repair(HttpExchange& aExchange) const;
  /// Performs the next step towards the goal in both groups and returns their
  /// statuses. An empty goal changes nothing.
  tl::expected<Statuses, GroupError> Advance(Fiber& aFiber,
                                             const RepairGoal& aGoal) const;
  /// Looks up the member to add. The error is the response that refuses it.
  tl::expected<Member, HttpResponse> FindNewMember(
    Fiber& aFiber,
    const std::string& aName,
    const std::string& aAddress) const;

  MemberApiHooks hooks_;
};

} // namespace tanagerstall

#endif
