// The choice of an upstream by the scheduler.
#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Upstreams that are compared for one request; more are sampled at random.
constexpr std::size_t kMaxCandidates = 24;
/// A cached prefix is credited with this many times the prompt's prefill time:
/// more than it saves its own request, since later requests also profit.
constexpr double kCachedPrefixFactor = 2.4;
/// Added to the expected completion time at an upstream of another region.
constexpr Duration kOtherRegionCost = std::chrono::milliseconds(150);

/// Rendezvous hash: all entries prefer the same upstream for a prefix.
std::uint64_t
PreferenceOf(std::uint64_t aPrefixHash, const std::string& aUpstream)
{
  return Checksum(ViewOf(aUpstream + '/' + std::to_string(aPrefixHash)));
}

} // namespace

/// The part of each upstream's capacity that this entry may use.
double
Scheduler::EntryShare(const RoutingSnapshot& aSnapshot) const
{
  auto serving =
    std::count_if(aSnapshot.entries_.begin(),
                  aSnapshot.entries_.end(),
                  [](const EntryInfo& aEntry) { return !aEntry.isDraining_; });
  return 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(1, serving));
}

ServiceCapacity&
Scheduler::CapacityOf(const RoutingSnapshot& aSnapshot,
                      const std::string& aService,
                      TimePoint aNow)
{
  ServiceCapacity& capacity = capacities_[aService];
  if (!capacity.IsCurrent(aNow)) {
    double total = 0;
    for (const auto& upstream : aSnapshot.UpstreamsOf(aService)) {
      total += upstream.info_->capacity_;
    }
    capacity.SetCapacity(total, EntryShare(aSnapshot), aNow);
  }
  return capacity;
}

bool
Scheduler::HasCapacityAt(const ServiceCapacity& aCapacity,
                         const PresentUpstream& aUpstream,
                         bool aIsLong) const
{
  auto it = upstreams_.find(aUpstream.info_->id_);
  return !options_.hasConcurrencyLimit_ || it == upstreams_.end() ||
         aCapacity.HasCapacityAt(aUpstream.info_->capacity_,
                                 it->second.outstanding_,
                                 aIsLong,
                                 options_.hasShortReservation_);
}

/// Returns all upstreams or, if there are too many, a random sample that
/// always includes the one selected by the prefix hash.
std::vector<Scheduler::Candidate>
Scheduler::Sample(const std::vector<PresentUpstream>& aAll,
                  std::uint64_t aPrefixHash)
{
  std::vector<Candidate> sample;
  std::size_t count = aAll.size();
  if (count <= kMaxCandidates) {
    for (const auto& upstream : aAll) {
      sample.push_back(&upstream);
    }
    return sample;
  }
  sample.push_back(&aAll[aPrefixHash % count]);
  while (sample.size() < kMaxCandidates) {
    sample.push_back(&aAll[random_() % count]);
  }
  return sample;
}

bool
Scheduler::CanUse(const PresentUpstream& aUpstream,
                  const RequestTraits& aTraits,
                  bool aIsLong,
                  TimePoint aNow)
{
  const auto& avoid = aTraits.avoid_;
  const std::string& id = aUpstream.info_->id_;
  if (aUpstream.presentUntil_ <= aNow ||
      std::find(avoid.begin(), avoid.end(), id) != avoid.end()) {
    return false;
  }
  if (options_.hasEjection_ && !upstreams_[id].health_.CanReceive(aNow)) {
    return false;
  }
  return HasCapacityAt(capacities_[aTraits.service_], aUpstream, aIsLong);
}

/// Returns the upstreams that can take the request now. Upstreams that earlier
/// attempts used are only considered if there is no other.
std::vector<Scheduler::Candidate>
Scheduler::Candidates(const RoutingSnapshot& aSnapshot,
                      const RequestTraits& aTraits,
                      bool aIsLong,
                      TimePoint aNow)
{
  std::vector<Candidate> candidates;
  const ServiceCapacity& capacity =
    CapacityOf(aSnapshot, aTraits.service_, aNow);
  if (options_.hasConcurrencyLimit_ &&
      !capacity.HasCapacity(aIsLong, options_.hasShortReservation_)) {
    return candidates;
  }
  const auto& all = aSnapshot.UpstreamsOf(aTraits.service_);
  for (Candidate candidate : Sample(all, aTraits.prefixHash_)) {
    if (CanUse(*candidate, aTraits, aIsLong, aNow)) {
      candidates.push_back(candidate);
    }
  }
  if (candidates.empty() && !aTraits.avoid_.empty()) {
    RequestTraits unrestricted = aTraits;
    unrestricted.avoid_.clear();
    return Candidates(aSnapshot, unrestricted, aIsLong, aNow);
  }
  return candidates;
}

Scheduler::Candidate
Scheduler::Choose(const std::vector<Candidate>& aCandidates,
                  const RequestTraits& aTraits,
                  double aEstimatedTokens,
                  TimePoint aNow)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  if (options_.choice_ == UpstreamChoice::RoundRobin) {
    return aCandidates[nextRoundRobin_++ % aCandidates.size()];
  }
  if (options_.choice_ == UpstreamChoice::Random) {
    return aCandidates[random_() % aCandidates.size()];
  }
  std::size_t offset = random_() % aCandidates.size();
  Candidate preferred = nullptr;
  std::uint64_t highest = 0;
  if (options_.hasPrefixAffinity_ && aTraits.prefixHash_ != 0) {
    for (Candidate candidate : aCandidates) {
      auto preference =
        PreferenceOf(aTraits.prefixHash_, candidate->info_->id_);
      if (preferred == nullptr || preference > highest) {
        preferred = candidate;
        highest = preference;
      }
    }
  }
  Candidate best = nullptr;
  double least = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    Candidate candidate = aCandidates[(offset + i) % aCandidates.size()];
    UpstreamEstimate& upstream = upstreams_[candidate->info_->id_];
    double score = upstream.outstanding_;
    if (options_.choice_ == UpstreamChoice::ExpectedCompletion) {
      Duration first = ExpectedTimeToFirstToken(
        *candidate, aTraits, candidate == preferred, aNow);
      Duration generation = Scaled(upstream.PerToken(), aEstimatedTokens);
      double perSlot =
        upstream.outstandingTokens_ / std::max(1U, candidate->info_->capacity_);
      Duration backlog = Scaled(upstream.PerToken(), perSlot);
      score = static_cast<double>((first + generation + backlog).count());
      if (options_.hasRegionPreference_ && !options_.region_.empty() &&
          candidate->info_->region_ != options_.region_) {
        score += static_cast<double>(kOtherRegionCost.count());
      }
    }
    if (best == nullptr || score < least) {
      best = candidate;
      least = score;
    }
  }
  return best;
}

Duration
Scheduler::ExpectedTimeToFirstToken(const PresentUpstream& aUpstream,
                                    const RequestTraits& aTraits,
                                    bool aIsPreferred,
                                    TimePoint aNow)
{
  const UpstreamEstimate& upstream = upstreams_[aUpstream.info_->id_];
  double prompt = static_cast<double>(aTraits.promptTokens_);
  Duration prefill =
    PrefillTime(aIsPreferred ? prompt * (1 - kCachedPrefixFactor) : prompt);
  return prefill + upstream.QueueDelay(aNow);
}

} // namespace tanagerstall
