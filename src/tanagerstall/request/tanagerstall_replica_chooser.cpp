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
constexpr double kFreeRequests = 3.0;
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr Duration kFullAvoidance = std::chrono::milliseconds(60);
constexpr Duration kLongestAvoidance = std::chrono::seconds(4);
/// Work at a replica of another region counts this much more.
constexpr double kOtherRegionRequests = 4.0;

/// The weight of the newest wait for a first part, at a replica and at all.
constexpr double kOwnSmoothing = 0.25;
constexpr double kAllSmoothing = 0.02;
constexpr std::uint32_t kLeastSamples = 3;
constexpr double kMaxSlowness = 8.0;
/// How fast an old observation loses its weight.
constexpr std::chrono::duration<double> kSlownessFades{ 3.0 };
/// The part of the replicas that is kept for long answers.
constexpr double kLongAnswerPart = 0.2;
/// With fewer replicas in a region none are kept apart.
constexpr std::size_t kLeastToSplit = 4;

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
    SplitOff(replicas);
    for (const auto& replica : replicas) {
      present_.insert(replica.id_);
    }
  }
  std::erase_if(standings_, [this](const auto& aIt) {
    return aIt.second.running_ == 0 && !present_.contains(aIt.first);
  });
}

/// Keeps a part of a service's replicas in this region for long answers.
void
ReplicaChooser::SplitOff(const std::vector<Replica>& aReplicas)
{
  std::vector<std::pair<std::uint64_t, const std::string*>> near;
  for (const auto& replica : aReplicas) {
    if (IsInRegion(replica)) {
      near.emplace_back(RankOf(0, replica.id_), &replica.id_);
    }
  }
  if (near.size() < kLeastToSplit) {
    return;
  }
  std::sort(near.begin(), near.end());
  auto kept = static_cast<std::size_t>(std::max(
    1L, std::lround(static_cast<double>(near.size()) * kLongAnswerPart)));
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
  auto it = standings_.find(aReplica.id_);
  return it == standings_.end() ? 0 : it->second.running_;
}

std::uint32_t
ReplicaChooser::Running(const std::string& aService) const
{
  std::uint32_t running = 0;
  if (auto it = replicas_->find(aService); it != replicas_->end()) {
    for (const auto& replica : it->second) {
      if (auto found = standings_.find(replica.id_);
          found != standings_.end()) {
        running += found->second.running_;
      }
    }
  }
  return running;
}

ReplicaChooser::Standing&
ReplicaChooser::StandingOf(const Replica& aReplica)
{
  Standing& standing = standings_[aReplica.id_];
  if (standing.bornMs_ != aReplica.bornMs_) {
    standing = Standing();
    standing.bornMs_ = aReplica.bornMs_;
  }
  return standing;
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
  auto it = standings_.find(aReplica.id_);
  if (it == standings_.end() || it->second.bornMs_ != aReplica.bornMs_) {
    return;
  }
  double wait = InMilliseconds(aWait);
  double& all = firstParts_.try_emplace(aReplica.service_, wait).first->second;
  all += kAllSmoothing * (wait - all);
  Standing& standing = it->second;
  standing.firstPart_ += (standing.samples_ == 0 ? 1.0 : kOwnSmoothing) *
                         (wait - standing.firstPart_);
  ++standing.samples_;
  standing.sampledAt_ = aNow;
}

/// How many times later first parts come than at the service's other replicas;
/// what was seen counts less with time, so that a replica gets its next try.
double
ReplicaChooser::SlownessOf(const Replica& aReplica, TimePoint aNow) const
{
  auto it = standings_.find(aReplica.id_);
  auto all = firstParts_.find(aReplica.service_);
  if (it == standings_.end() || all == firstParts_.end() ||
      it->second.samples_ < kLeastSamples) {
    return 1.0;
  }
  double slowness = std::clamp(
    it->second.firstPart_ / std::max(all->second, 1.0), 1.0, kMaxSlowness);
  double age = std::chrono::duration<double>(aNow - it->second.sampledAt_) /
               kSlownessFades;
  return 1.0 + (slowness - 1.0) * std::exp(-age);
}

std::vector<const Replica*>
ReplicaChooser::Candidates(const ChoiceRequest& aRequest, TimePoint aNow)
{
  std::vector<const Replica*> sound;
  std::vector<const Replica*> avoided;
  auto it = replicas_->find(aRequest.service_);
  if (it == replicas_->end()) {
    return sound;
  }
  for (const auto& replica : it->second) {
    TimePoint avoidUntil = StandingOf(replica).avoidUntil_;
    if (aRequest.excluded_.contains(replica.id_) ||
        avoidUntil == TimePoint::max()) {
      continue;
    }
    bool isAvoided = aNow < avoidUntil;
    (isAvoided ? avoided : sound).push_back(&replica);
  }
  // Where all look bad, the fault is more likely on the way to them.
  return KeptApart(sound.empty() ? avoided : sound, aRequest.isLongAnswer_);
}

/// Of this region's replicas, those for the request's kind; all, wherever they
/// are, if none of them is among `aFrom`.
std::vector<const Replica*>
ReplicaChooser::KeptApart(const std::vector<const Replica*>& aFrom,
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
    total += StandingOf(*replica).work_;
  }
  double mean = total / static_cast<double>(aFrom.size());
  double limit =
    std::max(mean * kMaxLoadFactor, mean + kFreeRequests * aRequest.cost_);
  const Replica* preferred = nullptr;
  std::uint64_t best = 0;
  const Replica* least = nullptr;
  double leastWork = std::numeric_limits<double>::max();
  std::uniform_real_distribution<double> tie(0.0, 0.1);
  for (const auto* replica : aFrom) {
    double own = StandingOf(*replica).work_ + tie(random_) * aRequest.cost_;
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
  Standing& standing = StandingOf(*chosen);
  ++standing.running_;
  standing.work_ += aRequest.cost_;
  return *chosen;
}

void
ReplicaChooser::Finish(const Replica& aReplica,
                       double aCost,
                       AttemptOutcome aOutcome,
                       TimePoint aNow)
{
  auto it = standings_.find(aReplica.id_);
  if (it == standings_.end() || it->second.bornMs_ != aReplica.bornMs_) {
    return;
  }
  Standing& standing = it->second;
  standing.running_ -= standing.running_ > 0 ? 1 : 0;
  standing.work_ =
    standing.running_ == 0 ? 0.0 : std::max(0.0, standing.work_ - aCost);
  if (aOutcome == AttemptOutcome::Answered) {
    standing.failures_ = 0;
  } else if (aOutcome == AttemptOutcome::Misdirected) {
    // This incarnation is gone; control has yet to hear of it.
    standing.avoidUntil_ = TimePoint::max();
  } else if (aOutcome == AttemptOutcome::Refused) {
    // It is full, not broken.
    standing.avoidUntil_ = aNow + kFullAvoidance;
  } else if (aOutcome != AttemptOutcome::Abandoned) {
    auto pause = kFirstAvoidance * (1U << std::min(standing.failures_, 4U));
    standing.avoidUntil_ = aNow + std::min<Duration>(pause, kLongestAvoidance);
    ++standing.failures_;
  }
}

} // namespace tanagerstall
