#ifndef TANAGERSTALL_MEMBER_API_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_API_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/request/tanagerstall_operator_api.hpp"

namespace tanagerstall {

/// What the member routes need; safe to call from traffic threads.
struct MemberApiHooks
{
  using Status = tl::expected<RepairStatus, GroupError>;
  using Identity = tl::expected<MemberIdentity, std::string>;

  std::function<void(GroupName, RepairGoal, std::function<void(Status)>)>
    advance_;
  std::function<void(std::string, std::function<void(Identity)>)> identify_;
  std::function<void(std::function<void(MemberIdentity)>)> self_;
};

/// GET /v1/members lists the members of both groups. POST /v1/members with an
/// action (add, remove, replace), a name and an address takes the next step
/// of a repair and says whether it is done; it is sent again until then.
class MemberApi
{
public:
  explicit MemberApi(MemberApiHooks aHooks);

  std::optional<HttpResponse> Handle(HttpExchange& aExchange) const;

private:
  using Statuses = std::vector<RepairStatus>;

  HttpResponse List(Fiber& aFiber) const;
  HttpResponse Repair(HttpExchange& aExchange) const;
  tl::expected<Statuses, GroupError> Advance(Fiber& aFiber,
                                             const RepairGoal& aGoal) const;
  /// Who is to be added; a response where that is refused.
  tl::expected<Member, HttpResponse> FindNewMember(
    Fiber& aFiber,
    const std::string& aName,
    const std::string& aAddress) const;

  MemberApiHooks hooks_;
};

} // namespace tanagerstall

#endif
