#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace tanagerstall {

namespace {

/// A preferred replica is skipped if it has more than this many times the mean
/// work.
constexpr double kMaxLoadFactor = 1.4;
/// A preferred replica isn't skipped if it exceeds the mean by less than the
/// work of this many requests.
constexpr double kToleratedRequests = 3.0;
/// How long a replica is avoided after a first failure, after it refused a
/// request, and at most.
constexpr Duration kMinAvoidance = std::chrono::milliseconds(500);
constexpr Duration kRefusedAvoidance = std::chrono::milliseconds(60);
constexpr Duration kMaxAvoidance = std::chrono::seconds(4);
/// Weights of the newest response in the error shares of a replica and of its
/// service.
constexpr double kReplicaErrorSmoothing = 0.3;
constexpr double kServiceErrorSmoothing = 0.02;
/// A replica is avoided after an error if its error share exceeds that of its
/// service by more than this. A single error may be caused by the request.
constexpr double kExcessErrorShare = 0.35;
/// How long a replica whose responses are all errors is avoided; others are
/// avoided for a shorter time in proportion.
constexpr Duration kErrorAvoidance = std::chrono::seconds(4);
/// The work of this many requests is added for a replica of another region.
constexpr double kOtherRegionRequests = 4.0;

/// Weights of the newest time to a first part in the moving averages of a
/// replica and of its service.
constexpr double kReplicaSmoothing = 0.25;
constexpr double kServiceSmoothing = 0.02;
/// With fewer samples, a replica isn't considered slow.
constexpr std::uint32_t kMinSamples = 3;
constexpr double kMaxSlowness = 8.0;
/// The observed slowness decays by a factor of e in this time, in seconds.
constexpr std::chrono::duration<double> kSlownessDecay{ 3.0 };
/// With fewer replicas in a region, none are reserved.
constexpr std::size_t kMinReplicasToSplit = 4;

/// Rendezvous hash: ranks replicas for a key in the same order at all entries.
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
  , rateLimits_(aSeed)
{
}

void
ReplicaChooser::SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas)
{
  replicas_ = std::move(aReplicas);
  present_.clear();
  PartitionReplicas();
  for (const auto& [service, replicas] : *replicas_) {
    for (const auto& replica : replicas) {
      present_[replica.id_] = &replica;
    }
  }
  rateLimits_.KeepOnly(
    [this](const std::string& aId) { return present_.contains(aId); });
  std::erase_if(stats_, [this](const auto& aIt) {
    return aIt.second.running_ == 0 && !present_.contains(aIt.first);
  });
}

void
ReplicaChooser::PartitionReplicas()
{
  forLongAnswers_.clear();
  forOthers_.clear();
  for (const auto& [service, replicas] : *replicas_) {
    PartitionService(service, replicas);
  }
}

/// Reserves a part of a service's replicas in this region for long responses.
/// The replicas of a smaller part are among those of a larger one, so entries
/// that differ by little in it reserve nearly the same ones.
void
ReplicaChooser::PartitionService(const std::string& aService,
                                 const std::vector<Replica>& aReplicas)
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
  double reservedShare = longAnswerShare_.Of(aService);
  auto reserved = static_cast<std::size_t>(std::max(
    1L, std::lround(static_cast<double>(near.size()) * reservedShare)));
  for (std::size_t i = 0; i < near.size(); ++i) {
    (i < reserved ? forLongAnswers_ : forOthers_).insert(*near[i].second);
  }
}

bool
ReplicaChooser::RecordNotice(const Replica& aReplica,
                             const ReplicaNotice& aNotice,
                             TimePoint aNow)
{
  return backoff_.Record(aReplica, aNotice, aNow);
}

bool
ReplicaChooser::RecordRate(const Replica& aReplica,
                           std::optional<double> aPerSecond,
                           TimePoint aSentAt,
                           TimePoint aNow)
{
  return rateLimits_.Record(aReplica, aPerSecond, aSentAt, aNow);
}

void
ReplicaChooser::SetLongResponses(
  const std::map<std::string, std::uint32_t>& aLongResponses,
  TimePoint aNow)
{
  for (const auto& [service, replicas] : *replicas_) {
    auto count = aLongResponses.find(service);
    if (count == aLongResponses.end()) {
      longAnswerShare_.Reset(service, aNow);
      continue;
    }
    std::uint64_t slots = 0;
    for (const auto& replica : replicas) {
      slots += replica.slots_;
    }
    longAnswerShare_.Update(service, count->second, slots, aNow);
  }
  PartitionReplicas();
}

void
ReplicaChooser::SetShareDivisor(std::uint32_t aDivisor)
{
  rateLimits_.SetShareDivisor(aDivisor);
}

bool
ReplicaChooser::MaySend(const Replica& aReplica, TimePoint aNow) const
{
  auto it = present_.find(aReplica.id_);
  bool isCurrent =
    it != present_.end() && it->second->startTimeMs_ == aReplica.startTimeMs_;
  auto availability = backoff_.AvailabilityOf(aReplica, aNow);
  return isCurrent && (availability == ReplicaAvailability::Open ||
                       availability == ReplicaAvailability::Returning);
}

std::optional<Duration>
ReplicaChooser::TimeUntilOpen(const std::string& aService, TimePoint aNow) const
{
  std::optional<Duration> shortest;
  auto it = replicas_->find(aService);
  if (it == replicas_->end()) {
    return shortest;
  }
  for (const auto& replica : it->second) {
    auto availability = backoff_.AvailabilityOf(replica, aNow);
    bool hasRoom = rateLimits_.MaySend(replica, aNow);
    if (availability == ReplicaAvailability::Open && hasRoom) {
      return std::nullopt;
    }
    if (availability != ReplicaAvailability::Leaving) {
      Duration wait =
        std::max(Duration::zero(), backoff_.BackoffEnd(replica) - aNow);
      // A caller that comes back finds another entry, which may have room.
      wait += hasRoom ? Duration::zero() : rateLimits_.TimePerRequest(replica);
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest;
}

std::map<std::string, std::size_t>
ReplicaChooser::CountReplicas(ReplicaAvailability aAvailability,
                              TimePoint aNow) const
{
  std::map<std::string, std::size_t> counts;
  for (const auto& [service, replicas] : *replicas_) {
    counts[service] = static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(), [&](const auto& aIt) {
        return backoff_.AvailabilityOf(aIt, aNow) == aAvailability;
      }));
  }
  return counts;
}

std::map<std::string, std::size_t>
ReplicaChooser::CountRateLimited() const
{
  std::map<std::string, std::size_t> counts;
  for (const auto& [service, replicas] : *replicas_) {
    counts[service] = static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(), [this](const auto& aIt) {
        return rateLimits_.IsLimited(aIt);
      }));
  }
  return counts;
}

bool
ReplicaChooser::IsWanted(const std::string& aId, TimePoint aNow) const
{
  auto it = present_.find(aId);
  return it != present_.end() && backoff_.AvailabilityOf(*it->second, aNow) !=
                                   ReplicaAvailability::Leaving;
}

ReturnLimit&
ReplicaChooser::ReturnLimitOf(const std::string& aService)
{
  auto it = returnLimits_.find(aService);
  if (it == returnLimits_.end()) {
    double tokens = std::uniform_real_distribution<double>()(random_);
    it = returnLimits_.try_emplace(aService, tokens).first;
  }
  return it->second;
}

/// Whether replicas of the service that return from a back-off may be chosen
/// for a request now.
bool
ReplicaChooser::MayUseReturning(const std::vector<Replica>& aReplicas,
                                TimePoint aNow)
{
  auto returning = static_cast<std::size_t>(
    std::count_if(aReplicas.begin(), aReplicas.end(), [&](const auto& aIt) {
      return backoff_.AvailabilityOf(aIt, aNow) ==
             ReplicaAvailability::Returning;
    }));
  ReturnLimit& limit = ReturnLimitOf(aReplicas.front().service_);
  limit.Update(returning, aReplicas.size(), aNow);
  return limit.HasToken();
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

/// Returns the statistics of the replica's current incarnation.
ReplicaChooser::ReplicaStats&
ReplicaChooser::StatsOf(const Replica& aReplica)
{
  ReplicaStats& stats = stats_[aReplica.id_];
  if (stats.startTimeMs_ != aReplica.startTimeMs_) {
    stats = ReplicaStats();
    stats.startTimeMs_ = aReplica.startTimeMs_;
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
  if (it == stats_.end() || it->second.startTimeMs_ != aReplica.startTimeMs_) {
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

/// Returns the replica's average time to the first part as a multiple of the
/// service's, at least 1. It decays with time so that a slow replica is tried
/// again.
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
  bool mayUseReturning = MayUseReturning(it->second, aNow);
  auto isOffered = [&](const Replica& aReplica) {
    auto availability = backoff_.AvailabilityOf(aReplica, aNow);
    return availability == ReplicaAvailability::Open ||
           (availability == ReplicaAvailability::Returning && mayUseReturning);
  };
  for (const auto& replica : it->second) {
    TimePoint avoidUntil = StatsOf(replica).avoidUntil_;
    if (aRequest.excluded_.contains(replica.id_) ||
        avoidUntil == TimePoint::max() || !isOffered(replica) ||
        !rateLimits_.MaySend(replica, aNow) ||
        (aRequest.version_ && *aRequest.version_ != replica.version_) ||
        (aRequest.isAllowed_ && !aRequest.isAllowed_(replica))) {
      continue;
    }
    bool isAvoided = aNow < avoidUntil;
    (isAvoided ? avoided : healthy).push_back(&replica);
  }
  if (aRequest.needsHealthy_) {
    avoided.clear();
  }
  // If all replicas failed, the fault is more likely in the network between.
  return FilterByWork(healthy.empty() ? avoided : healthy, aRequest.work_);
}

/// Returns those of `aFrom` that are in this region and meant for long or short
/// responses, or all of `aFrom` if there are none. Plain calls use all
/// replicas.
std::vector<const Replica*>
ReplicaChooser::FilterByWork(const std::vector<const Replica*>& aFrom,
                             WorkClass aWork) const
{
  if (aWork == WorkClass::Plain) {
    return aFrom;
  }
  const auto& allowed = aWork == WorkClass::Long ? forLongAnswers_ : forOthers_;
  std::vector<const Replica*> matching;
  std::copy_if(aFrom.begin(),
               aFrom.end(),
               std::back_inserter(matching),
               [&](const auto* aIt) { return allowed.contains(aIt->id_); });
  return matching.empty() ? aFrom : matching;
}

/// Returns the preferred replica for the affinity key that isn't overloaded,
/// or the one with the least weighted work. Replicas of this region are
/// favoured.
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
  ReturnLimit& limit = ReturnLimitOf(aRequest.service_);
  limit.OnRequest(aNow);
  auto candidates = Candidates(aRequest, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const Replica* chosen = Pick(candidates, aRequest, aNow);
  if (backoff_.AvailabilityOf(*chosen, aNow) ==
      ReplicaAvailability::Returning) {
    limit.TakeToken();
  }
  rateLimits_.OnSend(*chosen, aNow);
  ReplicaStats& stats = StatsOf(*chosen);
  ++stats.running_;
  stats.work_ += aRequest.cost_;
  return *chosen;
}

void
ReplicaChooser::RecordResponse(const std::string& aService,
                               ReplicaStats& aStats,
                               bool aIsError,
                               TimePoint aNow)
{
  double value = aIsError ? 1.0 : 0.0;
  double& all = serviceErrorShare_[aService];
  all += kServiceErrorSmoothing * (value - all);
  aStats.errorShare_ += kReplicaErrorSmoothing * (value - aStats.errorShare_);
  if (aIsError && aStats.errorShare_ - all > kExcessErrorShare) {
    aStats.avoidUntil_ = aNow + std::chrono::duration_cast<Duration>(
                                  kErrorAvoidance * aStats.errorShare_);
  }
}

void
ReplicaChooser::Finish(const Replica& aReplica,
                       double aCost,
                       AttemptOutcome aOutcome,
                       TimePoint aNow)
{
  auto it = stats_.find(aReplica.id_);
  if (it == stats_.end() || it->second.startTimeMs_ != aReplica.startTimeMs_) {
    return;
  }
  ReplicaStats& stats = it->second;
  stats.running_ -= stats.running_ > 0 ? 1 : 0;
  stats.work_ = stats.running_ == 0 ? 0.0 : std::max(0.0, stats.work_ - aCost);
  if (aOutcome == AttemptOutcome::Answered ||
      aOutcome == AttemptOutcome::Failed) {
    stats.failures_ = 0;
    RecordResponse(
      aReplica.service_, stats, aOutcome == AttemptOutcome::Failed, aNow);
  } else if (aOutcome == AttemptOutcome::Misdirected) {
    // This incarnation has departed; the control members don't know it yet.
    stats.avoidUntil_ = TimePoint::max();
  } else if (aOutcome == AttemptOutcome::Refused) {
    // The replica is full rather than faulty.
    stats.avoidUntil_ = aNow + kRefusedAvoidance;
  } else if (aOutcome != AttemptOutcome::Abandoned &&
             aOutcome != AttemptOutcome::Withdrawn) {
    auto pause = kMinAvoidance * (1U << std::min(stats.failures_, 4U));
    stats.avoidUntil_ = aNow + std::min<Duration>(pause, kMaxAvoidance);
    ++stats.failures_;
  }
}

} // namespace tanagerstall
