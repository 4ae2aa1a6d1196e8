#ifndef TANAGERSTALL_OPERATOR_API_HPP_INCLUDED
#define TANAGERSTALL_OPERATOR_API_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_control_server.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace tanagerstall {

/// Functions of the control process that operators' requests use. They can be
/// called from traffic threads.
struct OperatorHooks
{
  using GroupCall = std::function<void(GroupName, Bytes, GroupCallback)>;

  GroupCall propose_;
  GroupCall query_;
  std::function<void(std::function<void(std::vector<EntryInfo>)>)> entries_;
  /// Passes on the configuration revision that this process has applied.
  std::function<void(std::function<void(std::uint64_t)>)> revision_;
};

/// Responds to the requests of one API; returns nothing for a request that the
/// route doesn't serve.
using OperatorRoute = std::function<std::optional<HttpResponse>(HttpExchange&)>;

/// The HTTP interface for operators. Each request is served by the first route
/// that responds to it, or with 404 if none does.
class OperatorApi
{
public:
  explicit OperatorApi(std::vector<OperatorRoute> aRoutes);

  void Handle(HttpExchange& aExchange) const;

private:
  std::vector<OperatorRoute> routes_;
};

/// Calls a Raft group from a fiber and waits for the result.
GroupResult
CallGroup(Fiber& aFiber,
          const OperatorHooks::GroupCall& aCall,
          GroupName aGroup,
          Bytes aBytes);

/// Returns the 503 response for an operation that control could not complete.
/// Its outcome is unknown.
HttpResponse
ControlUnavailableResponse(const GroupError& aError);

/// Creates the route for /v1/status, which lists the entries and the
/// configuration revision in force at each.
OperatorRoute
MakeStatusRoute(OperatorHooks aHooks);

} // namespace tanagerstall

#endif
