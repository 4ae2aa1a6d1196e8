#include "tanagerstall/process/tanagerstall_replica_placement.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// Requests that one replica runs at once without slowing its first tokens.
constexpr double kRunningPerReplica = 14.0;
/// The part of the replicas found at the start that is taken as needed, until
/// traffic has shown what is.
constexpr double kFoundPart = 1.0;
constexpr double kLeastNeeded = 2.0;
/// The part of the need that is covered on demand when a failure domain is
/// lost: what is slow for a while costs less than full cover at full price.
constexpr double kCoveredPart = 0.65;
/// The part of the need that may be given up in a second.
constexpr double kNeedFallsPerSecond = 0.01;
/// Fewer replicas have to be enough for this long before some go.
constexpr Duration kShrinkAfter = std::chrono::seconds(3);
/// An order is given again where its replicas don't come.
constexpr Duration kOrderAgainAfter = std::chrono::seconds(3);
constexpr Duration kUnavailablePause = std::chrono::milliseconds(1500);

std::uint32_t
Ceil(double aNumber)
{
  return static_cast<std::uint32_t>(std::ceil(aNumber));
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
ReplicaPlacement::Needed(const std::string& aService) const
{
  auto it = services_.find(aService);
  return it == services_.end() ? 0 : Ceil(it->second.needed_);
}

void
ReplicaPlacement::UpdateNeed(Service& aService,
                             const PlacementInput& aInput,
                             TimePoint aNow)
{
  if (!aService.isStarted_) {
    std::uint32_t found = 0;
    for (const auto& [domain, replicas] : aInput.domains_) {
      found += replicas.reclaimable_ + replicas.onDemand_;
    }
    aService.needed_ = std::max(kLeastNeeded, found * kFoundPart);
    aService.isStarted_ = true;
  } else if (aInput.running_ > 0) {
    double elapsed = InSeconds(aNow - aService.neededAt_);
    aService.needed_ *= std::exp(-kNeedFallsPerSecond * elapsed);
  }
  aService.neededAt_ = aNow;
  aService.needed_ = std::max(
    { aService.needed_, kLeastNeeded, aInput.running_ / kRunningPerReplica });
}

/// Grows at once; shrinks after fewer have been enough for a while.
std::uint32_t
ReplicaPlacement::Settle(Wanted& aWanted, std::uint32_t aCount, TimePoint aNow)
{
  bool isFewer = aCount < aWanted.count_;
  if (isFewer && !aWanted.lowerSince_) {
    aWanted.lowerSince_ = aNow;
  }
  if (!isFewer || aNow - *aWanted.lowerSince_ >= kShrinkAfter) {
    aWanted.count_ = aCount;
    aWanted.lowerSince_.reset();
  }
  return aWanted.count_;
}

/// One after the other where there are fewest, so that a lost domain takes few
/// of them; the cheaper domain first.
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
      bool hasRoom = total < aInput.bounds_.max_;
      if (hasRoom && (best == nullptr || rank < least)) {
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
  Placed& placed =
    aService.placed_[{ aOrder.failureDomain_, aOrder.isReclaimable_ }];
  ReplicaOrder order = aOrder;
  order.count_ = Settle(placed.wanted_, aOrder.count_, aNow);
  if (aNow < placed.unavailableUntil_) {
    return;
  }
  bool isNew =
    placed.ordered_ ? *placed.ordered_ != order.count_ : aReady != order.count_;
  auto patience = aInput.bounds_.bootTime_ + kOrderAgainAfter;
  bool isMissing = placed.ordered_ && aReady != order.count_ &&
                   aNow - placed.orderedAt_ > patience;
  if (isNew || isMissing) {
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
  UpdateNeed(service, aInput, aNow);
  std::uint32_t covered = Ceil(service.needed_ * kCoveredPart);
  bool hasReclaimable = aInput.bounds_.reclaimablePrice_ > 0.0;
  std::uint32_t perDomain =
    std::clamp(Ceil(service.needed_ /
                    static_cast<double>(std::max<std::size_t>(domains - 1, 1))),
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
  std::uint32_t left = reclaimable - largest;
  auto spread = SpreadOnDemand(aInput, covered > left ? covered - left : 0);
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
  Placed& placed = services_[aOrder.service_]
                     .placed_[{ aOrder.failureDomain_, aOrder.isReclaimable_ }];
  if (aAnswer == CloudAnswer::Accepted) {
    placed.ordered_ = aOrder.count_;
    placed.orderedAt_ = aNow;
  } else {
    placed.unavailableUntil_ = aNow + kUnavailablePause;
  }
}

} // namespace tanagerstall
