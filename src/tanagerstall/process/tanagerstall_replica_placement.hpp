#ifndef TANAGERSTALL_REPLICA_PLACEMENT_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_PLACEMENT_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_cloud_calls.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// The numbers of a service's ready replicas in a failure domain.
struct DomainReplicas
{
  std::uint32_t reclaimable_ = 0;
  std::uint32_t onDemand_ = 0;
};

/// The state of one service, from which its orders are computed.
struct PlacementInput
{
  std::string service_;
  ScalingBounds bounds_;
  /// Ready replicas by failure domain.
  std::map<std::string, DomainReplicas> domains_;
  /// The number of requests that the service's replicas run, for all entries.
  std::uint32_t running_ = 0;
  /// The requests that one replica runs at once at most; 0 if unknown.
  std::uint32_t slots_ = 0;
  /// The capacity, in replicas, that present ones withdraw since they take
  /// fewer requests than their equal part.
  double withdrawn_ = 0.0;
};

/// Decides how many replicas of each kind to order in each failure domain.
/// Demand comes in waves, and instances are reclaimed one failure domain at a
/// time. Every domain therefore gets enough reclaimable replicas that the
/// others suffice if one is lost; on-demand replicas only cover what would be
/// missing then. A state machine without I/O, which the leader tasks own.
class ReplicaPlacement
{
public:
  /// Returns the orders to send now.
  std::vector<ReplicaOrder> Next(const PlacementInput& aInput, TimePoint aNow);
  /// Records the cloud's answer to an order.
  void OnAnswer(const ReplicaOrder& aOrder,
                CloudAnswer aAnswer,
                TimePoint aNow);

  /// Returns the estimated number of replicas that the demand needs, for the
  /// log.
  std::uint32_t Needed(const std::string& aService) const;

private:
  struct Target
  {
    std::uint32_t count_ = 0;
    /// Since when fewer replicas would suffice.
    std::optional<TimePoint> lowerSince_;
  };

  struct OrderState
  {
    /// The count of the last accepted order.
    std::optional<std::uint32_t> acceptedCount_;
    TimePoint acceptedAt_;
    TimePoint retryAt_;
    Target target_;
  };

  struct Service
  {
    /// Whether orders are placed, because the replicas found at the start are
    /// all known or there is traffic.
    bool isStarted_ = false;
    /// The highest number of ready replicas, and since when.
    std::uint32_t mostReady_ = 0;
    TimePoint mostReadySince_;
    double needed_ = 0.0;
    TimePoint neededAt_;
    /// By failure domain and whether the replicas are reclaimable.
    std::map<std::pair<std::string, bool>, OrderState> orderStates_;
  };

  static bool IsStarted(Service& aService,
                        const PlacementInput& aInput,
                        TimePoint aNow);
  static void UpdateNeed(Service& aService,
                         const PlacementInput& aInput,
                         TimePoint aNow);
  static std::uint32_t DelayShrink(Target& aTarget,
                                   std::uint32_t aCount,
                                   TimePoint aNow);
  static std::map<std::string, std::uint32_t> SpreadOnDemand(
    const PlacementInput& aInput,
    std::uint32_t aCount);
  static void Order(Service& aService,
                    const ReplicaOrder& aOrder,
                    std::uint32_t aReady,
                    const PlacementInput& aInput,
                    TimePoint aNow,
                    std::vector<ReplicaOrder>& aOrders);

  std::map<std::string, Service> services_;
};

/// Counts the replicas of a service by failure domain. The domains of `aBounds`
/// that have no replicas are included.
std::map<std::string, DomainReplicas>
CountByDomain(const std::vector<Replica>& aReplicas,
              const ScalingBounds& aBounds);

/// Returns the least number of slots that a replica reports, 0 if none does.
std::uint32_t
LeastSlots(const std::vector<Replica>& aReplicas);

} // namespace tanagerstall

#endif
