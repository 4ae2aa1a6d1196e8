#include "tanagerstall/process/tanagerstall_entry_loads.hpp"

#include <set>

namespace tanagerstall {

void
EntryLoads::Record(const EntryReport& aReport)
{
  services_[aReport.entry_.id_] = aReport.services_;
  rates_[aReport.entry_.id_] = aReport.requestRate_;
}

void
EntryLoads::KeepOnly(const std::vector<EntryInfo>& aEntries)
{
  std::set<std::string> kept;
  for (const auto& entry : aEntries) {
    kept.insert(entry.id_);
  }
  auto isGone = [&](const auto& aIt) { return !kept.contains(aIt.first); };
  std::erase_if(services_, isGone);
  std::erase_if(rates_, isGone);
}

std::uint32_t
EntryLoads::Running(const std::string& aService) const
{
  std::uint32_t running = 0;
  for (const auto& [entry, services] : services_) {
    auto load = services.find(aService);
    running += load == services.end() ? 0 : load->second.running_;
  }
  return running;
}

std::vector<PlacementInput>
MakePlacementInputs(const TrafficPlan& aPlan,
                    const ReplicasByService& aPresent,
                    const EntryLoads& aLoads)
{
  std::vector<PlacementInput> inputs;
  for (const auto& [name, service] : aPlan.services_) {
    auto replicas = aPresent.find(name);
    if (!service.scaling_ || replicas == aPresent.end()) {
      continue;
    }
    PlacementInput input{ name, *service.scaling_, {}, 0, 0 };
    input.slots_ = LeastSlots(replicas->second);
    input.domains_ = CountByDomain(replicas->second, *service.scaling_);
    input.running_ = aLoads.Running(name);
    inputs.push_back(std::move(input));
  }
  return inputs;
}

} // namespace tanagerstall
