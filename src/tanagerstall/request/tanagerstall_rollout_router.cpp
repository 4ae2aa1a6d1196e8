#include "tanagerstall/request/tanagerstall_rollout_router.hpp"

#include "tanagerstall/process/presence/tanagerstall_rollout_sides.hpp"
#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// With this much credit, a session of the old side is sent to the new one, so
/// that few large sessions don't keep the new version from being tested.
constexpr double kMaxCredit = 3.0;
constexpr double kWhole = 1.0;
/// Replicas of an earlier roll-out are gone long before this many more ended.
constexpr std::size_t kMaxEnded = 4;

std::uint64_t
HashOf(const std::string& aText, std::uint64_t aRollout)
{
  return Checksum(ViewOf(aText + "#" + std::to_string(aRollout)));
}

/// Maps a hash to the range from 0 to 1.
double
UnitOf(std::uint64_t aHash)
{
  constexpr double kHashes = 18446744073709551616.0;
  return static_cast<double>(aHash) / kHashes;
}

} // namespace

RolloutRouter::RolloutRouter(std::uint64_t aSeed)
  : random_(aSeed)
{
}

bool
RolloutRouter::Adopt(const std::vector<RolloutDirective>& aDirectives,
                     const std::string& aControl,
                     std::optional<TimePoint> aSharesUntil)
{
  if (aSharesUntil) {
    sharesFrom_ = aControl;
    sharesUntil_ = *aSharesUntil;
  }
  bool hasChanged = false;
  for (const auto& directive : aDirectives) {
    hasChanged = AdoptOne(directive, aSharesUntil.has_value()) || hasChanged;
  }
  return hasChanged;
}

bool
RolloutRouter::AdoptOne(const RolloutDirective& aDirective, bool aHasShares)
{
  const Rollout& rollout = aDirective.rollout_;
  Service& service = services_[rollout.order_.service_];
  RolloutDirective& known = service.directive_;
  if (rollout.id_ < known.rollout_.id_) {
    return false;
  }
  if (rollout.id_ > known.rollout_.id_) {
    if (known.rollout_.id_ > 0 &&
        known.rollout_.state_ != RolloutState::Running) {
      service.ended_.push_back(known.rollout_);
    }
    if (service.ended_.size() > kMaxEnded) {
      service.ended_.erase(service.ended_.begin());
    }
    known = { rollout, 0.0, 0.0 };
    // The sum over all entries follows the share from the first request on.
    service.credit_ = std::uniform_real_distribution<double>()(random_);
    if (!aHasShares) {
      return true;
    }
  }
  if (known.rollout_.state_ != RolloutState::Running) {
    return false;
  }
  bool hasEnded = rollout.state_ != RolloutState::Running;
  if (!hasEnded && !aHasShares) {
    return false;
  }
  bool changesReplicas =
    hasEnded || known.replicaShare_ != aDirective.replicaShare_ ||
    (known.requestShare_ > 0.0) != (aDirective.requestShare_ > 0.0);
  known = aDirective;
  return changesReplicas;
}

void
RolloutRouter::Renew(const std::string& aControl, TimePoint aSharesUntil)
{
  if (aControl == sharesFrom_) {
    sharesUntil_ = std::max(sharesUntil_, aSharesUntil);
  }
}

std::shared_ptr<const ReplicasByService>
RolloutRouter::Filter(
  const std::shared_ptr<const ReplicasByService>& aReplicas) const
{
  if (services_.empty()) {
    return aReplicas;
  }
  auto filtered = std::make_shared<ReplicasByService>(*aReplicas);
  for (auto& [name, replicas] : *filtered) {
    if (auto it = services_.find(name); it != services_.end()) {
      replicas = FilterOne(it->second, replicas);
    }
  }
  std::erase_if(*filtered, [](const auto& aIt) { return aIt.second.empty(); });
  return filtered;
}

bool
RolloutRouter::IsExcluded(const Service& aService, const Replica& aReplica)
{
  const Rollout& latest = aService.directive_.rollout_;
  if (IsNewVersion(latest, aReplica)) {
    return IsExcludedByEnd(latest, aReplica);
  }
  return IsExcludedByEnd(latest, aReplica) ||
         std::any_of(
           aService.ended_.begin(),
           aService.ended_.end(),
           [&](const auto& aIt) { return IsExcludedByEnd(aIt, aReplica); });
}

std::vector<Replica>
RolloutRouter::FilterOne(const Service& aService,
                         const std::vector<Replica>& aReplicas)
{
  const RolloutDirective& directive = aService.directive_;
  const Rollout& rollout = directive.rollout_;
  std::vector<Replica> kept;
  std::vector<std::pair<std::uint64_t, const Replica*>> ranked;
  for (const auto& replica : aReplicas) {
    if (rollout.state_ == RolloutState::Running &&
        IsNewVersion(rollout, replica)) {
      ranked.emplace_back(HashOf(replica.id_, rollout.id_), &replica);
    } else if (!IsExcluded(aService, replica)) {
      kept.push_back(replica);
    }
  }
  if (directive.requestShare_ <= 0.0 || ranked.empty()) {
    return kept;
  }
  std::sort(ranked.begin(), ranked.end());
  auto share = std::lround(static_cast<double>(ranked.size()) *
                           std::min(kWhole, directive.replicaShare_));
  auto count = static_cast<std::size_t>(std::max(1L, share));
  for (std::size_t i = 0; i < count; ++i) {
    kept.push_back(*ranked[i].second);
  }
  return kept;
}

double
RolloutRouter::ShareOf(const Service& aService, TimePoint aNow) const
{
  return aNow < sharesUntil_ ? aService.directive_.requestShare_ : 0.0;
}

RolloutSide
RolloutRouter::SideAfterFailure(const std::string& aService,
                                TimePoint aNow) const
{
  auto it = services_.find(aService);
  if (it == services_.end() ||
      it->second.directive_.rollout_.state_ != RolloutState::Running) {
    return RolloutSide::Any;
  }
  return ShareOf(it->second, aNow) >= kWhole ? RolloutSide::New
                                             : RolloutSide::Old;
}

RolloutSide
RolloutRouter::Assign(const std::string& aService,
                      std::uint64_t aSession,
                      TimePoint aNow)
{
  auto it = services_.find(aService);
  if (it == services_.end() ||
      it->second.directive_.rollout_.state_ != RolloutState::Running) {
    return RolloutSide::Any;
  }
  const RolloutDirective& directive = it->second.directive_;
  double share = ShareOf(it->second, aNow);
  if (share <= 0.0) {
    return RolloutSide::Old;
  }
  if (share >= kWhole) {
    return RolloutSide::New;
  }
  double& credit = it->second.credit_;
  credit = std::min(credit + share, kMaxCredit);
  bool isSelected =
    aSession == 0 ||
    UnitOf(HashOf(std::to_string(aSession), directive.rollout_.id_)) < share;
  if (credit < 1.0 || (!isSelected && credit < kMaxCredit)) {
    return RolloutSide::Old;
  }
  credit -= 1.0;
  return RolloutSide::New;
}

std::optional<Replica>
RolloutRouter::Choose(ReplicaChooser& aChooser,
                      const ChoiceRequest& aRequest,
                      RolloutSide& aSide,
                      TimePoint aNow) const
{
  auto it = services_.find(aRequest.service_);
  if (it == services_.end() ||
      it->second.directive_.rollout_.state_ != RolloutState::Running) {
    // A roll-out that has ended leaves only replicas that may be chosen.
    aSide = RolloutSide::Any;
    return aChooser.Choose(aRequest, aNow);
  }
  if (aRequest.version_) {
    // A stream that has begun stays with its version, whatever the side.
    return aChooser.Choose(aRequest, aNow);
  }
  const Rollout& rollout = it->second.directive_.rollout_;
  ChoiceRequest request = aRequest;
  if (aSide == RolloutSide::New) {
    request.needsHealthy_ = true;
    request.isAllowed_ = [&rollout](const Replica& aReplica) {
      return IsNewVersion(rollout, aReplica);
    };
    if (auto replica = aChooser.Choose(request, aNow)) {
      return replica;
    }
  }
  aSide = RolloutSide::Old;
  request.needsHealthy_ = false;
  request.isAllowed_ = [&rollout](const Replica& aReplica) {
    return !IsNewVersion(rollout, aReplica);
  };
  return aChooser.Choose(request, aNow);
}

std::vector<Rollout>
RolloutRouter::Rollouts() const
{
  std::vector<Rollout> rollouts;
  for (const auto& [name, service] : services_) {
    rollouts.push_back(service.directive_.rollout_);
  }
  return rollouts;
}

} // namespace tanagerstall
