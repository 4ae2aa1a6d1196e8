#include "tanagerstall/request/tanagerstall_cost_leases.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The largest part of the remaining level that is granted to one entry in
/// advance of requests.
constexpr double kMaxAdvanceGrant = 0.25;
/// Requests are admitted in advance of grants while the level is above this
/// part of a full bucket. What all entries admit until they learn that it isn't
/// has to fit into that level.
constexpr double kAdvanceLevel = 0.8;
/// The part of the limit that a new leader assumes to be unused.
constexpr double kInitialLevel = 0.35;
/// The time over which the grants of an earlier leader lose their effect on a
/// new leader's level.
constexpr Duration kEarlierGrantLifetime = std::chrono::seconds(10);
/// How long a report of held cost counts.
constexpr Duration kHeldReportLifetime = std::chrono::seconds(4);
/// An entry without a report for this time counts as unreachable. Connected
/// entries report more often.
constexpr Duration kReportTimeout = std::chrono::milliseconds(1200);
/// How long an unreachable entry is assumed to keep admitting requests.
constexpr Duration kReservationTime = std::chrono::seconds(30);
/// The interval at which all entries are looked at.
constexpr Duration kSumInterval = std::chrono::milliseconds(100);

} // namespace

void
CostLeases::SetLimit(const std::string& aOrganisation,
                     const CostLimit& aLimit,
                     double aSlack)
{
  Bucket& bucket = buckets_[aOrganisation];
  bucket.limit_ = aLimit;
  bucket.slack_ = aSlack;
}

void
CostLeases::StartLeading(TimePoint aNow)
{
  leaderSince_ = aNow;
  contacts_.clear();
  unreachableShare_ = 0.0;
  for (auto& [organisation, bucket] : buckets_) {
    bucket.isFilled_ = false;
    bucket.shares_.clear();
    bucket.held_ = 0.0;
  }
}

void
CostLeases::RecordReport(const std::string& aEntry,
                         std::uint32_t aShareDivisor,
                         const CostGrantRequests& aRequests,
                         TimePoint aNow)
{
  bool isKnown = contacts_.contains(aEntry);
  Contact& contact = contacts_[aEntry];
  if (isKnown) {
    contact.unreachableTime_ +=
      std::max(Duration::zero(), aNow - contact.at_ - kReportTimeout);
  }
  contact.at_ = aNow;
  for (const auto& [organisation, request] : aRequests) {
    auto it = buckets_.find(organisation);
    if (it == buckets_.end()) {
      continue;
    }
    Bucket& bucket = it->second;
    Refill(bucket, aNow);
    Share& share = bucket.shares_[aEntry];
    bucket.level_ += request.returned_;
    // What an entry took before its first report to this leader was taken
    // without a leader and is no part of this leader's bucket.
    if (isKnown) {
      double reserved = ReservedFor(contact, share, bucket.limit_);
      bucket.level_ -= std::max(0.0, request.taken_ - reserved);
    }
    bucket.held_ +=
      request.held_ - (IsCurrent(share, aNow) ? share.held_ : 0.0);
    share.held_ = request.held_;
    share.reportedAt_ = aNow;
    // Only a request for a grant reports what the entry took.
    if (request.HasDemand()) {
      share.settledTime_ = contact.unreachableTime_;
    }
  }
  contact.shareDivisor_ = std::max(aShareDivisor, 1U);
}

/// Sums the shares of the unreachable entries, and forgets those that have been
/// for long.
void
CostLeases::SumUnreachable(TimePoint aNow)
{
  if (aNow - summedAt_ < kSumInterval) {
    return;
  }
  summedAt_ = aNow;
  std::erase_if(contacts_, [&](const auto& aIt) {
    return aNow - aIt.second.at_ > kReservationTime;
  });
  unreachableShare_ = 0.0;
  for (const auto& [entry, contact] : contacts_) {
    bool isUnreachable = aNow - contact.at_ > kReportTimeout;
    unreachableShare_ += isUnreachable ? 1.0 / contact.shareDivisor_ : 0.0;
  }
}

/// Returns the cost that unreachable entries may have taken without a grant
/// since the last refill.
double
CostLeases::ReservedSince(const Bucket& aBucket, TimePoint aNow) const
{
  return aBucket.limit_.ratePerSecond_ * kLeaderLostShare * unreachableShare_ *
         InSeconds(aNow - aBucket.refilledAt_);
}

/// Returns the cost that was withheld from the others while the entry was
/// unreachable, and that it may have taken.
double
CostLeases::ReservedFor(const Contact& aContact,
                        const Share& aShare,
                        const CostLimit& aLimit)
{
  return aLimit.ratePerSecond_ * kLeaderLostShare / aContact.shareDivisor_ *
         InSeconds(aContact.unreachableTime_ - aShare.settledTime_);
}

/// Returns the level of a full bucket.
double
CostLeases::SizeOf(const Bucket& aBucket)
{
  return aBucket.limit_.burst_ + aBucket.slack_;
}

/// Whether the entry's last report still says what it holds.
bool
CostLeases::IsCurrent(const Share& aShare, TimePoint aNow)
{
  return aNow - aShare.reportedAt_ <= kHeldReportLifetime;
}

/// Returns what all entries hold.
double
CostLeases::Held(Bucket& aBucket, TimePoint aNow) const
{
  if (aNow - aBucket.heldAt_ < kSumInterval) {
    return aBucket.held_;
  }
  aBucket.heldAt_ = aNow;
  aBucket.held_ = 0.0;
  std::erase_if(aBucket.shares_, [this](const auto& aIt) {
    return !contacts_.contains(aIt.first);
  });
  for (const auto& [entry, share] : aBucket.shares_) {
    aBucket.held_ += IsCurrent(share, aNow) ? share.held_ : 0.0;
  }
  return aBucket.held_;
}

/// Refills the bucket up to its size less what the entries hold.
void
CostLeases::Refill(Bucket& aBucket, TimePoint aNow)
{
  SumUnreachable(aNow);
  double held = Held(aBucket, aNow);
  double size = SizeOf(aBucket);
  if (!aBucket.isFilled_) {
    aBucket.isFilled_ = true;
    double led =
      InSeconds(aNow - leaderSince_) / InSeconds(kEarlierGrantLifetime);
    aBucket.level_ = size * std::min(1.0, kInitialLevel + led);
  } else {
    aBucket.level_ +=
      aBucket.limit_.ratePerSecond_ * InSeconds(aNow - aBucket.refilledAt_) -
      ReservedSince(aBucket, aNow);
  }
  aBucket.refilledAt_ = aNow;
  aBucket.level_ = std::min(aBucket.level_, std::max(0.0, size - held));
}

std::set<std::string>
CostLeases::NearlyExhausted(TimePoint aNow)
{
  std::set<std::string> organisations;
  for (auto& [organisation, bucket] : buckets_) {
    Refill(bucket, aNow);
    if (bucket.level_ < kAdvanceLevel * SizeOf(bucket)) {
      organisations.insert(organisation);
    }
  }
  return organisations;
}

CostByName
CostLeases::Grant(const std::string& aEntry,
                  const CostGrantRequests& aRequests,
                  TimePoint aNow)
{
  CostByName grants;
  for (const auto& [organisation, request] : aRequests) {
    auto it = buckets_.find(organisation);
    if (it == buckets_.end() || !request.HasDemand()) {
      continue;
    }
    Bucket& bucket = it->second;
    Refill(bucket, aNow);
    double due = std::clamp(bucket.level_, 0.0, request.due_);
    double ahead = std::min(request.need_ - request.due_,
                            (bucket.level_ - due) * kMaxAdvanceGrant);
    double grant = due + std::max(0.0, ahead);
    bucket.level_ -= grant;
    // What is due is spent by waiting requests as soon as it arrives.
    bucket.shares_[aEntry].held_ += grant - due;
    bucket.held_ += grant - due;
    grants[organisation] = grant;
  }
  return grants;
}

} // namespace tanagerstall
