#include "tanagerstall/request/tanagerstall_admission_control.hpp"

#include "tanagerstall/request/tanagerstall_request_rank.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace tanagerstall {

namespace {

/// The time over which the work served is averaged.
constexpr std::chrono::duration<double> kServedTime{ 1.0 };
/// Waits as fractions of a rank's budget, its target latency. Waits are means,
/// and a part of the requests waits twice as long. Requests are refused once
/// the wait exceeds `kOverloadWait`, until it was below `kHeldWait` for
/// `kHoldTime`. Meanwhile, the least urgent ones are refused above
/// `kLowestWait`, and all above `kHighestWait`. In the simulation, refusals at
/// short waits without an overload cost more than they brought in time.
constexpr double kOverloadWait = 0.85;
/// The same by an entry's own sums, which vary more by chance.
constexpr double kOwnOverloadWait = 1.1;
constexpr double kHeldWait = 0.65;
constexpr Duration kHoldTime = std::chrono::seconds(2);
constexpr double kHighestWait = 0.8;
constexpr double kLowestWait = 0.5;
/// The part of each rank's requests that the level never refuses.
constexpr double kFloor = 0.1;
/// Nothing is refused while fewer of the slots are in use.
constexpr double kMinUse = 0.5;
/// The standard deviations by which an entry reduces its own counts before it
/// decides by them.
constexpr double kRunningDeviations = 2.0;
constexpr double kWaitingDeviations = 1.5;
/// The sums over all entries are used up to the first age, and the entry's own
/// from the second on, with a transition.
constexpr Duration kFreshAge = std::chrono::milliseconds(500);
constexpr Duration kStaleAge = std::chrono::milliseconds(1000);
/// How long a caller keeps its place among the requests of its rank. Shorter
/// than most overloads, so that no caller is refused throughout.
constexpr Duration kPlaceTime = std::chrono::seconds(2);
/// A request was refused before if its time left, as a part of its route's
/// timeout, is below this fraction of the largest part of recent requests.
constexpr double kReturnedTimeLeft = 0.95;
/// The weight of the newest request in the largest part, if its part is less.
constexpr double kTimeLeftSmoothing = 0.002;
/// Such a request moves forward in its rank by this factor.
constexpr double kReturnedFactor = 0.5;
/// The weight of the entry's own sums while those over all entries are fresh
/// and show an overload. Own sums aren't delayed, which damps oscillations.
constexpr double kOwnWeight = 0.25;
/// Callers honour a Retry-After of at most a third of their remaining time.
constexpr int kRetryPart = 3;
/// An overload has ended if nothing was refused for so long.
constexpr Duration kOverloadGap = std::chrono::seconds(1);

/// Mixes the bits of a key (the finaliser of MurmurHash3).
std::uint64_t
Mix(std::uint64_t aKey)
{
  aKey ^= aKey >> 33U;
  aKey *= 0xff51afd7ed558ccdULL;
  aKey ^= aKey >> 33U;
  aKey *= 0xc4ceb9fe1a85ec53ULL;
  aKey ^= aKey >> 33U;
  return aKey;
}

double
InterpolateLinearly(double aFrom, double aTo, double aPart)
{
  return aFrom + (aTo - aFrom) * aPart;
}

} // namespace

AdmissionControl::AdmissionControl(std::uint64_t aSeed)
  : random_(aSeed)
  , salt_(random_())
{
}

void
AdmissionControl::SetPlan(const TrafficPlan& aPlan)
{
  std::map<std::string, std::map<std::uint32_t, double>> targets;
  for (const auto& route : aPlan.routes_) {
    if (route.targetLatency_ <= Milliseconds::zero()) {
      continue;
    }
    std::set<std::uint32_t> ranks{ RankOf(std::nullopt, route.priority_) };
    if (aPlan.organisations_) {
      for (const auto& organisation : *aPlan.organisations_) {
        ranks.insert(RankOf(organisation.priority_, route.priority_));
      }
    }
    for (const auto& target : route.services_) {
      auto service = aPlan.services_.find(target.service_);
      if (service == aPlan.services_.end() || !service->second.engine_) {
        continue;
      }
      for (std::uint32_t rank : ranks) {
        auto [it, isNew] = targets[target.service_].try_emplace(
          rank, InSeconds(route.targetLatency_));
        it->second = std::min(it->second, InSeconds(route.targetLatency_));
      }
    }
  }
  std::erase_if(services_,
                [&](const auto& aIt) { return !targets.contains(aIt.first); });
  for (const auto& [name, ranks] : targets) {
    Service& service = services_[name];
    service.slots_ = slots_[name];
    std::erase_if(service.ranks_, [&ranks = ranks](const auto& aIt) {
      return !ranks.contains(aIt.first);
    });
    double budget = std::numeric_limits<double>::max();
    for (const auto& [rank, target] : ranks) {
      budget = std::min(budget, target);
      service.ranks_[rank].budget_ = budget;
    }
  }
}

void
AdmissionControl::SetReplicas(const ReplicasByService& aReplicas)
{
  slots_.clear();
  for (const auto& [service, replicas] : aReplicas) {
    std::uint64_t& slots = slots_[service];
    for (const auto& replica : replicas) {
      slots += replica.slots_;
    }
  }
  for (auto& [name, service] : services_) {
    service.slots_ = slots_[name];
  }
}

void
AdmissionControl::SetShareDivisor(std::uint32_t aDivisor)
{
  divisor_ = std::max(1U, aDivisor);
}

void
AdmissionControl::AdoptSums(AdmissionSumsByService aSums, TimePoint aReportedAt)
{
  shared_ = std::move(aSums);
  sharedAt_ = aReportedAt;
}

AdmissionControl::Service*
AdmissionControl::Find(std::string_view aService)
{
  auto it = services_.find(aService);
  return it == services_.end() ? nullptr : &it->second;
}

void
AdmissionControl::Decay(Service& aService, TimePoint aNow)
{
  if (aNow <= aService.decayedAt_) {
    return;
  }
  double age =
    std::chrono::duration<double>(aNow - aService.decayedAt_) / kServedTime;
  double factor = std::exp(-age);
  for (auto& [rank, state] : aService.ranks_) {
    state.served_ *= factor;
  }
  aService.decayedAt_ = aNow;
}

AdmissionSums
AdmissionControl::OwnSums(const Service& aService, TimePoint aNow)
{
  AdmissionSums sums;
  sums.running_ = aService.running_;
  double age =
    aService.startedAt_
      ? std::chrono::duration<double>(aNow - *aService.startedAt_) / kServedTime
      : 0.0;
  // The average covers no more than the time since the first request.
  double covered = kServedTime.count() * (1.0 - std::exp(-age));
  for (const auto& [rank, state] : aService.ranks_) {
    double served = covered > 0.0 ? state.served_ / covered : 0.0;
    sums.ranks_[rank] = { std::max(0.0, state.waiting_), served };
  }
  return sums;
}

/// Returns the level by sums that cover `aShares` of the service's callers.
AdmissionControl::Level
AdmissionControl::LevelBy(const AdmissionSums& aSums,
                          const Service& aService,
                          double aShares)
{
  auto ranks = static_cast<double>(aService.ranks_.size());
  Level level;
  level.admitted_ = ranks;
  if (aService.slots_ == 0 ||
      aSums.running_ <
        kMinUse * aShares * static_cast<double>(aService.slots_)) {
    return level;
  }
  double waiting = 0.0;
  double served = 0.0;
  double peak = 0.0;
  double position = 0.0;
  for (const auto& [rank, state] : aService.ranks_) {
    auto work = aSums.ranks_.find(rank);
    if (work != aSums.ranks_.end()) {
      waiting += work->second.waiting_;
      served += work->second.servedPerS_;
      peak = work->second.peakWaitS_;
    }
    double place = position;
    position += 1.0;
    if (waiting <= 0.0) {
      continue;
    }
    double wait = waiting / std::max(served, 1.0);
    level.wait_ = std::max(
      level.wait_,
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::min(wait, InSeconds(std::chrono::hours(1))))));
    // By the peak, all entries see the same overloads, whenever they ask.
    level.pressure_ =
      std::max(level.pressure_, std::max(wait, peak) / state.budget_);
    // The priority, as a part of all ranks, whose threshold is this wait.
    double part =
      (kHighestWait - wait / state.budget_) / (kHighestWait - kLowestWait);
    // The wait of a rank doesn't limit more urgent ones, which overtake it.
    level.admitted_ =
      std::min(level.admitted_, std::max(place, std::max(0.0, part) * ranks));
  }
  return level;
}

/// Reduces what one entry counts by standard deviations, since a few requests
/// more than usual at one of many entries show no overload.
void
AdmissionControl::ReduceBySpread(AdmissionSums& aSums, const Service& aService)
{
  auto reduced = [](double aCount, double aDeviations) {
    return std::max(0.0, aCount - aDeviations * std::sqrt(aCount));
  };
  aSums.running_ =
    static_cast<std::uint32_t>(reduced(aSums.running_, kRunningDeviations));
  for (const auto& [rank, state] : aService.ranks_) {
    double part = state.waitingRequests_ == 0
                    ? 0.0
                    : reduced(state.waitingRequests_, kWaitingDeviations) /
                        state.waitingRequests_;
    aSums.ranks_[rank].waiting_ *= part;
  }
}

AdmissionControl::Level
AdmissionControl::LevelOf(const std::string& aName,
                          Service& aService,
                          TimePoint aNow)
{
  Decay(aService, aNow);
  AdmissionSums sums = OwnSums(aService, aNow);
  if (aNow >= aService.overloadedUntil_) {
    ReduceBySpread(sums, aService);
  }
  Level own = LevelBy(sums, aService, 1.0 / divisor_);
  auto shared = shared_.find(aName);
  if (!sharedAt_ || shared == shared_.end() || aNow - *sharedAt_ >= kStaleAge) {
    return Hold(aService, own, aNow);
  }
  Duration age = aNow - *sharedAt_;
  Level level = LevelBy(shared->second, aService, 1.0);
  double stale = std::clamp(
    InSeconds(age - kFreshAge) / InSeconds(kStaleAge - kFreshAge), 0.0, 1.0);
  bool isOverloaded =
    level.admitted_ < static_cast<double>(aService.ranks_.size());
  double ownPart = isOverloaded ? std::max(stale, kOwnWeight) : stale;
  level.admitted_ =
    InterpolateLinearly(level.admitted_, own.admitted_, ownPart);
  level.sharedAge_ = age;
  return Hold(aService, level, aNow);
}

/// Refuses nothing until the wait is clearly too long, and then until it has
/// been short for a while. At a lower wait, refusals would cost more responses
/// than they bring in time.
AdmissionControl::Level
AdmissionControl::Hold(Service& aService, Level aLevel, TimePoint aNow)
{
  bool isHeld = aNow < aService.overloadedUntil_;
  double overloadWait = aLevel.sharedAge_ ? kOverloadWait : kOwnOverloadWait;
  if (aLevel.pressure_ > (isHeld ? kHeldWait : overloadWait)) {
    aService.overloadedUntil_ = aNow + kHoldTime;
    isHeld = true;
  }
  if (!isHeld) {
    aLevel.admitted_ = static_cast<double>(aService.ranks_.size());
  }
  return aLevel;
}

/// Returns the place of a request among those of its rank, from 0 to 1.
double
AdmissionControl::FractionOf(const AdmissionRequest& aRequest,
                             TimePoint aNow) const
{
  auto turn = static_cast<std::uint64_t>(aNow.time_since_epoch() / kPlaceTime);
  std::uint64_t hash = Mix(aRequest.caller_ ^ Mix(salt_ + turn));
  return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

/// Returns the time that the caller has used for an earlier call; zero if there
/// seems to be none. Callers may state less time than the route's timeout in
/// their first call, so it counts from what recent requests of the rank had.
Duration
AdmissionControl::UsedTime(const AdmissionRequest& aRequest, Rank& aRank)
{
  if (aRequest.timeout_ <= Duration::zero()) {
    return Duration::zero();
  }
  double part = InSeconds(aRequest.timeLeft_) / InSeconds(aRequest.timeout_);
  double& largest = aRank.largestTimeLeft_;
  largest = std::max(part, largest + kTimeLeftSmoothing * (part - largest));
  if (part >= kReturnedTimeLeft * largest) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>((largest - part) *
                                              aRequest.timeout_);
}

AdmissionDecision
AdmissionControl::Decide(const AdmissionRequest& aRequest, TimePoint aNow)
{
  AdmissionDecision decision;
  auto it = services_.find(aRequest.service_);
  if (it == services_.end() || aRequest.target_ <= Duration::zero()) {
    return decision;
  }
  Service& service = it->second;
  Level level = LevelOf(it->first, service, aNow);
  decision.estimate_ =
    service.estimate_.Estimate(aRequest.rank_, aRequest.promptTokens_, aNow);
  double fraction = FractionOf(aRequest, aNow);
  bool isInFloor = fraction < kFloor;
  auto rank = service.ranks_.lower_bound(aRequest.rank_);
  auto place = static_cast<double>(std::distance(service.ranks_.begin(), rank));
  Duration used = rank == service.ranks_.end()
                    ? Duration::zero()
                    : UsedTime(aRequest, rank->second);
  if (used > Duration::zero()) {
    // One that misses its target latency anyway would delay others and earn
    // little.
    bool willBeLate = used + decision.estimate_ > aRequest.target_;
    decision.priority_ = willBeLate ? static_cast<double>(service.ranks_.size())
                                    : place + fraction * kReturnedFactor;
  } else {
    decision.priority_ = place + fraction;
  }
  decision.level_ = level.admitted_;
  decision.sharedAge_ = level.sharedAge_;
  bool isOverloaded =
    level.admitted_ < static_cast<double>(service.ranks_.size());
  decision.isHopeless_ =
    isOverloaded && decision.estimate_ > aRequest.timeLeft_;
  decision.isRefused_ = decision.isHopeless_ ||
                        (decision.priority_ > level.admitted_ && !isInFloor);
  if (decision.isRefused_) {
    if (!service.refusesSince_ || aNow - service.refusedAt_ > kOverloadGap) {
      service.refusesSince_ = aNow;
    }
    service.refusedAt_ = aNow;
    decision.retryAfter_ = RetryAfter(aRequest, service, level, aNow);
  }
  return decision;
}

/// An overload is expected to last as long again as it has lasted, at least the
/// wait of the work that has been sent.
Duration
AdmissionControl::RetryAfter(const AdmissionRequest& aRequest,
                             const Service& aService,
                             const Level& aLevel,
                             TimePoint aNow)
{
  Duration expected = std::max(aLevel.wait_, aNow - *aService.refusesSince_);
  Duration longest =
    std::max(Duration::zero(), aRequest.timeLeft_ / kRetryPart);
  std::uniform_real_distribution<double> part(0.3, 1.0);
  return std::chrono::duration_cast<Duration>(part(random_) *
                                              std::min(expected, longest));
}

/// A request may end after its rank was removed and added by other plans.
void
AdmissionControl::EndWaiting(Service& aService,
                             const AdmissionRequest& aRequest,
                             bool aIsServed)
{
  auto it = aService.ranks_.find(aRequest.rank_);
  if (it == aService.ranks_.end()) {
    return;
  }
  Rank& rank = it->second;
  rank.waiting_ = std::max(0.0, rank.waiting_ - aRequest.work_);
  rank.waitingRequests_ -= std::min(1U, rank.waitingRequests_);
  rank.served_ += aIsServed ? aRequest.work_ : 0.0;
}

void
AdmissionControl::OnSend(const AdmissionRequest& aRequest, TimePoint aNow)
{
  if (Service* service = Find(aRequest.service_)) {
    if (!service->startedAt_) {
      service->startedAt_ = aNow;
    }
    ++service->running_;
    if (auto it = service->ranks_.find(aRequest.rank_);
        it != service->ranks_.end()) {
      it->second.waiting_ += aRequest.work_;
      ++it->second.waitingRequests_;
    }
  }
}

void
AdmissionControl::OnFirstPart(const AdmissionRequest& aRequest,
                              Duration aWait,
                              TimePoint aNow)
{
  if (Service* service = Find(aRequest.service_)) {
    Decay(*service, aNow);
    EndWaiting(*service, aRequest, true);
    service->estimate_.Observe(
      aRequest.rank_, aRequest.promptTokens_, aWait, aNow);
  }
}

void
AdmissionControl::OnEnd(const AdmissionRequest& aRequest,
                        bool aHadFirstPart,
                        std::optional<Duration> aExpiredWait,
                        TimePoint aNow)
{
  Service* service = Find(aRequest.service_);
  if (service == nullptr) {
    return;
  }
  service->running_ -= std::min(1U, service->running_);
  if (!aHadFirstPart) {
    EndWaiting(*service, aRequest, false);
  }
  if (aExpiredWait) {
    service->estimate_.Observe(
      aRequest.rank_, aRequest.promptTokens_, *aExpiredWait, aNow);
  }
}

AdmissionSumsByService
AdmissionControl::Report(TimePoint aNow)
{
  AdmissionSumsByService report;
  for (auto& [name, service] : services_) {
    Decay(service, aNow);
    if (service.startedAt_) {
      report[name] = OwnSums(service, aNow);
    }
  }
  return report;
}

std::map<std::string, double>
AdmissionControl::Levels(TimePoint aNow)
{
  std::map<std::string, double> levels;
  for (auto& [name, service] : services_) {
    levels[name] = LevelOf(name, service, aNow).admitted_;
  }
  return levels;
}

} // namespace tanagerstall
