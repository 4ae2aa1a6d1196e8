#ifndef TANAGERSTALL_ENTRY_LOADS_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_LOADS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_working_set.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_long_response_demand.hpp"
#include "tanagerstall/process/tanagerstall_replica_placement.hpp"
#include "tanagerstall/request/tanagerstall_named_rate.hpp"
#include "tanagerstall/request/tanagerstall_request_rate.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// The load that each entry last reported.
class EntryLoads
{
public:
  void Record(const EntryReport& aReport);
  /// The requests per second that all entries get for a service.
  double ArrivalRate(const std::string& aService, TimePoint aNow);
  /// Forgets all entries but these.
  void KeepOnly(const std::vector<EntryInfo>& aEntries);
  const RequestRates& Rates() const { return rates_; }
  /// The requests that all entries run at the replicas of a service.
  std::uint32_t Running(const std::string& aService) const;
  /// The number of long responses for which replicas are to be reserved, for
  /// services of which not the usual part is.
  const std::map<std::string, std::uint32_t>& LongResponses(TimePoint aNow);

private:
  RequestRates rates_;
  /// By entry and service.
  std::map<std::string, std::map<std::string, ServiceLoad>> services_;
  /// Recent responses that began in time, and those that didn't.
  struct Timeliness
  {
    RequestRate inTime_;
    RequestRate late_;
    double inTimePerSecond_ = 0.0;
    double latePerSecond_ = 0.0;

    void Update(TimePoint aNow);
  };
  struct ServiceTimeliness
  {
    Timeliness long_;
    Timeliness others_;
    LongResponseDemand demand_;
  };

  static LateShare ShareOf(double aLate, double aInTime);
  std::uint32_t LongRunning(const std::string& aService) const;

  /// By service.
  std::map<std::string, RequestRate> arrivals_;
  std::map<std::string, ServiceTimeliness> timeliness_;
  std::map<std::string, std::uint32_t> longResponses_;
  TimePoint longResponsesAt_;
};

/// Returns the capacity, in replicas, that those present withdraw by the rates
/// that they name. `aRate` is the service's requests per second.
double
WithdrawnCapacity(const std::vector<Replica>& aPresent,
                  const NamedRates& aNamed,
                  double aRate);

/// Returns the input of the replica placement for each service that is scaled
/// and has replicas. Of a service with a roll-out only the replicas that carry
/// its load count.
std::vector<PlacementInput>
MakePlacementInputs(const TrafficPlan& aPlan,
                    const ReplicasByService& aPresent,
                    const std::map<std::string, Rollout>& aRollouts,
                    const NamedRates& aNamed,
                    EntryLoads& aLoads,
                    TimePoint aNow);

} // namespace tanagerstall

#endif
