#include "tanagerstall/request/tanagerstall_cost_limits.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// An entry holds the demand of this long, so that it seldom has to ask.
constexpr double kHeldSeconds = 0.8;
/// Over how long demand is counted.
constexpr Duration kDemandPeriod = std::chrono::milliseconds(500);
constexpr double kDemandSmoothing = 0.4;
/// An ask whose answer is lost is repeated after this.
constexpr Duration kAskTimeout = std::chrono::milliseconds(700);
/// An ask that waits for this long has found no leader: the entry goes on with
/// a part of an equal share of the rate.
constexpr Duration kAlone = std::chrono::milliseconds(250);
constexpr double kAlonePart = 0.6;
/// The part of what is left that one entry gets ahead of its requests.
constexpr double kLargestGrant = 0.25;
/// Asks in a second that the leader answers beside its other work.
constexpr double kAsksPerSecond = 300.0;
/// An entry asks for more below this part of what it wants to hold.
constexpr double kAskBelow = 0.4;
/// An entry gives back what it holds beyond this many times what it wants, so
/// that organisations that few requests come from find enough at any entry.
constexpr double kReturnAbove = 2.0;
/// The part of the limit that a new leader takes as unused.
constexpr double kFirstLevel = 0.35;
/// How long what an earlier leader granted counts.
constexpr Duration kGrantsCount = std::chrono::seconds(10);
constexpr Duration kHeldMemory = std::chrono::seconds(4);
/// An entry reports more often than this.
constexpr Duration kInTouch = std::chrono::milliseconds(1200);
/// How long an entry out of touch is taken to be still at work.
constexpr Duration kReservedFor = std::chrono::seconds(30);

} // namespace

double
CostLimits::TargetOf(const Account& aAccount)
{
  return aAccount.rate_ * kHeldSeconds + aAccount.waiting_;
}

void
CostLimits::RefillAlone(Account& aAccount, TimePoint aNow) const
{
  TimePoint from = std::max(aAccount.unansweredSince_, aAccount.refilledAt_);
  bool isAlone =
    aAccount.isUnanswered_ && aNow - aAccount.unansweredSince_ > kAlone;
  if (isAlone && aNow > from) {
    double share = kAlonePart / std::max(entries_, 1U);
    double grown = aAccount.held_ + aAccount.limit_.ratePerSecond_ * share *
                                      InSeconds(aNow - from);
    grown =
      std::min(grown, std::max(aAccount.held_, aAccount.limit_.burst_ * share));
    aAccount.taken_ += grown - aAccount.held_;
    aAccount.held_ = grown;
    aAccount.refilledAt_ = aNow;
  }
}

void
CostLimits::Begin(const std::string& aOrganisation, double aCost)
{
  std::scoped_lock lock(mutex_);
  Account& account = accounts_[aOrganisation];
  account.recent_ += aCost;
  account.waiting_ += aCost;
}

void
CostLimits::End(const std::string& aOrganisation, double aCost)
{
  std::scoped_lock lock(mutex_);
  Account& account = accounts_[aOrganisation];
  account.waiting_ = std::max(0.0, account.waiting_ - aCost);
}

CostVerdict
CostLimits::Take(const std::string& aOrganisation,
                 const CostLimit& aLimit,
                 double aCost,
                 TimePoint aNow)
{
  if (aLimit.ratePerSecond_ <= 0.0) {
    return CostVerdict::Admitted;
  }
  std::scoped_lock lock(mutex_);
  Account& account = accounts_[aOrganisation];
  account.limit_ = aLimit;
  RefillAlone(account, aNow);
  if (account.held_ >= aCost) {
    account.held_ -= aCost;
    return CostVerdict::Admitted;
  }
  return account.isExhausted_ ? CostVerdict::Exhausted : CostVerdict::Short;
}

bool
CostLimits::TakeAsk(TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  double perSecond = kAsksPerSecond / std::max(entries_, 1U);
  asksLeft_ =
    std::min(kAskBurst, asksLeft_ + perSecond * InSeconds(aNow - asksAt_));
  asksAt_ = aNow;
  if (asksLeft_ < 1.0) {
    return false;
  }
  asksLeft_ -= 1.0;
  return true;
}

CostAsks
CostLimits::Asks(TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  CostAsks asks;
  for (auto& [organisation, account] : accounts_) {
    Duration elapsed = aNow - account.recentSince_;
    if (elapsed >= kDemandPeriod) {
      double rate =
        account.recent_ /
        InSeconds(std::min<Duration>(elapsed, std::chrono::seconds(5)));
      account.rate_ += kDemandSmoothing * (rate - account.rate_);
      account.recent_ = 0.0;
      account.recentSince_ = aNow;
    }
    double target = TargetOf(account);
    bool isPending = account.isAsking_ && aNow - account.askedAt_ < kAskTimeout;
    bool isLow =
      account.held_ < account.waiting_ || account.held_ < target * kAskBelow;
    if (!isPending && account.held_ > target * kReturnAbove) {
      asks[organisation].returned_ = account.held_ - target;
      account.held_ = target;
      asks[organisation].held_ = target;
    }
    if (!isPending && isLow) {
      account.isAsking_ = true;
      account.askedAt_ = aNow;
      if (!account.isUnanswered_) {
        account.isUnanswered_ = true;
        account.unansweredSince_ = aNow;
      }
      account.askedDue_ = std::max(0.0, account.waiting_ - account.held_);
      account.toldTaken_ = account.taken_;
      asks[organisation] = { account.held_,
                             account.askedDue_,
                             target - account.held_,
                             account.taken_,
                             0.0 };
    }
  }
  return asks;
}

void
CostLimits::TakeGrants(const CostByName& aGrants, std::uint32_t aEntries)
{
  std::scoped_lock lock(mutex_);
  entries_ = aEntries;
  for (const auto& [organisation, grant] : aGrants) {
    Account& account = accounts_[organisation];
    account.held_ += grant;
    account.taken_ = std::max(0.0, account.taken_ - account.toldTaken_);
    account.toldTaken_ = 0.0;
    account.isAsking_ = false;
    account.isUnanswered_ = false;
    account.isExhausted_ = grant < account.askedDue_;
  }
}

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
  leadsSince_ = aNow;
  heard_.clear();
  for (auto& [organisation, bucket] : buckets_) {
    bucket.isFilled_ = false;
    bucket.shares_.clear();
  }
}

void
CostLeases::Hear(const std::string& aEntry,
                 const CostAsks& aAsks,
                 TimePoint aNow)
{
  bool isKnown = heard_.contains(aEntry);
  for (const auto& [organisation, ask] : aAsks) {
    auto it = buckets_.find(organisation);
    if (it == buckets_.end()) {
      continue;
    }
    Bucket& bucket = it->second;
    Refill(bucket, aNow);
    Share& share = bucket.shares_[aEntry];
    bucket.level_ += ask.returned_;
    if (isKnown) {
      // What it took while nobody led is no part of this leader's bucket.
      bucket.level_ -= std::max(0.0, ask.taken_ - share.reserved_);
    }
    share = { ask.held_, aNow, 0.0 };
  }
  heard_[aEntry] = aNow;
  std::erase_if(
    heard_, [&](const auto& aIt) { return aNow - aIt.second > kReservedFor; });
}

/// What entries out of touch may take for themselves between the last refill
/// and now.
double
CostLeases::Reserve(Bucket& aBucket, TimePoint aNow) const
{
  double reserved = 0.0;
  double rate = aBucket.limit_.ratePerSecond_ * kAlonePart /
                static_cast<double>(std::max<std::size_t>(heard_.size(), 1));
  for (const auto& [entry, heardAt] : heard_) {
    TimePoint from = std::max(aBucket.at_, heardAt + kInTouch);
    if (aNow > from) {
      double part = rate * InSeconds(aNow - from);
      aBucket.shares_[entry].reserved_ += part;
      reserved += part;
    }
  }
  return reserved;
}

void
CostLeases::Refill(Bucket& aBucket, TimePoint aNow) const
{
  double held = 0.0;
  std::erase_if(aBucket.shares_, [this](const auto& aIt) {
    return !heard_.contains(aIt.first);
  });
  for (const auto& [entry, share] : aBucket.shares_) {
    held += aNow - share.saidAt_ > kHeldMemory ? 0.0 : share.held_;
  }
  double size = aBucket.limit_.burst_ + aBucket.slack_;
  if (!aBucket.isFilled_) {
    aBucket.isFilled_ = true;
    double led = InSeconds(aNow - leadsSince_) / InSeconds(kGrantsCount);
    aBucket.level_ = size * std::min(1.0, kFirstLevel + led);
  } else {
    aBucket.level_ +=
      aBucket.limit_.ratePerSecond_ * InSeconds(aNow - aBucket.at_) -
      Reserve(aBucket, aNow);
  }
  aBucket.at_ = aNow;
  aBucket.level_ = std::min(aBucket.level_, std::max(0.0, size - held));
}

CostByName
CostLeases::Grant(const std::string& aEntry,
                  const CostAsks& aAsks,
                  TimePoint aNow)
{
  CostByName grants;
  for (const auto& [organisation, ask] : aAsks) {
    auto it = buckets_.find(organisation);
    if (it == buckets_.end() || !ask.WantsGrant()) {
      continue;
    }
    Bucket& bucket = it->second;
    Refill(bucket, aNow);
    double due = std::clamp(bucket.level_, 0.0, ask.due_);
    double ahead =
      std::min(ask.need_ - ask.due_, (bucket.level_ - due) * kLargestGrant);
    double grant = due + std::max(0.0, ahead);
    bucket.level_ -= grant;
    bucket.shares_[aEntry].held_ += grant;
    grants[organisation] = grant;
  }
  return grants;
}

} // namespace tanagerstall
