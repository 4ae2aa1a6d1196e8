#ifndef TANAGERSTALL_REPLICA_PLACEMENT_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_PLACEMENT_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_cloud_calls.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// The replicas of a service that are ready in a failure domain.
struct DomainReplicas
{
  std::uint32_t reclaimable_ = 0;
  std::uint32_t onDemand_ = 0;
};

/// What placement knows of one service.
struct PlacementInput
{
  std::string service_;
  ScalingBounds bounds_;
  std::map<std::string, DomainReplicas> domains_;
  /// Requests that run at the service's replicas, over all entries.
  std::uint32_t running_ = 0;
};

/// Decides how many replicas of each kind to order in each failure domain.
/// For demand that comes in waves on instances that are reclaimed a failure
/// domain at a time: reclaimable replicas in every domain, so many that the
/// loss of one leaves enough; replicas on demand only for what would be
/// missing then. Lives with the holder of the duties; a plain state machine.
class ReplicaPlacement
{
public:
  /// The orders to give now.
  std::vector<ReplicaOrder> Next(const PlacementInput& aInput, TimePoint aNow);
  /// Notes how the cloud took an order.
  void OnAnswer(const ReplicaOrder& aOrder,
                CloudAnswer aAnswer,
                TimePoint aNow);

  /// Replicas that the demand calls for; for the log.
  std::uint32_t Needed(const std::string& aService) const;

private:
  struct Target
  {
    std::uint32_t count_ = 0;
    /// Since when fewer would do.
    std::optional<TimePoint> lowerSince_;
  };

  struct OrderState
  {
    /// The last order that was accepted.
    std::optional<std::uint32_t> acceptedCount_;
    TimePoint acceptedAt_;
    TimePoint retryAt_;
    Target target_;
  };

  struct Service
  {
    bool isStarted_ = false;
    double needed_ = 0.0;
    TimePoint neededAt_;
    std::map<std::pair<std::string, bool>, OrderState> orderStates_;
  };

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

/// Counts the replicas of a service by failure domain. Domains of the bounds
/// without replicas are included.
std::map<std::string, DomainReplicas>
CountByDomain(const std::vector<Replica>& aReplicas,
              const ScalingBounds& aBounds);

} // namespace tanagerstall

#endif
