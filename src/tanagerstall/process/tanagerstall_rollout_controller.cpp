#include "tanagerstall/process/tanagerstall_rollout_controller.hpp"

#include "tanagerstall/process/presence/tanagerstall_rollout_sides.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace tanagerstall {

namespace {

/// The parts of the bounds that the canary phase uses. The rest covers retries,
/// which count as requests here, and the first step after the phase.
constexpr double kUsedShare = 0.75;
constexpr double kUsedSlack = 0.7;
/// The time from a change of the share until all entries have learnt of it and
/// the counts show it.
constexpr Duration kShareDelay = std::chrono::seconds(1);
/// The time over which what is left of the bounds is used.
constexpr Duration kUseTime = std::chrono::seconds(1);
/// The highest share of the canary phase, and the highest one at which a single
/// new replica carries as much as each of a few old ones.
constexpr double kMaxCanaryShare = 0.12;
constexpr double kMaxSingleShare = 0.25;
/// The load of a new replica relative to an old one isn't higher than this.
constexpr double kMaxRelativeLoad = 1.1;
/// The share isn't changed more often, unless it falls by a lot, nor by less.
constexpr Duration kAdjustInterval = std::chrono::milliseconds(400);
constexpr double kMinChange = 0.1;
constexpr double kLargeFall = 0.7;
/// Parts of a roll-out's time: the end of the canary phase, its end at the
/// latest if the new replicas came late, the least time that it takes from
/// their first request, and the time in which the share rises.
constexpr double kCanaryEnd = 0.65;
constexpr double kLatestCanaryEnd = 0.8;
constexpr double kMinCanary = 0.4;
constexpr double kRamp = 0.1;
/// The same phases of a long roll-out are limited to these times.
constexpr Duration kMaxCanary = std::chrono::minutes(10);
constexpr Duration kMaxRamp = std::chrono::minutes(1);
constexpr std::array<double, 3> kRampShares{ 0.25, 0.5, 1.0 };
/// The time before the deadline at which the old side's work isn't awaited any
/// longer, and its part of the duration at most.
constexpr Duration kFinishMargin = std::chrono::milliseconds(500);
constexpr double kFinishPart = 0.05;
/// The new version needs this part of the old replicas' number to take over.
constexpr double kMinReplicaRatio = 0.6;
/// The part of the entries that must have reported before a share is given.
constexpr double kMostEntries = 0.8;
/// An entry that has been silent for longer doesn't follow any share.
constexpr Duration kSilence = std::chrono::milliseconds(2500);
/// How long a share that was replaced may still be in use.
constexpr Duration kShareMemory = std::chrono::seconds(4);
constexpr Duration kRateInterval = std::chrono::milliseconds(250);
constexpr double kRateSeconds = 1.0;
/// With more requests than this and none at the new side, the version has not
/// been tested.
constexpr double kMinUntested = 50.0;
/// With as many requests at the new side, the canary phase of an earlier leader
/// is continued.
constexpr std::uint64_t kMinContinued = 20;

Duration
Part(Duration aOf, double aPart)
{
  return std::chrono::duration_cast<Duration>(aOf * aPart);
}

Duration
FinishTime(Duration aLength)
{
  return aLength - std::min(kFinishMargin, Part(aLength, kFinishPart));
}

double
Sent(const RolloutTally& aTally)
{
  return static_cast<double>(aTally.old_.sent_ + aTally.new_.sent_);
}

std::int64_t
InProgress(const RolloutCounts& aCounts)
{
  return static_cast<std::int64_t>(aCounts.sent_ - aCounts.ended_);
}

/// The number of old replicas whose load the new version gets.
double
LoadInReplicas(double aShare, const RolloutReplicas& aReplicas)
{
  return aShare / (1.0 - aShare) * static_cast<double>(aReplicas.old_);
}

} // namespace

std::map<std::string, RolloutReplicas>
CountSides(const std::map<std::string, Rollout>& aRollouts,
           const ReplicasByService& aPresent)
{
  std::map<std::string, RolloutReplicas> sides;
  for (const auto& [service, rollout] : aRollouts) {
    auto replicas = aPresent.find(service);
    if (rollout.state_ != RolloutState::Running || replicas == aPresent.end()) {
      continue;
    }
    for (const auto& replica : replicas->second) {
      ++(IsNewVersion(rollout, replica) ? sides[service].new_
                                        : sides[service].old_);
    }
  }
  return sides;
}

RolloutController::Running::Running(const Rollout& aRollout)
  : rollout_(aRollout)
  , verdict_(std::min<Duration>(aRollout.order_.duration_, kMaxCanary))
{
}

RolloutController::RolloutController(RolloutBounds aBounds,
                                     std::uint64_t aFirstRevision)
  : bounds_(aBounds)
  , revision_(aFirstRevision + 1)
{
}

void
RolloutController::SetRollouts(const std::map<std::string, Rollout>& aRollouts)
{
  if (rollouts_ == aRollouts) {
    return;
  }
  rollouts_ = aRollouts;
  ++revision_;
  std::erase_if(running_, [&](const auto& aIt) {
    auto it = rollouts_.find(aIt.first);
    return it == rollouts_.end() || !(it->second == aIt.second.rollout_);
  });
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.state_ == RolloutState::Running) {
      running_.try_emplace(service, rollout);
    }
  }
}

void
RolloutController::StartLeading(TimePoint aNow)
{
  StopLeading();
  isLeading_ = true;
  for (auto& [service, running] : running_) {
    running.adjustedAt_ = aNow;
  }
}

void
RolloutController::StopLeading()
{
  isLeading_ = false;
  ++revision_;
  for (auto& [service, running] : running_) {
    Running fresh(running.rollout_);
    fresh.entries_ = std::move(running.entries_);
    fresh.sums_ = std::move(running.sums_);
    for (auto& [run, entry] : fresh.entries_) {
      entry.isHeard_ = false;
    }
    running = std::move(fresh);
  }
}

void
RolloutController::Record(const std::string& aEntry,
                          const std::vector<RolloutCounts>& aCounts,
                          std::uint64_t aRevision,
                          TimePoint aNow)
{
  for (auto& [service, running] : running_) {
    RecordEntry(running, aEntry, aCounts);
    Entry& entry = running.entries_[aEntry];
    entry.heardAt_ = aNow;
    entry.revision_ = aRevision;
    // The directives with this revision contain the roll-out.
    bool knowsRollout = aRevision == revision_;
    std::uint64_t id = running.rollout_.id_;
    bool hasCounts =
      std::any_of(aCounts.begin(), aCounts.end(), [id](const auto& aIt) {
        return aIt.id_ == id;
      });
    entry.isHeard_ = entry.isHeard_ || knowsRollout || hasCounts;
  }
}

/// Adds what an entry counted since its last report to the sums. Counts never
/// decrease within a run, so a report that was overtaken adds nothing.
void
RolloutController::RecordEntry(Running& aRunning,
                               const std::string& aEntry,
                               const std::vector<RolloutCounts>& aCounts)
{
  bool isFirst = !aRunning.entries_.contains(aEntry);
  Entry& entry = aRunning.entries_[aEntry];
  for (const auto& counts : aCounts) {
    if (counts.id_ != aRunning.rollout_.id_) {
      continue;
    }
    RolloutCounts& known =
      entry.counts_[{ counts.isNewVersion_, counts.route_ }];
    if (counts.sent_ < known.sent_ || counts.ended_ < known.ended_) {
      continue;
    }
    RolloutCounts added = counts;
    added.sent_ -= known.sent_;
    added.ended_ -= known.ended_;
    added.failed_ -= std::min(added.failed_, known.failed_);
    for (std::size_t i = 0; i < kRolloutBuckets; ++i) {
      added.firstParts_.at(i) -=
        std::min(added.firstParts_.at(i), known.firstParts_.at(i));
    }
    known = counts;
    for (const auto& route : { counts.route_, std::string() }) {
      RolloutTally& sum = aRunning.sums_[route];
      AddCounts(counts.isNewVersion_ ? sum.new_ : sum.old_, added);
    }
    // What a run counted before its first report here says nothing of the rate.
    aRunning.added_ += isFirst ? 0.0 : static_cast<double>(added.sent_);
  }
}

void
RolloutController::UpdateRate(Running& aRunning, TimePoint aNow)
{
  if (!aRunning.rateFrom_) {
    aRunning.rateFrom_ = aNow;
    aRunning.added_ = 0.0;
    return;
  }
  if (aNow - *aRunning.rateFrom_ < kRateInterval) {
    return;
  }
  double elapsed = InSeconds(aNow - *aRunning.rateFrom_);
  double rate = aRunning.added_ / elapsed;
  aRunning.added_ = 0.0;
  aRunning.rateFrom_ = aNow;
  double& smoothed =
    aRunning.rate_ ? *aRunning.rate_ : aRunning.rate_.emplace(rate);
  smoothed += (1.0 - std::exp(-elapsed / kRateSeconds)) * (rate - smoothed);
}

bool
RolloutController::HasHeardMost(const Running& aRunning, const Moment& aMoment)
{
  auto heard = std::count_if(
    aMoment.entries_.begin(), aMoment.entries_.end(), [&](const auto& aIt) {
      auto entry = aRunning.entries_.find(aIt);
      return entry != aRunning.entries_.end() && entry->second.isHeard_;
    });
  return !aMoment.entries_.empty() &&
         static_cast<double>(heard) >=
           kMostEntries * static_cast<double>(aMoment.entries_.size());
}

/// Returns the mean request share that entries may be using now. One that has
/// not confirmed the latest share may use the highest of those given since the
/// one that it confirmed.
double
RolloutController::ShareInUse(const Running& aRunning, const Moment& aMoment)
{
  double sum = 0.0;
  for (const auto& run : aMoment.entries_) {
    auto entry = aRunning.entries_.find(run);
    if (entry == aRunning.entries_.end() ||
        aMoment.now_ - entry->second.heardAt_ > kSilence) {
      continue;
    }
    double highest = aRunning.requestShare_;
    for (auto it = aRunning.given_.rbegin(); it != aRunning.given_.rend();
         ++it) {
      highest = std::max(highest, it->share_);
      if (it->revision_ <= entry->second.revision_) {
        break;
      }
    }
    sum += highest;
  }
  return sum / std::max(1.0, static_cast<double>(aMoment.entries_.size()));
}

bool
RolloutController::HasEnough(const RolloutReplicas& aReplicas)
{
  return aReplicas.new_ > 0 &&
         static_cast<double>(aReplicas.new_) >=
           kMinReplicaRatio * static_cast<double>(aReplicas.old_);
}

Duration
RolloutController::CanaryEnd(const Running& aRunning, const Moment& aMoment)
{
  Duration length = aMoment.length_;
  Duration end = std::min(Part(length, kCanaryEnd), kMaxCanary);
  if (aRunning.newSince_) {
    Duration least = std::min(Part(length, kMinCanary), kMaxCanary);
    end = std::max(end, *aRunning.newSince_ + least);
  }
  return std::min(end, Part(length, kLatestCanaryEnd));
}

/// Returns the request share that uses what is left of the bounds. Entries that
/// use a higher share go on with it until they learn of this one.
double
RolloutController::CanaryShare(const Running& aRunning,
                               const Moment& aMoment) const
{
  const RolloutReplicas& replicas = aMoment.replicas_;
  auto sums = aRunning.sums_.find("");
  if (replicas.new_ == 0 || !aRunning.rate_) {
    return 0.0;
  }
  RolloutTally none;
  const RolloutTally& counts =
    sums == aRunning.sums_.end() ? none : sums->second;
  double rate = std::max(1.0, *aRunning.rate_);
  double left = kUsedShare * bounds_.exposureShare_ * Sent(counts) +
                kUsedSlack * bounds_.exposureSlack_ -
                static_cast<double>(counts.new_.sent_);
  double delay = InSeconds(kShareDelay);
  double lasting = left / (rate * (delay + InSeconds(kUseTime)));
  double reserve = ShareInUse(aRunning, aMoment) * rate * delay;
  double afterReserve = (left - reserve) / (rate * InSeconds(kUseTime));
  double single = 1.0 / (1.0 + static_cast<double>(replicas.old_));
  double highest = std::max(kMaxCanaryShare, std::min(single, kMaxSingleShare));
  return std::clamp(std::min(lasting, afterReserve), 0.0, highest);
}

bool
RolloutController::IsOldIdle(const Running& aRunning, const Moment& aMoment)
{
  std::uint64_t allGivenAt =
    aRunning.given_.empty() ? 0 : aRunning.given_.back().revision_;
  std::int64_t inProgress = 0;
  for (const auto& run : aMoment.entries_) {
    auto entry = aRunning.entries_.find(run);
    if (entry == aRunning.entries_.end() ||
        entry->second.revision_ < allGivenAt) {
      return false;
    }
    for (const auto& [key, counts] : entry->second.counts_) {
      inProgress += key.first ? 0 : InProgress(counts);
    }
  }
  return inProgress <= 0;
}

void
RolloutController::Update(const RolloutFleet& aFleet,
                          TimePoint aNow,
                          WallTime aWallNow)
{
  if (!isLeading_) {
    return;
  }
  for (auto& [service, running] : running_) {
    auto replicas = aFleet.replicas_.find(service);
    const RolloutOrder& order = running.rollout_.order_;
    Moment moment{ aNow,
                   aWallNow,
                   aWallNow - order.orderedAt_,
                   order.duration_,
                   replicas == aFleet.replicas_.end() ? RolloutReplicas()
                                                      : replicas->second,
                   aFleet.entries_ };
    UpdateRate(running, aNow);
    if (!running.end_) {
      UpdateOne(running, moment);
    }
  }
}

void
RolloutController::UpdateOne(Running& aRunning, const Moment& aMoment)
{
  auto sums = aRunning.sums_.find("");
  if (!aRunning.newSince_ && sums != aRunning.sums_.end() &&
      sums->second.new_.sent_ > 0) {
    aRunning.newSince_ = aMoment.elapsed_;
  }
  if (auto evidence = aRunning.verdict_.Judge(aRunning.sums_, aMoment.now_)) {
    const char* reason = evidence->isSlow_ ? "slow responses" : "failures";
    End(aRunning, aMoment, RolloutState::RolledBack, reason, evidence);
    return;
  }
  bool isDraining = aRunning.phase_ == Phase::Drain;
  bool mustFinish = aMoment.elapsed_ >= FinishTime(aMoment.length_);
  if (isDraining && (mustFinish || IsOldIdle(aRunning, aMoment))) {
    End(aRunning,
        aMoment,
        RolloutState::Completed,
        mustFinish ? "deadline near" : "old side idle");
    return;
  }
  if (aMoment.elapsed_ >= aMoment.length_) {
    End(aRunning, aMoment, RolloutState::RolledBack, "deadline");
    return;
  }
  switch (aRunning.phase_) {
    case Phase::Listening:
      Listen(aRunning, aMoment);
      break;
    case Phase::Canary:
      AdjustCanary(aRunning, aMoment);
      break;
    case Phase::Ramp:
      Rise(aRunning, aMoment);
      break;
    case Phase::Drain:
      break;
  }
}

void
RolloutController::Listen(Running& aRunning, const Moment& aMoment)
{
  if (!HasHeardMost(aRunning, aMoment)) {
    // A rate over a part of the entries would be too low.
    aRunning.rateFrom_.reset();
    aRunning.rate_.reset();
    return;
  }
  if (aRunning.rate_) {
    auto sums = aRunning.sums_.find("");
    bool isContinued =
      sums != aRunning.sums_.end() && sums->second.new_.sent_ >= kMinContinued;
    if (isContinued) {
      aRunning.newSince_ = Duration::zero();
    }
    aRunning.phase_ = Phase::Canary;
    AdjustCanary(aRunning, aMoment);
  }
}

void
RolloutController::AdjustCanary(Running& aRunning, const Moment& aMoment)
{
  auto sums = aRunning.sums_.find("");
  bool isUntested = !aRunning.newSince_ && sums != aRunning.sums_.end() &&
                    Sent(sums->second) > kMinUntested;
  if (aMoment.elapsed_ >= CanaryEnd(aRunning, aMoment) && !isUntested &&
      HasEnough(aMoment.replicas_)) {
    Duration rest = FinishTime(aMoment.length_) - aMoment.elapsed_;
    Duration ramp = std::min(Part(aMoment.length_, kRamp), kMaxRamp);
    aRunning.rampInterval_ =
      std::clamp<Duration>(rest, Duration::zero(), ramp) /
      static_cast<int>(kRampShares.size());
    aRunning.phase_ = Phase::Ramp;
    aRunning.adjustedAt_ = aMoment.now_ - aRunning.rampInterval_;
    Rise(aRunning, aMoment);
    return;
  }
  double share = CanaryShare(aRunning, aMoment);
  double replicas =
    std::clamp(std::round(LoadInReplicas(share, aMoment.replicas_)),
               1.0,
               std::max(1.0, static_cast<double>(aMoment.replicas_.new_)));
  double highest = kMaxRelativeLoad * replicas;
  share = std::min(
    share, highest / (static_cast<double>(aMoment.replicas_.old_) + highest));
  double now = aRunning.requestShare_;
  bool isDue = aMoment.now_ - aRunning.adjustedAt_ >= kAdjustInterval ||
               share < kLargeFall * now;
  bool isChange = std::abs(share - now) > kMinChange * now;
  if (!isDue || !isChange) {
    return;
  }
  double replicaShare =
    share <= 0.0 ? 0.0 : replicas / static_cast<double>(aMoment.replicas_.new_);
  bool isStep = (share > 0.0) != (now > 0.0);
  SetShare(aRunning, aMoment, share, replicaShare, isStep ? "canary" : nullptr);
}

/// Takes the next step of the rise, when it is due.
void
RolloutController::Rise(Running& aRunning, const Moment& aMoment)
{
  bool isDue = aMoment.now_ - aRunning.adjustedAt_ >= aRunning.rampInterval_;
  if (!isDue || !HasEnough(aMoment.replicas_)) {
    return;
  }
  double share = kRampShares.at(aRunning.rampStep_);
  ++aRunning.rampStep_;
  bool isLast = aRunning.rampStep_ == kRampShares.size();
  double needed = isLast ? static_cast<double>(aMoment.replicas_.new_)
                         : std::ceil(LoadInReplicas(share, aMoment.replicas_));
  double replicaShare =
    std::min(1.0, needed / static_cast<double>(aMoment.replicas_.new_));
  if (isLast) {
    aRunning.phase_ = Phase::Drain;
  }
  SetShare(aRunning, aMoment, share, replicaShare, isLast ? "drain" : "ramp");
}

/// Gives another share; logged as a step if there is a reason.
void
RolloutController::SetShare(Running& aRunning,
                            const Moment& aMoment,
                            double aRequestShare,
                            double aReplicaShare,
                            const char* aReason)
{
  ++revision_;
  aRunning.requestShare_ = aRequestShare;
  aRunning.replicaShare_ = aReplicaShare;
  aRunning.adjustedAt_ = aMoment.now_;
  auto& given = aRunning.given_;
  given.push_back({ revision_, aRequestShare, aMoment.now_ });
  while (given.size() > 1 && aMoment.now_ - given[1].givenAt_ > kShareMemory) {
    given.pop_front();
  }
  if (aReason != nullptr) {
    AddStep(aRunning, aMoment, aReason, std::nullopt);
  }
}

void
RolloutController::End(Running& aRunning,
                       const Moment& aMoment,
                       RolloutState aState,
                       const char* aReason,
                       const std::optional<RolloutEvidence>& aEvidence)
{
  aRunning.end_ = { aRunning.rollout_.id_, aState, aMoment.wallNow_ };
  double share = aState == RolloutState::Completed ? 1.0 : 0.0;
  SetShare(aRunning, aMoment, share, share, nullptr);
  AddStep(aRunning, aMoment, aReason, aEvidence);
}

void
RolloutController::AddStep(const Running& aRunning,
                           const Moment& aMoment,
                           const char* aReason,
                           const std::optional<RolloutEvidence>& aEvidence)
{
  auto sums = aRunning.sums_.find("");
  steps_.push_back(
    { aRunning.rollout_,
      aRunning.end_ ? aRunning.end_->state_ : RolloutState::Running,
      aReason,
      aRunning.requestShare_,
      aRunning.replicaShare_,
      aMoment.replicas_,
      sums == aRunning.sums_.end() ? RolloutTally() : sums->second,
      aEvidence });
}

std::vector<RolloutDirective>
RolloutController::Directives() const
{
  std::vector<RolloutDirective> directives;
  for (const auto& [service, rollout] : rollouts_) {
    auto running = running_.find(service);
    bool hasShare = isLeading_ && running != running_.end();
    directives.push_back({ rollout,
                           hasShare ? running->second.requestShare_ : 0.0,
                           hasShare ? running->second.replicaShare_ : 0.0 });
  }
  return directives;
}

std::vector<RolloutStep>
RolloutController::TakeSteps()
{
  return std::exchange(steps_, {});
}

std::vector<RolloutEnd>
RolloutController::PendingEnds() const
{
  std::vector<RolloutEnd> ends;
  for (const auto& [service, running] : running_) {
    if (running.end_ && isLeading_) {
      ends.push_back(*running.end_);
    }
  }
  return ends;
}

} // namespace tanagerstall
