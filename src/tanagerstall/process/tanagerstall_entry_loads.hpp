#ifndef TANAGERSTALL_ENTRY_LOADS_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_LOADS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_working_set.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_replica_placement.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// The load that each entry last reported.
class EntryLoads
{
public:
  void Record(const EntryReport& aReport);
  /// Forgets all entries but these.
  void KeepOnly(const std::vector<EntryInfo>& aEntries);
  const RequestRates& Rates() const { return rates_; }
  /// The requests that all entries run at the replicas of a service.
  std::uint32_t Running(const std::string& aService) const;

private:
  RequestRates rates_;
  /// By entry and service.
  std::map<std::string, std::map<std::string, ServiceLoad>> services_;
};

/// Returns the input of the replica placement for each service that is scaled
/// and has replicas.
std::vector<PlacementInput>
MakePlacementInputs(const TrafficPlan& aPlan,
                    const ReplicasByService& aPresent,
                    const EntryLoads& aLoads);

} // namespace tanagerstall

#endif
