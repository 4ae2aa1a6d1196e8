#include "tanagerstall/request/tanagerstall_member_api.hpp"

#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

json::object
ToJson(const RepairStatus& aStatus)
{
  json::array members;
  for (const auto& progress : aStatus.members_) {
    const Member& member = progress.member_;
    members.push_back(
      { { "name", member.name_ },
        { "incarnation", ToHex(member.key_) },
        { "member_address", member.memberAddress_ },
        { "control_address", member.controlAddress_ },
        { "voter", member.isVoter_ },
        { "leader", member.key_ == aStatus.leader_ },
        { "reachable", progress.isResponsive_ },
        { "entries_behind",
          aStatus.commit_ - std::min(aStatus.commit_, progress.match_) } });
  }
  return {
    { "done", aStatus.IsDone() },  { "survives_loss", aStatus.survivesLoss_ },
    { "voters", aStatus.voters_ }, { "committed", aStatus.commit_ },
    { "detail", aStatus.detail_ }, { "members", members }
  };
}

/// Combines both groups' statuses. `done` and `survives_loss` hold only if they
/// hold for both groups.
HttpResponse
StatusResponse(const std::vector<RepairStatus>& aStatuses)
{
  bool isDone = true;
  bool survivesLoss = true;
  std::string detail;
  for (const auto& status : aStatuses) {
    isDone &= status.IsDone();
    survivesLoss &= status.survivesLoss_;
    detail = detail.empty() ? status.detail_ : detail;
  }
  json::object body{ { "done", isDone },
                     { "survives_loss", survivesLoss },
                     { "detail", detail },
                     { "configuration", ToJson(aStatuses[0]) },
                     { "ledger", ToJson(aStatuses[1]) } };
  return JsonResponse(200, json::serialize(body));
}

HttpResponse
Refuse(int aStatus, const std::string& aCode, const std::string& aMessage)
{
  return RefusalResponse(aStatus, Outcome::NotRun, aCode, aMessage);
}

std::string
TextField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : "";
}

/// Whether a different member already has the new member's name.
bool
IsNameTaken(const std::vector<RepairStatus>& aStatuses, const Member& aNew)
{
  for (const auto& status : aStatuses) {
    for (const auto& progress : status.members_) {
      if (progress.member_.name_ == aNew.name_ &&
          progress.member_.key_ != aNew.key_) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

MemberApi::MemberApi(MemberApiHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

std::optional<HttpResponse>
MemberApi::Handle(HttpExchange& aExchange) const
{
  const HttpRequest& request = aExchange.Request();
  if (PathOf(request) != "/v1/members") {
    return std::nullopt;
  }
  if (request.method_ == "GET") {
    return List(aExchange.GetFiber());
  }
  if (request.method_ == "POST") {
    return Repair(aExchange);
  }
  return std::nullopt;
}

auto
MemberApi::Advance(Fiber& aFiber, const RepairGoal& aGoal) const
  -> tl::expected<Statuses, GroupError>
{
  Statuses statuses;
  for (GroupName group : { GroupName::Configuration, GroupName::Ledger }) {
    auto status = aFiber.Await<MemberApiHooks::Status>(
      [&](std::function<void(MemberApiHooks::Status)> aDone) {
        hooks_.advance_(group, aGoal, std::move(aDone));
      });
    if (!status) {
      return tl::make_unexpected(status.error());
    }
    statuses.push_back(*status);
  }
  return statuses;
}

HttpResponse
MemberApi::List(Fiber& aFiber) const
{
  auto statuses = Advance(aFiber, {});
  return statuses ? StatusResponse(*statuses)
                  : ControlUnavailableResponse(statuses.error());
}

tl::expected<Member, HttpResponse>
MemberApi::FindNewMember(Fiber& aFiber,
                         const std::string& aName,
                         const std::string& aAddress) const
{
  if (!ParseAddress(aAddress)) {
    return tl::make_unexpected(
      Refuse(422, "bad_address", "address is not IP:port"));
  }
  auto found = aFiber.Await<MemberApiHooks::Identity>(
    [&](std::function<void(MemberApiHooks::Identity)> aDone) {
      hooks_.identify_(aAddress, std::move(aDone));
    });
  if (!found) {
    return tl::make_unexpected(
      Refuse(503, "member_unreachable", found.error()));
  }
  if (found->member_.name_ != aName) {
    return tl::make_unexpected(Refuse(
      409, "other_member", "at this address is " + found->member_.name_));
  }
  auto self = aFiber.Await<MemberIdentity>(hooks_.self_);
  if (!found->cluster_.empty() && found->cluster_ != self.cluster_) {
    return tl::make_unexpected(
      Refuse(409, "other_cluster", "the member belongs to another cluster"));
  }
  return found->member_;
}

HttpResponse
MemberApi::Repair(HttpExchange& aExchange) const
{
  Fiber& fiber = aExchange.GetFiber();
  json::error_code error;
  json::value body = json::parse(aExchange.Request().body_.Text(), error);
  if (error || !body.is_object()) {
    return Refuse(422, "bad_request", "a JSON object is expected");
  }
  std::string action = TextField(body.get_object(), "action");
  std::string name = TextField(body.get_object(), "name");
  bool isAdd = action == "add" || action == "replace";
  if (name.empty() || (!isAdd && action != "remove")) {
    return Refuse(422, "bad_request", "action and name are expected");
  }
  RepairGoal goal;
  if (isAdd) {
    auto member =
      FindNewMember(fiber, name, TextField(body.get_object(), "address"));
    if (!member) {
      return member.error();
    }
    goal.add_ = *member;
  }
  if (action != "add") {
    goal.removeName_ = name;
  } else {
    auto present = Advance(fiber, {});
    if (present && IsNameTaken(*present, goal.add_)) {
      return Refuse(
        409, "name_taken", "a member of this name exists; use replace");
    }
  }
  auto statuses = Advance(fiber, goal);
  return statuses ? StatusResponse(*statuses)
                  : ControlUnavailableResponse(statuses.error());
}

} // namespace tanagerstall
