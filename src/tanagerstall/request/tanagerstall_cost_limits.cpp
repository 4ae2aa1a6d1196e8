#include "tanagerstall/request/tanagerstall_cost_limits.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// An entry holds enough for this much demand, so that requests rarely wait.
constexpr double kHeldDemandSeconds = 0.8;
/// An entry holds cost in advance if that is enough for this many requests.
constexpr double kMinHeldRequests = 1.5;
constexpr double kRequestCostSmoothing = 0.1;
/// The period over which the demand is measured.
constexpr Duration kDemandPeriod = std::chrono::milliseconds(500);
constexpr double kDemandSmoothing = 0.4;
/// A request without an answer is repeated after this time.
constexpr Duration kGrantRequestTimeout = std::chrono::milliseconds(700);
/// After this time without an answer, the leader counts as lost, and the entry
/// refills itself.
constexpr Duration kLeaderLostAfter = std::chrono::milliseconds(250);
/// Requests per second from all entries that the leader can answer beside its
/// other work.
constexpr double kGrantRequestsPerSecond = 300.0;
/// The time between two immediate requests for an organisation whose limit was
/// exhausted at the first one.
constexpr Duration kExhaustedPause = std::chrono::milliseconds(200);
/// An entry requests more below this part of its target.
constexpr double kRequestBelow = 0.4;
/// An entry above this many times its target returns the excess, so that an
/// organisation with few requests finds enough left at any entry.
constexpr double kReturnAbove = 2.0;

} // namespace

bool
CostLimits::AdmitsInAdvance(const std::string& aOrganisation,
                            const Account& aAccount,
                            TimePoint aNow) const
{
  return aNow < advance_.until_ && !aAccount.isExhausted_ &&
         !advance_.nearlyExhausted_.contains(aOrganisation);
}

/// The cost that an entry wants to hold. It holds nothing in advance that would
/// hardly ever suffice for a request, as others could use it, or that it
/// doesn't need.
double
CostLimits::TargetOf(const std::string& aOrganisation,
                     const Account& aAccount,
                     TimePoint aNow) const
{
  if (AdmitsInAdvance(aOrganisation, aAccount, aNow)) {
    return aAccount.waiting_;
  }
  double ahead = aAccount.rate_ * kHeldDemandSeconds;
  bool isUseful = ahead >= kMinHeldRequests * aAccount.requestCost_;
  return (isUseful ? ahead : 0.0) + aAccount.waiting_;
}

/// Whether a request to the leader may still be answered.
bool
CostLimits::IsPending(const Account& aAccount, TimePoint aNow)
{
  return aAccount.hasPendingRequest_ &&
         aNow - aAccount.requestedAt_ < kGrantRequestTimeout;
}

bool
CostLimits::ShouldRequest(const Account& aAccount, TimePoint aNow)
{
  bool isTooSoon =
    aAccount.isExhausted_ && aNow - aAccount.requestedAt_ < kExhaustedPause;
  return !isTooSoon && !IsPending(aAccount, aNow);
}

/// Returns since when requests to the leader have been unanswered, if that is
/// long enough to count it as lost: requests for this account, or all.
std::optional<TimePoint>
CostLimits::LeaderLostAt(const Account& aAccount, TimePoint aNow) const
{
  std::optional<TimePoint> since = unansweredSince_;
  if (aAccount.isUnanswered_) {
    since = std::min(since.value_or(aNow), aAccount.unansweredSince_);
  }
  bool isLost = since && aNow - *since > kLeaderLostAfter;
  return isLost ? since : std::nullopt;
}

/// Refills the account by its part of the rate while the leader is lost.
void
CostLimits::RefillWithoutLeader(Account& aAccount, TimePoint aNow) const
{
  auto lostAt = LeaderLostAt(aAccount, aNow);
  TimePoint from = std::max(lostAt.value_or(aNow), aAccount.refilledAt_);
  if (aNow > from) {
    double share = kLeaderLostShare / shareDivisor_;
    double grown = aAccount.held_ + aAccount.limit_.ratePerSecond_ * share *
                                      InSeconds(aNow - from);
    grown =
      std::min(grown, std::max(aAccount.held_, aAccount.limit_.burst_ * share));
    aAccount.taken_ += grown - aAccount.held_;
    aAccount.held_ = grown;
    aAccount.refilledAt_ = aNow;
  }
}

/// Whether the account may admit a request. While the leader is lost, a large
/// request never finds its whole cost in the small share of one entry. It is
/// admitted at a random part of it then, and the account goes into debt, so
/// that all entries together still admit what their shares add up to.
bool
CostLimits::Suffices(const std::string& aOrganisation,
                     Account& aAccount,
                     double aCost,
                     TimePoint aNow)
{
  if (aAccount.held_ >= aCost ||
      AdmitsInAdvance(aOrganisation, aAccount, aNow)) {
    return true;
  }
  bool isAdmitted = LeaderLostAt(aAccount, aNow) && aAccount.held_ > 0.0 &&
                    aAccount.held_ >= aAccount.lostThreshold_ * aCost;
  if (isAdmitted) {
    aAccount.lostThreshold_ =
      std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }
  return isAdmitted;
}

void
CostLimits::AddWaiting(const std::string& aOrganisation, double aCost)
{
  std::scoped_lock lock(mutex_);
  Account& account = accounts_[aOrganisation];
  account.recent_ += aCost;
  account.waiting_ += aCost;
  if (account.requestCost_ == 0.0) {
    account.lostThreshold_ =
      std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }
  double weight = account.requestCost_ == 0.0 ? 1.0 : kRequestCostSmoothing;
  account.requestCost_ += weight * (aCost - account.requestCost_);
}

void
CostLimits::RemoveWaiting(const std::string& aOrganisation, double aCost)
{
  std::scoped_lock lock(mutex_);
  Account& account = accounts_[aOrganisation];
  account.waiting_ = std::max(0.0, account.waiting_ - aCost);
}

CostDecision
CostLimits::TryAdmit(const std::string& aOrganisation,
                     const CostLimit& aLimit,
                     double aCost,
                     TimePoint aNow)
{
  if (aLimit.ratePerSecond_ <= 0.0) {
    return CostDecision::Admitted;
  }
  std::scoped_lock lock(mutex_);
  Account& account = accounts_[aOrganisation];
  account.limit_ = aLimit;
  RefillWithoutLeader(account, aNow);
  if (Suffices(aOrganisation, account, aCost, aNow)) {
    account.held_ -= aCost;
    return CostDecision::Admitted;
  }
  return account.isExhausted_ ? CostDecision::Exhausted
                              : CostDecision::InsufficientGrant;
}

bool
CostLimits::TakeRequestToken(const std::string& aOrganisation, TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  if (!ShouldRequest(accounts_[aOrganisation], aNow)) {
    return false;
  }
  double perSecond = kGrantRequestsPerSecond / shareDivisor_;
  requestTokens_ =
    std::min(kGrantRequestBurst,
             requestTokens_ + perSecond * InSeconds(aNow - requestTokensAt_));
  requestTokensAt_ = aNow;
  if (requestTokens_ < 1.0) {
    return false;
  }
  requestTokens_ -= 1.0;
  return true;
}

CostGrantRequests
CostLimits::NextGrantRequests(TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  CostGrantRequests requests;
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
    double target = TargetOf(organisation, account, aNow);
    bool isPending = IsPending(account, aNow);
    bool isLow = account.held_ < account.waiting_ ||
                 account.held_ < target * kRequestBelow;
    if (!isPending && account.held_ > target * kReturnAbove) {
      requests[organisation].returned_ = account.held_ - target;
      account.held_ = target;
      requests[organisation].held_ = target;
      account.reportedHeld_ = target;
    }
    if (!isPending && !isLow && account.reportedHeld_ > account.held_) {
      requests[organisation].held_ = account.held_;
      account.reportedHeld_ = account.held_;
    }
    if (!isPending && isLow) {
      account.hasPendingRequest_ = true;
      account.requestedAt_ = aNow;
      unansweredSince_ = unansweredSince_.value_or(aNow);
      if (!account.isUnanswered_) {
        account.isUnanswered_ = true;
        account.unansweredSince_ = aNow;
      }
      account.requestedDue_ = std::max(0.0, account.waiting_ - account.held_);
      account.reportedTaken_ = account.taken_;
      account.reportedHeld_ = std::max(0.0, account.held_);
      requests[organisation] = { account.reportedHeld_,
                                 account.requestedDue_,
                                 target - account.held_,
                                 account.taken_,
                                 0.0 };
    }
  }
  return requests;
}

void
CostLimits::ApplyGrants(const CostByName& aGrants,
                        std::uint32_t aShareDivisor,
                        const AdvanceAdmission& aAdvance)
{
  std::scoped_lock lock(mutex_);
  // Answers can overtake each other.
  if (aAdvance.until_ >= advance_.until_) {
    advance_ = aAdvance;
  }
  shareDivisor_ = std::max(aShareDivisor, 1U);
  unansweredSince_.reset();
  for (const auto& [organisation, grant] : aGrants) {
    Account& account = accounts_[organisation];
    account.held_ += grant;
    account.reportedHeld_ += std::max(0.0, grant - account.requestedDue_);
    account.taken_ = std::max(0.0, account.taken_ - account.reportedTaken_);
    account.reportedTaken_ = 0.0;
    account.hasPendingRequest_ = false;
    account.isUnanswered_ = false;
    account.isExhausted_ = grant < account.requestedDue_;
  }
}

} // namespace tanagerstall
