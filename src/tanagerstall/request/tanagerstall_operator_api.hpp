#ifndef TANAGERSTALL_OPERATOR_API_HPP_INCLUDED
#define TANAGERSTALL_OPERATOR_API_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_control_server.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace tanagerstall {

/// What operators' requests need of the control process; the hooks are safe
/// to call from traffic threads.
struct OperatorHooks
{
  using GroupCall = std::function<void(GroupName, Bytes, GroupCallback)>;

  GroupCall propose_;
  GroupCall query_;
  std::function<void(std::function<void(std::vector<EntryInfo>)>)> entries_;
  /// The configuration revision that this process has applied.
  std::function<void(std::function<void(std::uint64_t)>)> revision_;
};

/// Answers the requests of one family; nothing for a path that is not its own.
using OperatorRoute = std::function<std::optional<HttpResponse>(HttpExchange&)>;

/// The HTTP interface for operators: the first route that answers decides.
class OperatorApi
{
public:
  explicit OperatorApi(std::vector<OperatorRoute> aRoutes);

  void Handle(HttpExchange& aExchange) const;

private:
  std::vector<OperatorRoute> routes_;
};

/// Calls a group from a fiber and waits for its answer.
GroupResult
CallGroup(Fiber& aFiber,
          const OperatorHooks::GroupCall& aCall,
          GroupName aGroup,
          Bytes aBytes);

/// The response to an operator when control could not answer.
HttpResponse
ControlUnavailableResponse(const GroupError& aError);

/// GET /v1/status: the entries and the revision in force at each.
OperatorRoute
MakeStatusRoute(OperatorHooks aHooks);

} // namespace tanagerstall

#endif
