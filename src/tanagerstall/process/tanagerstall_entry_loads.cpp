#include "tanagerstall/process/tanagerstall_entry_loads.hpp"

#include "tanagerstall/process/presence/tanagerstall_rollout_sides.hpp"

#include <algorithm>
#include <set>

namespace tanagerstall {

namespace {

/// A limit that is younger may be over before another replica is up.
constexpr std::chrono::milliseconds kLastingLimit{ 1500 };
/// With fewer responses a second their lateness says little.
constexpr double kMinResponseRate = 5.0;
/// Sums over all entries are made once in this time, so that the work of an
/// answer doesn't depend on their number.
constexpr Duration kSumInterval = std::chrono::milliseconds(100);

/// Returns those of a service's replicas that carry its load.
std::vector<Replica>
ServingReplicas(const std::vector<Replica>& aReplicas,
                const std::map<std::string, Rollout>& aRollouts)
{
  std::vector<Replica> serving;
  for (const auto& replica : aReplicas) {
    auto rollout = aRollouts.find(replica.service_);
    if (rollout == aRollouts.end() || IsServingSide(rollout->second, replica)) {
      serving.push_back(replica);
    }
  }
  return serving;
}

} // namespace

void
EntryLoads::Record(const EntryReport& aReport)
{
  bool isNew = !services_.contains(aReport.entry_.id_);
  auto& known = services_[aReport.entry_.id_];
  for (const auto& [service, load] : aReport.services_) {
    // An entry that was restarted counts from 0 again.
    bool isContinued = !isNew && load.arrivals_ >= known[service].arrivals_;
    std::uint64_t added =
      isContinued ? load.arrivals_ - known[service].arrivals_ : 0;
    arrivals_[service].Add(static_cast<double>(added));
    if (isContinued) {
      const ServiceLoad& last = known[service];
      ServiceTimeliness& timeliness = timeliness_[service];
      auto add = [](RequestRate& aTo, std::uint64_t aNow, std::uint64_t aLast) {
        aTo.Add(static_cast<double>(aNow - aLast));
      };
      add(timeliness.others_.inTime_, load.inTime_, last.inTime_);
      add(timeliness.others_.late_, load.late_, last.late_);
      add(timeliness.long_.inTime_, load.longInTime_, last.longInTime_);
      add(timeliness.long_.late_, load.longLate_, last.longLate_);
    }
  }
  known = aReport.services_;
  rates_[aReport.entry_.id_] = aReport.requestRate_;
}

double
EntryLoads::ArrivalRate(const std::string& aService, TimePoint aNow)
{
  return arrivals_[aService].Update(aNow);
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

std::uint32_t
EntryLoads::LongRunning(const std::string& aService) const
{
  std::uint32_t running = 0;
  for (const auto& [entry, services] : services_) {
    auto load = services.find(aService);
    running += load == services.end() ? 0 : load->second.longRunning_;
  }
  return running;
}

void
EntryLoads::Timeliness::Update(TimePoint aNow)
{
  inTimePerSecond_ = inTime_.Update(aNow);
  latePerSecond_ = late_.Update(aNow);
}

LateShare
EntryLoads::ShareOf(double aLate, double aInTime)
{
  double all = aLate + aInTime;
  return all < kMinResponseRate ? std::nullopt : LateShare(aLate / all);
}

const std::map<std::string, std::uint32_t>&
EntryLoads::LongResponses(TimePoint aNow)
{
  if (aNow - longResponsesAt_ < kSumInterval) {
    return longResponses_;
  }
  longResponsesAt_ = aNow;
  longResponses_.clear();
  for (auto& [service, timeliness] : timeliness_) {
    auto& [longOnes, others, demand] = timeliness;
    longOnes.Update(aNow);
    others.Update(aNow);
    auto reserved =
      demand.Update(LongRunning(service),
                    ShareOf(longOnes.latePerSecond_, longOnes.inTimePerSecond_),
                    ShareOf(others.latePerSecond_, others.inTimePerSecond_),
                    aNow);
    if (reserved) {
      longResponses_[service] = *reserved;
    }
  }
  return longResponses_;
}

double
WithdrawnCapacity(const std::vector<Replica>& aPresent,
                  const NamedRates& aNamed,
                  double aRate)
{
  double equalPart = aRate / static_cast<double>(aPresent.size());
  double withdrawn = 0.0;
  for (const auto& named : aNamed) {
    bool isPresent =
      std::any_of(aPresent.begin(), aPresent.end(), [&](const auto& aIt) {
        return aIt.id_ == named.replica_ &&
               aIt.startTimeMs_ == named.startTimeMs_;
      });
    bool isLimit = named.perSecond_ && *named.perSecond_ < equalPart;
    if (isPresent && isLimit && named.age_ >= kLastingLimit) {
      withdrawn += 1.0 - *named.perSecond_ / equalPart;
    }
  }
  return withdrawn;
}

std::vector<PlacementInput>
MakePlacementInputs(const TrafficPlan& aPlan,
                    const ReplicasByService& aPresent,
                    const std::map<std::string, Rollout>& aRollouts,
                    const NamedRates& aNamed,
                    EntryLoads& aLoads,
                    TimePoint aNow)
{
  std::vector<PlacementInput> inputs;
  for (const auto& [name, service] : aPlan.services_) {
    auto present = aPresent.find(name);
    if (!service.scaling_ || present == aPresent.end()) {
      continue;
    }
    auto replicas = ServingReplicas(present->second, aRollouts);
    if (replicas.empty()) {
      continue;
    }
    PlacementInput input{ name, *service.scaling_, {}, 0, 0, 0.0 };
    input.slots_ = LeastSlots(replicas);
    input.domains_ = CountByDomain(replicas, *service.scaling_);
    input.running_ = aLoads.Running(name);
    input.withdrawn_ =
      WithdrawnCapacity(replicas, aNamed, aLoads.ArrivalRate(name, aNow));
    inputs.push_back(std::move(input));
  }
  return inputs;
}

} // namespace tanagerstall
