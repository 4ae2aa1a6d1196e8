#ifndef TANAGERSTALL_TRAFFIC_PLAN_HPP_INCLUDED
#define TANAGERSTALL_TRAFFIC_PLAN_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_declaration.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace tanagerstall {

using Milliseconds = std::chrono::milliseconds;

/// How often the requests of a route may run.
enum class RequestKind
{
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// A response of server-sent events; runs at most once unless the route is
  /// resumable.
  Stream
};

struct WeightedService
{
  std::string service_;
  std::uint32_t weight_ = 0;
};

/// Maps the requests of a host and path prefix to services.
struct Route
{
  std::string name_;
  /// As the operator wrote it.
  std::string host_;
  /// Begins and ends with a slash.
  std::string pathPrefix_;
  RequestKind kind_ = RequestKind::NonIdempotent;
  /// The maximum time that a caller waits for a response.
  Milliseconds timeout_{ 0 };
  /// The target time to a complete response, or to a stream's first event.
  Milliseconds targetLatency_{ 0 };
  /// The target for the longest gap between events of a stream.
  Milliseconds targetGap_{ 0 };
  /// 0 is the highest priority.
  std::uint32_t priority_ = 0;
  std::vector<WeightedService> services_;
  /// The maximum number of replicas on which a request runs.
  std::uint32_t maxAttempts_ = 1;
  /// Whether requests are accepted without an organisation's key.
  bool isAnonymous_ = false;
  /// Whether an interrupted stream can be resumed at another replica.
  bool isResumable_ = false;

  /// Returns whether it is safe to retry a request that may have run: it is
  /// idempotent or a resumable stream.
  bool IsIdempotent() const
  {
    return kind_ == RequestKind::Idempotent ||
           (kind_ == RequestKind::Stream && isResumable_);
  }
};

/// The capacity of a model engine.
struct EngineCapacity
{
  /// Requests that run concurrently.
  std::uint32_t slots_ = 0;
  /// Tokens that the key-value cache holds.
  std::uint64_t memoryTokens_ = 0;
};

/// The minimum and maximum number of replicas in each failure domain, and what
/// they cost.
struct ScalingBounds
{
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  Milliseconds bootTime_{ 0 };
  /// The price of a reclaimable replica as a fraction of the regular price; 0
  /// if reclaimable replicas are not available.
  double reclaimablePrice_ = 0.0;
  /// The price of a replica per second, by failure domain.
  std::map<std::string, double> domainPrices_;
};

/// A service of the plan and how its replicas are probed and scaled.
struct PlanService
{
  std::string name_;
  std::string healthPath_;
  std::uint32_t maxConnections_ = 0;
  std::optional<EngineCapacity> engine_;
  std::optional<ScalingBounds> scaling_;
};

/// An organisation of the plan with its keys and rate limit.
struct PlanOrganisation
{
  std::string name_;
  /// SHA-256 of each key, as lower-case hexadecimal.
  std::vector<std::string> keyHashes_;
  /// Overrides the priority of the route.
  std::optional<std::uint32_t> priority_;
  /// Whether rate and burst are in tokens rather than in requests.
  bool isLimitedByTokens_ = false;
  /// The cost in tokens of a request whose token count is unknown.
  std::uint64_t defaultTokenCost_ = 0;
  /// The rate limit over all entries; 0 means no limit.
  double ratePerSecond_ = 0.0;
  double burst_ = 0.0;
};

/// Limits on the requests of callers.
struct CallerLimits
{
  std::uint32_t maxHeadBytes_ = 16384;
  std::uint64_t maxBodyBytes_ = 4194304;
  Milliseconds headTimeout_{ 3000 };
  Milliseconds idleTimeout_{ 15000 };
};

/// Why a plan is invalid, as a message for the operator.
struct PlanError
{
  std::string message_;
};

/// The routing configuration decoded from a declaration: routes, services and
/// organisations. Immutable once indexed.
struct TrafficPlan
{
  /// The number of the declaration, chosen by the operator.
  std::uint64_t number_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, PlanService, std::less<>> services_;
  /// Absent if requests need no key. If it is empty, no key is valid.
  std::optional<std::vector<PlanOrganisation>> organisations_;
  CallerLimits limits_;

  /// Validates the plan and builds the indexes that the lookups below use.
  tl::expected<void, PlanError> ValidateAndIndex();

  /// Returns the route of a normalized host with the longest prefix that
  /// matches the path, or nullptr.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// Returns the organisation that owns a key, or nullptr. Nobody owns the
  /// empty key, which stands for a request without one.
  const PlanOrganisation* FindOrganisation(std::string_view aKey) const;

private:
  tl::expected<void, PlanError> CheckRoute(const Route& aRoute) const;
  tl::expected<void, PlanError> IndexRoutes();
  tl::expected<void, PlanError> IndexKeys();

  /// Indexes of routes by normalized host, sorted by decreasing prefix length.
  std::map<std::string, std::vector<std::size_t>, std::less<>> byHost_;
  /// Indexes of organisations by the hash of a key.
  std::unordered_map<std::string, std::size_t> byKeyHash_;
};

/// The number of the plan's declaration; nullopt for nullptr.
inline DeclarationNumber
NumberOf(const TrafficPlan* aPlan)
{
  return aPlan == nullptr ? std::nullopt : DeclarationNumber(aPlan->number_);
}

/// Decodes and validates the operator's document.
using PlanDecoder =
  std::function<tl::expected<TrafficPlan, PlanError>(std::string_view)>;

} // namespace tanagerstall

#endif
