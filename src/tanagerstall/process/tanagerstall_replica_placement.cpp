#include "tanagerstall/process/tanagerstall_replica_placement.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// The number of requests that one replica runs at once without a longer time
/// to first token.
constexpr double kRequestsPerReplica = 14.0;
/// The part of a replica's slots that should be in use, so that requests that
/// come at the same time find one free.
constexpr double kSlotUse = 0.75;
/// The fraction of the replicas ready at the start that is assumed to be needed
/// until traffic shows the need.
constexpr double kInitialNeedShare = 1.0;
constexpr double kMinNeeded = 2.0;
/// Replicas that run at the start announce themselves one after the other. The
/// first orders wait until none has been added for this time.
constexpr Duration kSettleTime = std::chrono::seconds(2);
/// The fraction of the need that on-demand replicas cover when a failure domain
/// is lost. Slower answers for a while cost less than full cover at full price.
constexpr double kCoveredShare = 0.65;
/// The rate of the exponential decay of the need.
constexpr double kNeedDecayPerSecond = 0.01;
/// How long fewer replicas must suffice before the target is lowered.
constexpr Duration kShrinkDelay = std::chrono::seconds(3);
/// Time beyond the boot time after which an order is repeated if its replicas
/// are not ready.
constexpr Duration kReorderDelay = std::chrono::seconds(3);
/// Time until the next order after one that was not accepted.
constexpr Duration kRetryDelay = std::chrono::milliseconds(1500);

std::uint32_t
Ceil(double aNumber)
{
  return static_cast<std::uint32_t>(std::ceil(aNumber));
}

double
RequestsPerReplica(std::uint32_t aSlots)
{
  return aSlots == 0 ? kRequestsPerReplica
                     : std::min(kRequestsPerReplica, kSlotUse * aSlots);
}

double
PriceOf(const ScalingBounds& aBounds, const std::string& aDomain)
{
  auto it = aBounds.domainPrices_.find(aDomain);
  return it == aBounds.domainPrices_.end() ? 1.0 : it->second;
}

} // namespace

std::map<std::string, DomainReplicas>
CountByDomain(const std::vector<Replica>& aReplicas,
              const ScalingBounds& aBounds)
{
  std::map<std::string, DomainReplicas> domains;
  for (const auto& [domain, price] : aBounds.domainPrices_) {
    domains[domain];
  }
  for (const auto& replica : aReplicas) {
    auto& domain = domains[replica.failureDomain_];
    ++(replica.isReclaimable_ ? domain.reclaimable_ : domain.onDemand_);
  }
  return domains;
}

std::uint32_t
LeastSlots(const std::vector<Replica>& aReplicas)
{
  std::uint32_t least = 0;
  for (const auto& replica : aReplicas) {
    if (replica.slots_ > 0) {
      least = least == 0 ? replica.slots_ : std::min(least, replica.slots_);
    }
  }
  return least;
}

std::uint32_t
ReplicaPlacement::Needed(const std::string& aService) const
{
  auto it = services_.find(aService);
  return it == services_.end() ? 0 : Ceil(it->second.needed_);
}

/// Returns whether to place orders. Without traffic, waits until the number of
/// ready replicas has settled, as it is the first estimate of the need.
bool
ReplicaPlacement::IsStarted(Service& aService,
                            const PlacementInput& aInput,
                            TimePoint aNow)
{
  std::uint32_t ready = 0;
  for (const auto& [domain, replicas] : aInput.domains_) {
    ready += replicas.reclaimable_ + replicas.onDemand_;
  }
  if (aService.isStarted_) {
    return true;
  }
  if (ready > aService.mostReady_) {
    aService.mostReady_ = ready;
    aService.mostReadySince_ = aNow;
  }
  bool hasSettled =
    aService.mostReady_ > 0 && aNow - aService.mostReadySince_ >= kSettleTime;
  return hasSettled || aInput.running_ > 0;
}

void
ReplicaPlacement::UpdateNeed(Service& aService,
                             const PlacementInput& aInput,
                             TimePoint aNow)
{
  if (!aService.isStarted_) {
    aService.needed_ =
      std::max(kMinNeeded, aService.mostReady_ * kInitialNeedShare);
    aService.isStarted_ = true;
  } else if (aInput.running_ > 0) {
    double elapsed = InSeconds(aNow - aService.neededAt_);
    aService.needed_ *= std::exp(-kNeedDecayPerSecond * elapsed);
  }
  aService.neededAt_ = aNow;
  aService.needed_ =
    std::max({ aService.needed_,
               kMinNeeded,
               aInput.running_ / RequestsPerReplica(aInput.slots_) });
}

/// Raises the target at once, and lowers it only after fewer replicas have
/// sufficed for `kShrinkDelay`. Returns the target.
std::uint32_t
ReplicaPlacement::DelayShrink(Target& aTarget,
                              std::uint32_t aCount,
                              TimePoint aNow)
{
  bool isFewer = aCount < aTarget.count_;
  if (isFewer && !aTarget.lowerSince_) {
    aTarget.lowerSince_ = aNow;
  }
  if (!isFewer || aNow - *aTarget.lowerSince_ >= kShrinkDelay) {
    aTarget.count_ = aCount;
    aTarget.lowerSince_.reset();
  }
  return aTarget.count_;
}

/// Places each replica in the domain with the fewest, so that the loss of a
/// domain affects few of them. Among equals the cheapest domain comes first.
std::map<std::string, std::uint32_t>
ReplicaPlacement::SpreadOnDemand(const PlacementInput& aInput,
                                 std::uint32_t aCount)
{
  std::map<std::string, std::uint32_t> spread;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    const std::string* best = nullptr;
    std::pair<std::uint32_t, double> least;
    for (const auto& [domain, replicas] : aInput.domains_) {
      std::uint32_t total = replicas.reclaimable_ + spread[domain];
      std::pair rank(total, PriceOf(aInput.bounds_, domain));
      bool hasCapacity = total < aInput.bounds_.max_;
      if (hasCapacity && (best == nullptr || rank < least)) {
        best = &domain;
        least = rank;
      }
    }
    if (best == nullptr) {
      break;
    }
    ++spread[*best];
  }
  return spread;
}

void
ReplicaPlacement::Order(Service& aService,
                        const ReplicaOrder& aOrder,
                        std::uint32_t aReady,
                        const PlacementInput& aInput,
                        TimePoint aNow,
                        std::vector<ReplicaOrder>& aOrders)
{
  OrderState& state =
    aService.orderStates_[{ aOrder.failureDomain_, aOrder.isReclaimable_ }];
  ReplicaOrder order = aOrder;
  order.count_ = DelayShrink(state.target_, aOrder.count_, aNow);
  if (aNow < state.retryAt_) {
    return;
  }
  bool hasChanged = state.acceptedCount_ ? *state.acceptedCount_ != order.count_
                                         : aReady != order.count_;
  auto timeout = aInput.bounds_.bootTime_ + kReorderDelay;
  bool isMissing = state.acceptedCount_ && aReady != order.count_ &&
                   aNow - state.acceptedAt_ > timeout;
  if (hasChanged || isMissing) {
    aOrders.push_back(order);
  }
}

std::vector<ReplicaOrder>
ReplicaPlacement::Next(const PlacementInput& aInput, TimePoint aNow)
{
  std::vector<ReplicaOrder> orders;
  std::size_t domains = aInput.domains_.size();
  if (domains == 0) {
    return orders;
  }
  Service& service = services_[aInput.service_];
  if (!IsStarted(service, aInput, aNow)) {
    return orders;
  }
  UpdateNeed(service, aInput, aNow);
  double needed = service.needed_ + aInput.withdrawn_;
  std::uint32_t covered = Ceil(needed * kCoveredShare);
  bool hasReclaimable = aInput.bounds_.reclaimablePrice_ > 0.0;
  std::uint32_t perDomain = std::clamp(
    Ceil(needed / static_cast<double>(std::max<std::size_t>(domains - 1, 1))),
    std::max(aInput.bounds_.min_, 1U),
    std::max(aInput.bounds_.max_, 1U));
  std::uint32_t reclaimable = 0;
  std::uint32_t largest = 0;
  for (const auto& [domain, replicas] : aInput.domains_) {
    reclaimable += replicas.reclaimable_;
    largest = std::max(largest, replicas.reclaimable_);
    if (hasReclaimable) {
      Order(service,
            { aInput.service_, domain, perDomain, true },
            replicas.reclaimable_,
            aInput,
            aNow,
            orders);
    }
  }
  std::uint32_t remaining = reclaimable - largest;
  auto spread =
    SpreadOnDemand(aInput, covered > remaining ? covered - remaining : 0);
  for (const auto& [domain, replicas] : aInput.domains_) {
    std::uint32_t least = replicas.reclaimable_ >= aInput.bounds_.min_
                            ? 0
                            : aInput.bounds_.min_ - replicas.reclaimable_;
    Order(service,
          { aInput.service_, domain, std::max(spread[domain], least), false },
          replicas.onDemand_,
          aInput,
          aNow,
          orders);
  }
  return orders;
}

void
ReplicaPlacement::OnAnswer(const ReplicaOrder& aOrder,
                           CloudAnswer aAnswer,
                           TimePoint aNow)
{
  OrderState& state =
    services_[aOrder.service_]
      .orderStates_[{ aOrder.failureDomain_, aOrder.isReclaimable_ }];
  if (aAnswer == CloudAnswer::Accepted) {
    state.acceptedCount_ = aOrder.count_;
    state.acceptedAt_ = aNow;
  } else {
    state.retryAt_ = aNow + kRetryDelay;
  }
}

} // namespace tanagerstall
