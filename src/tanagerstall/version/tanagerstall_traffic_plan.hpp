#ifndef TANAGERSTALL_TRAFFIC_PLAN_HPP_INCLUDED
#define TANAGERSTALL_TRAFFIC_PLAN_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

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

/// What may be repeated of a route's requests.
enum class RequestKind
{
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// A stream of events; runs at most once unless the route is resumable.
  Stream
};

struct WeightedService
{
  std::string service_;
  std::uint32_t weight_ = 0;
};

/// Which requests go to which services, and how.
struct Route
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string pathPrefix_;
  RequestKind kind_ = RequestKind::NonIdempotent;
  /// How long a caller is kept waiting at most.
  Milliseconds timeout_{ 0 };
  /// The time to a whole answer, or to a stream's first event.
  Milliseconds targetLatency_{ 0 };
  /// The longest pause between events of a stream.
  Milliseconds targetGap_{ 0 };
  /// 0 is the most urgent.
  std::uint32_t priority_ = 0;
  std::vector<WeightedService> services_;
  /// Replicas on which one request may run.
  std::uint32_t maxAttempts_ = 1;
  /// Whether requests need no organisation's key.
  bool isAnonymous_ = false;
  /// Whether a stream can go on at another replica.
  bool isResumable_ = false;

  /// Whether a request may run again after it may have run.
  bool IsIdempotent() const
  {
    return kind_ == RequestKind::Idempotent ||
           (kind_ == RequestKind::Stream && isResumable_);
  }
};

/// What a model engine can hold.
struct EngineCapacity
{
  std::uint32_t slots_ = 0;
  std::uint64_t memoryTokens_ = 0;
};

/// How many replicas may be ordered, per failure domain.
struct ScalingBounds
{
  std::uint32_t min_ = 0;
  std::uint32_t max_ = 0;
  Milliseconds bootTime_{ 0 };
  /// The price of a reclaimable replica as a part of another's; 0 where there
  /// are none.
  double reclaimablePrice_ = 0.0;
  /// Price of a replica and second by failure domain.
  std::map<std::string, double> domainPrices_;
};

struct PlanService
{
  std::string name_;
  std::string healthPath_;
  std::uint32_t maxConnections_ = 0;
  std::optional<EngineCapacity> engine_;
  std::optional<ScalingBounds> scaling_;
};

struct PlanOrganisation
{
  std::string name_;
  /// SHA-256 of each key, as lower-case hexadecimal.
  std::vector<std::string> keyHashes_;
  /// Goes before the route's.
  std::optional<std::uint32_t> priority_;
  /// Whether rate and burst count tokens, or else requests.
  bool isLimitedByTokens_ = false;
  /// What a request without a token count costs, in tokens.
  std::uint64_t defaultTokenCost_ = 0;
  /// Over all entries; 0 sets no limit.
  double ratePerSecond_ = 0.0;
  double burst_ = 0.0;
};

/// What callers may send.
struct CallerLimits
{
  std::uint32_t maxHeadBytes_ = 16384;
  std::uint64_t maxBodyBytes_ = 4194304;
  Milliseconds headTimeout_{ 3000 };
  Milliseconds idleTimeout_{ 15000 };
};

/// Why a plan can't be taken, in words for the operator.
struct PlanError
{
  std::string message_;
};

/// A whole declaration of routes, services and organisations under the
/// operator's own number. Immutable once indexed.
struct TrafficPlan
{
  std::uint64_t number_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, PlanService, std::less<>> services_;
  std::vector<PlanOrganisation> organisations_;
  CallerLimits limits_;

  /// Checks the plan and prepares the look-ups below.
  tl::expected<void, PlanError> ValidateAndIndex();

  /// The route with the longest prefix of `aPath` at `aHost`, or nullptr.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// The organisation that holds a key, or nullptr.
  const PlanOrganisation* FindOrganisation(std::string_view aKey) const;

private:
  tl::expected<void, PlanError> CheckRoute(const Route& aRoute) const;

  /// Routes by host, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> byHost_;
  std::unordered_map<std::string, std::size_t> byKeyHash_;
};

/// Reads the operator's document; what is invalid is an error.
using PlanDecoder =
  std::function<tl::expected<TrafficPlan, PlanError>(std::string_view)>;

} // namespace tanagerstall

#endif
