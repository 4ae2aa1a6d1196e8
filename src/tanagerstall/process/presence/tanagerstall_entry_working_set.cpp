#include "tanagerstall/process/presence/tanagerstall_entry_working_set.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tanagerstall {

namespace {

/// Requests per second that one entry should serve. An entry can serve several
/// times as many, which leaves room for the callers of a lost failure domain
/// and for bursts until callers ask for new addresses.
constexpr double kRequestsPerEntry = 22.0;
/// With fewer, the loss of one would leave too much to the others.
constexpr std::size_t kMinActivePerDomain = 3;
/// The demand falls by a factor of e in this time, so that the set doesn't
/// follow each wave of the load.
constexpr std::chrono::duration<double> kDemandDecay{ 40.0 };
/// The part of a shared quantity that standby entries divide among themselves.
/// They serve callers whose addresses are outdated.
constexpr double kStandbyShare = 0.15;

/// The ids of a failure domain's entries by a hash that gives them the same
/// order at all control processes.
using RankedEntries = std::set<std::pair<std::uint64_t, std::string>>;

std::map<std::string, RankedEntries>
RankByDomain(const std::vector<EntryInfo>& aEntries)
{
  std::map<std::string, RankedEntries> byDomain;
  for (const auto& entry : aEntries) {
    byDomain[entry.failureDomain_].emplace(Checksum(ViewOf(entry.id_)),
                                           entry.id_);
  }
  return byDomain;
}

} // namespace

void
EntryWorkingSet::UpdateDemand(const std::vector<EntryInfo>& aServing,
                              const RequestRates& aRates,
                              TimePoint aNow)
{
  std::map<std::string, double> rates;
  for (const auto& entry : aServing) {
    auto rate = aRates.find(entry.id_);
    rates[entry.failureDomain_] += rate == aRates.end() ? 0.0 : rate->second;
  }
  for (const auto& [domain, rate] : rates) {
    Demand& demand = demandByDomain_[domain];
    std::chrono::duration<double> elapsed = aNow - demand.updatedAt_;
    demand.rate_ =
      std::max(rate, demand.rate_ * std::exp(-(elapsed / kDemandDecay)));
    demand.updatedAt_ = aNow;
  }
}

void
EntryWorkingSet::Update(const std::vector<EntryInfo>& aServing,
                        const RequestRates& aRates,
                        TimePoint aNow)
{
  UpdateDemand(aServing, aRates, aNow);
  serving_ = aServing.size();
  active_.clear();
  for (const auto& [domain, entries] : RankByDomain(aServing)) {
    auto needed = static_cast<std::size_t>(
      std::ceil(demandByDomain_[domain].rate_ / kRequestsPerEntry));
    std::size_t missing = std::max(needed, kMinActivePerDomain);
    for (const auto& [rank, id] : entries) {
      if (missing == 0) {
        break;
      }
      active_.insert(id);
      --missing;
    }
  }
}

bool
EntryWorkingSet::IsActive(const std::string& aEntry) const
{
  return active_.contains(aEntry);
}

std::vector<EntryInfo>
EntryWorkingSet::SelectActive(const std::vector<EntryInfo>& aEntries) const
{
  std::vector<EntryInfo> selected;
  std::copy_if(aEntries.begin(),
               aEntries.end(),
               std::back_inserter(selected),
               [this](const EntryInfo& aIt) { return IsActive(aIt.id_); });
  return selected.empty() ? aEntries : selected;
}

std::uint32_t
EntryWorkingSet::ShareDivisor(const std::string& aEntry) const
{
  std::size_t standby = serving_ - active_.size();
  double part = standby == 0 ? 1.0 : 1.0 - kStandbyShare;
  double divisor = IsActive(aEntry)
                     ? static_cast<double>(active_.size()) / part
                     : static_cast<double>(standby) / kStandbyShare;
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(divisor)));
}

} // namespace tanagerstall
