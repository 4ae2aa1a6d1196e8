#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace tanagerstall {

namespace {

/// A preferred replica is passed over above this many times the mean work.
constexpr double kMaxLoadFactor = 1.4;
/// Work that is too little to pass a preferred replica over, in requests.
constexpr double kToleratedRequests = 3.0;
constexpr Duration kMinAvoidance = std::chrono::milliseconds(500);
constexpr Duration kRefusedAvoidance = std::chrono::milliseconds(60);
constexpr Duration kMaxAvoidance = std::chrono::seconds(4);
/// Work at a replica of another region counts this much more.
constexpr double kOtherRegionRequests = 4.0;

/// The weight of the newest wait for a first part, at a replica and at all.
constexpr double kReplicaSmoothing = 0.25;
constexpr double kServiceSmoothing = 0.02;
constexpr std::uint32_t kMinSamples = 3;
constexpr double kMaxSlowness = 8.0;
/// How fast an old observation loses its weight.
constexpr std::chrono::duration<double> kSlownessDecay{ 3.0 };
/// The part of the replicas that is kept for long answers.
constexpr double kLongAnswerShare = 0.2;
/// With fewer replicas in a region none are kept apart.
constexpr std::size_t kMinReplicasToSplit = 4;

/// Ranks replicas for a key alike at every entry.
std::uint64_t
RankOf(std::uint64_t aKey, const std::string& aReplica)
{
  return Checksum(ViewOf(aReplica + "#" + std::to_string(aKey)));
}

} // namespace

ReplicaChooser::ReplicaChooser(Settings aSettings, std::uint64_t aSeed)
  : settings_(std::move(aSettings))
  , random_(aSeed)
  , replicas_(std::make_shared<ReplicasByService>())
{
}

void
ReplicaChooser::SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas)
{
  replicas_ = std::move(aReplicas);
  present_.clear();
  forLongAnswers_.clear();
  forOthers_.clear();
  for (const auto& [service, replicas] : *replicas_) {
    PartitionReplicas(replicas);
    for (const auto& replica : replicas) {
      present_.insert(replica.id_);
    }
  }
  std::erase_if(stats_, [this](const auto& aIt) {
    return aIt.second.running_ == 0 && !present_.contains(aIt.first);
  });
}

/// Keeps a part of a service's replicas in this region for long answers.
void
ReplicaChooser::PartitionReplicas(const std::vector<Replica>& aReplicas)
{
  std::vector<std::pair<std::uint64_t, const std::string*>> near;
  for (const auto& replica : aReplicas) {
    if (IsInRegion(replica)) {
      near.emplace_back(RankOf(0, replica.id_), &replica.id_);
    }
  }
  if (near.size() < kMinReplicasToSplit) {
    return;
  }
  std::sort(near.begin(), near.end());
  auto kept = static_cast<std::size_t>(std::max(
    1L, std::lround(static_cast<double>(near.size()) * kLongAnswerShare)));
  for (std::size_t i = 0; i < near.size(); ++i) {
    (i < kept ? forLongAnswers_ : forOthers_).insert(*near[i].second);
  }
}

bool
ReplicaChooser::IsPresent(const std::string& aId) const
{
  return present_.contains(aId);
}

std::size_t
ReplicaChooser::CountReplicas(const std::string& aService) const
{
  auto it = replicas_->find(aService);
  return it == replicas_->end() ? 0 : it->second.size();
}

std::uint32_t
ReplicaChooser::RunningAt(const Replica& aReplica) const
{
  auto it = stats_.find(aReplica.id_);
  return it == stats_.end() ? 0 : it->second.running_;
}

std::uint32_t
ReplicaChooser::Running(const std::string& aService) const
{
  std::uint32_t running = 0;
  if (auto it = replicas_->find(aService); it != replicas_->end()) {
    for (const auto& replica : it->second) {
      if (auto found = stats_.find(replica.id_); found != stats_.end()) {
        running += found->second.running_;
      }
    }
  }
  return running;
}

ReplicaChooser::ReplicaStats&
ReplicaChooser::StatsOf(const Replica& aReplica)
{
  ReplicaStats& stats = stats_[aReplica.id_];
  if (stats.bornMs_ != aReplica.bornMs_) {
    stats = ReplicaStats();
    stats.bornMs_ = aReplica.bornMs_;
  }
  return stats;
}

bool
ReplicaChooser::IsInRegion(const Replica& aReplica) const
{
  auto region = [this](const std::string& aDomain) {
    auto it = settings_.regions_.find(aDomain);
    return it == settings_.regions_.end() ? aDomain : it->second;
  };
  return region(aReplica.failureDomain_) == region(settings_.failureDomain_);
}

void
ReplicaChooser::ObserveFirstPart(const Replica& aReplica,
                                 Duration aWait,
                                 TimePoint aNow)
{
  auto it = stats_.find(aReplica.id_);
  if (it == stats_.end() || it->second.bornMs_ != aReplica.bornMs_) {
    return;
  }
  double wait = InMilliseconds(aWait);
  double& all =
    serviceFirstPartMs_.try_emplace(aReplica.service_, wait).first->second;
  all += kServiceSmoothing * (wait - all);
  ReplicaStats& stats = it->second;
  stats.firstPartMs_ += (stats.samples_ == 0 ? 1.0 : kReplicaSmoothing) *
                        (wait - stats.firstPartMs_);
  ++stats.samples_;
  stats.sampledAt_ = aNow;
}

/// How many times later first parts come than at the service's other replicas;
/// what was seen counts less with time, so that a replica gets its next try.
double
ReplicaChooser::SlownessOf(const Replica& aReplica, TimePoint aNow) const
{
  auto it = stats_.find(aReplica.id_);
  auto all = serviceFirstPartMs_.find(aReplica.service_);
  if (it == stats_.end() || all == serviceFirstPartMs_.end() ||
      it->second.samples_ < kMinSamples) {
    return 1.0;
  }
  double slowness = std::clamp(
    it->second.firstPartMs_ / std::max(all->second, 1.0), 1.0, kMaxSlowness);
  double age = std::chrono::duration<double>(aNow - it->second.sampledAt_) /
               kSlownessDecay;
  return 1.0 + (slowness - 1.0) * std::exp(-age);
}

std::vector<const Replica*>
ReplicaChooser::Candidates(const ChoiceRequest& aRequest, TimePoint aNow)
{
  std::vector<const Replica*> healthy;
  std::vector<const Replica*> avoided;
  auto it = replicas_->find(aRequest.service_);
  if (it == replicas_->end()) {
    return healthy;
  }
  for (const auto& replica : it->second) {
    TimePoint avoidUntil = StatsOf(replica).avoidUntil_;
    if (aRequest.excluded_.contains(replica.id_) ||
        avoidUntil == TimePoint::max()) {
      continue;
    }
    bool isAvoided = aNow < avoidUntil;
    (isAvoided ? avoided : healthy).push_back(&replica);
  }
  // Where all look bad, the fault is more likely on the way to them.
  return FilterByAnswerLength(healthy.empty() ? avoided : healthy,
                              aRequest.isLongAnswer_);
}

/// Of this region's replicas, those for the request's kind; all, wherever they
/// are, if none of them is among `aFrom`.
std::vector<const Replica*>
ReplicaChooser::FilterByAnswerLength(const std::vector<const Replica*>& aFrom,
                                     bool aForLongAnswers) const
{
  const auto& kept = aForLongAnswers ? forLongAnswers_ : forOthers_;
  std::vector<const Replica*> own;
  std::copy_if(aFrom.begin(),
               aFrom.end(),
               std::back_inserter(own),
               [&](const auto* aIt) { return kept.contains(aIt->id_); });
  return own.empty() ? aFrom : own;
}

const Replica*
ReplicaChooser::Pick(const std::vector<const Replica*>& aFrom,
                     const ChoiceRequest& aRequest,
                     TimePoint aNow)
{
  double total = 0.0;
  for (const auto* replica : aFrom) {
    total += StatsOf(*replica).work_;
  }
  double mean = total / static_cast<double>(aFrom.size());
  double limit =
    std::max(mean * kMaxLoadFactor, mean + kToleratedRequests * aRequest.cost_);
  const Replica* preferred = nullptr;
  std::uint64_t best = 0;
  const Replica* least = nullptr;
  double leastWork = std::numeric_limits<double>::max();
  std::uniform_real_distribution<double> tie(0.0, 0.1);
  for (const auto* replica : aFrom) {
    double own = StatsOf(*replica).work_ + tie(random_) * aRequest.cost_;
    double slowness = SlownessOf(*replica, aNow);
    double work = own + (slowness - 1.0) * (own + aRequest.cost_);
    if (!IsInRegion(*replica)) {
      work += kOtherRegionRequests * aRequest.cost_;
    }
    if (work < leastWork) {
      leastWork = work;
      least = replica;
    }
    if (aRequest.affinityKey_ == 0 || work > limit) {
      continue;
    }
    std::uint64_t rank = RankOf(aRequest.affinityKey_, replica->id_);
    bool isNear = IsInRegion(*replica);
    bool isBetter = preferred == nullptr ||
                    (isNear && !IsInRegion(*preferred)) ||
                    (isNear == IsInRegion(*preferred) && rank > best);
    if (isBetter) {
      preferred = replica;
      best = rank;
    }
  }
  return preferred != nullptr ? preferred : least;
}

std::optional<Replica>
ReplicaChooser::Choose(const ChoiceRequest& aRequest, TimePoint aNow)
{
  auto candidates = Candidates(aRequest, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const Replica* chosen = Pick(candidates, aRequest, aNow);
  ReplicaStats& stats = StatsOf(*chosen);
  ++stats.running_;
  stats.work_ += aRequest.cost_;
  return *chosen;
}

void
ReplicaChooser::Finish(const Replica& aReplica,
                       double aCost,
                       AttemptOutcome aOutcome,
                       TimePoint aNow)
{
  auto it = stats_.find(aReplica.id_);
  if (it == stats_.end() || it->second.bornMs_ != aReplica.bornMs_) {
    return;
  }
  ReplicaStats& stats = it->second;
  stats.running_ -= stats.running_ > 0 ? 1 : 0;
  stats.work_ = stats.running_ == 0 ? 0.0 : std::max(0.0, stats.work_ - aCost);
  if (aOutcome == AttemptOutcome::Answered) {
    stats.failures_ = 0;
  } else if (aOutcome == AttemptOutcome::Misdirected) {
    // This incarnation is gone; control has yet to hear of it.
    stats.avoidUntil_ = TimePoint::max();
  } else if (aOutcome == AttemptOutcome::Refused) {
    // It is full, not broken.
    stats.avoidUntil_ = aNow + kRefusedAvoidance;
  } else if (aOutcome != AttemptOutcome::Abandoned) {
    auto pause = kMinAvoidance * (1U << std::min(stats.failures_, 4U));
    stats.avoidUntil_ = aNow + std::min<Duration>(pause, kMaxAvoidance);
    ++stats.failures_;
  }
}

} // namespace tanagerstall
