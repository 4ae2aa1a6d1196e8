#include "tanagerstall/request/tanagerstall_operator_api.hpp"

#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

OperatorApi::OperatorApi(std::vector<OperatorRoute> aRoutes)
  : routes_(std::move(aRoutes))
{
}

void
OperatorApi::Handle(HttpExchange& aExchange) const
{
  for (const auto& route : routes_) {
    if (auto response = route(aExchange)) {
      aExchange.Respond(*response);
      return;
    }
  }
  aExchange.Respond(RefusalResponse(
    404, Outcome::NotRun, "unknown_path", "there is nothing at this path"));
}

GroupResult
CallGroup(Fiber& aFiber,
          const OperatorHooks::GroupCall& aCall,
          GroupName aGroup,
          Bytes aBytes)
{
  return aFiber.Await<GroupResult>([&](std::function<void(GroupResult)> aDone) {
    aCall(aGroup, std::move(aBytes), std::move(aDone));
  });
}

HttpResponse
ControlUnavailableResponse(const GroupError& aError)
{
  return RefusalResponse(503,
                         Outcome::Unknown,
                         "control_unavailable",
                         aError.detail_,
                         std::chrono::seconds(1));
}

OperatorRoute
MakeStatusRoute(OperatorHooks aHooks)
{
  return [hooks = std::move(aHooks)](
           HttpExchange& aExchange) -> std::optional<HttpResponse> {
    if (PathOf(aExchange.Request()) != "/v1/status") {
      return std::nullopt;
    }
    auto present =
      aExchange.GetFiber().Await<std::vector<EntryInfo>>(hooks.entries_);
    json::array entries;
    for (const auto& entry : present) {
      entries.push_back({ { "id", entry.id_ },
                          { "address", entry.callerAddress_ },
                          { "failure_domain", entry.failureDomain_ },
                          { "revision", entry.revision_ },
                          { "draining", entry.isDraining_ } });
    }
    auto revision = aExchange.GetFiber().Await<std::uint64_t>(hooks.revision_);
    json::object response{ { "revision", revision }, { "entries", entries } };
    return JsonResponse(200, json::serialize(response));
  };
}

} // namespace tanagerstall
