#include "tanagerstall/request/tanagerstall_replica_rate_limits.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// The part of a limit that all entries together use.
constexpr double kUsedShare = 0.85;
/// A replica that names a lower limit, also zero, still gets so many requests
/// per second from all entries, from whose answers they learn that it ended.
constexpr double kLeastPerSecond = 0.25;
/// How long an entry may make up for a request that it didn't send.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(500);
/// The divisor that is assumed until control reports it.
constexpr std::uint32_t kAssumedShareDivisor = 20;
/// How long the end of a limit is reported.
constexpr Duration kEndedTime = std::chrono::seconds(10);

} // namespace

ReplicaRateLimits::ReplicaRateLimits(std::uint64_t aSeed)
  : random_(aSeed)
  , shareDivisor_(kAssumedShareDivisor)
{
}

void
ReplicaRateLimits::SetShareDivisor(std::uint32_t aDivisor)
{
  shareDivisor_ = std::max(aDivisor, 1U);
}

const ReplicaRateLimits::Known*
ReplicaRateLimits::FindLimit(const Replica& aReplica) const
{
  auto it = known_.find(aReplica.id_);
  bool isLimited = it != known_.end() && it->second.perSecond_ &&
                   it->second.startTimeMs_ == aReplica.startTimeMs_;
  return isLimited ? &it->second : nullptr;
}

bool
ReplicaRateLimits::IsLimited(const Replica& aReplica) const
{
  return FindLimit(aReplica) != nullptr;
}

Duration
ReplicaRateLimits::TimePerRequest(const Replica& aReplica) const
{
  const Known* limit = FindLimit(aReplica);
  if (limit == nullptr) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1.0 / (*limit->perSecond_ * kUsedShare)));
}

Duration
ReplicaRateLimits::TimePerOwnRequest(const Known& aLimit) const
{
  double seconds = shareDivisor_ / (*aLimit.perSecond_ * kUsedShare);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

/// Returns the earliest time for a request that isn't lost yet.
TimePoint
ReplicaRateLimits::NextSendAt(const Known& aLimit, TimePoint aNow) const
{
  Duration missed = aNow - kCatchUpTime - aLimit.nextSendAt_;
  if (missed <= Duration::zero()) {
    return aLimit.nextSendAt_;
  }
  Duration step = std::max(TimePerOwnRequest(aLimit), Duration(1));
  auto lost = (missed + step - Duration(1)) / step;
  return aLimit.nextSendAt_ + lost * step;
}

void
ReplicaRateLimits::Put(const std::string& aReplica,
                       std::uint64_t aStartTimeMs,
                       std::optional<double> aPerSecond,
                       TimePoint aLearntAt,
                       TimePoint aNow)
{
  Known& known = known_[aReplica];
  known = { aStartTimeMs, aPerSecond, aLearntAt, aNow };
  if (aPerSecond) {
    double part = std::uniform_real_distribution<double>()(random_);
    known.nextSendAt_ +=
      std::chrono::duration_cast<Duration>(part * TimePerOwnRequest(known));
  }
}

bool
ReplicaRateLimits::Record(const Replica& aReplica,
                          std::optional<double> aPerSecond,
                          TimePoint aSentAt,
                          TimePoint aNow)
{
  auto it = known_.find(aReplica.id_);
  if (it != known_.end() && it->second.startTimeMs_ > aReplica.startTimeMs_) {
    return false;
  }
  bool isKnown =
    it != known_.end() && it->second.startTimeMs_ == aReplica.startTimeMs_;
  auto perSecond = aPerSecond;
  if (perSecond) {
    perSecond = std::max(*perSecond, kLeastPerSecond);
  }
  auto before = isKnown ? it->second.perSecond_ : std::nullopt;
  if (perSecond == before) {
    return false;
  }
  bool isLower = perSecond && before && *perSecond < *before;
  // The answer to an earlier request may be older than what is known.
  if (isKnown && !isLower && aSentAt < it->second.learntAt_) {
    return false;
  }
  ++news_;
  Put(aReplica.id_, aReplica.startTimeMs_, perSecond, aNow, aNow);
  return true;
}

NamedRates
ReplicaRateLimits::Report(TimePoint aNow) const
{
  NamedRates rates;
  for (const auto& [replica, known] : known_) {
    Duration age = aNow - known.learntAt_;
    if (known.perSecond_ || age < kEndedTime) {
      rates.push_back(
        { replica, known.startTimeMs_, known.perSecond_, ToMilliseconds(age) });
    }
  }
  return rates;
}

void
ReplicaRateLimits::Adopt(const NamedRates& aRates, TimePoint aNow)
{
  for (const auto& rate : aRates) {
    TimePoint learntAt = aNow - rate.age_;
    auto it = known_.find(rate.replica_);
    bool isNews = it == known_.end() ? rate.perSecond_.has_value()
                                     : IsNews(rate, learntAt, it->second);
    if (isNews) {
      Put(rate.replica_, rate.startTimeMs_, rate.perSecond_, learntAt, aNow);
    }
  }
}

void
ReplicaRateLimits::KeepOnly(
  const std::function<bool(const std::string&)>& aIsPresent)
{
  std::erase_if(known_,
                [&](const auto& aIt) { return !aIsPresent(aIt.first); });
}

bool
ReplicaRateLimits::MaySend(const Replica& aReplica, TimePoint aNow) const
{
  const Known* limit = FindLimit(aReplica);
  return limit == nullptr || NextSendAt(*limit, aNow) <= aNow;
}

void
ReplicaRateLimits::OnSend(const Replica& aReplica, TimePoint aNow)
{
  if (FindLimit(aReplica) != nullptr) {
    Known& limit = known_[aReplica.id_];
    limit.nextSendAt_ = NextSendAt(limit, aNow) + TimePerOwnRequest(limit);
  }
}

} // namespace tanagerstall
