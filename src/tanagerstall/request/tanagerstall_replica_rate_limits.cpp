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

const ReplicaRateLimits::Limit*
ReplicaRateLimits::Find(const Replica& aReplica) const
{
  auto it = limits_.find(aReplica.id_);
  bool isKnown =
    it != limits_.end() && it->second.startTimeMs_ == aReplica.startTimeMs_;
  return isKnown ? &it->second : nullptr;
}

bool
ReplicaRateLimits::IsLimited(const Replica& aReplica) const
{
  return Find(aReplica) != nullptr;
}

Duration
ReplicaRateLimits::TimePerRequest(const Replica& aReplica) const
{
  const Limit* limit = Find(aReplica);
  if (limit == nullptr) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1.0 / (limit->perSecond_ * kUsedShare)));
}

Duration
ReplicaRateLimits::TimePerOwnRequest(const Limit& aLimit) const
{
  double seconds = shareDivisor_ / (aLimit.perSecond_ * kUsedShare);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

/// Returns the earliest time for a request that isn't lost yet.
TimePoint
ReplicaRateLimits::NextSendAt(const Limit& aLimit, TimePoint aNow) const
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
ReplicaRateLimits::Set(const std::string& aReplica,
                       std::uint64_t aStartTimeMs,
                       double aPerSecond,
                       TimePoint aLearntAt,
                       TimePoint aNow)
{
  Limit& limit = limits_[aReplica];
  limit = { aStartTimeMs, aPerSecond, aLearntAt, aNow };
  double part = std::uniform_real_distribution<double>()(random_);
  limit.nextSendAt_ +=
    std::chrono::duration_cast<Duration>(part * TimePerOwnRequest(limit));
  ended_.erase(aReplica);
}

void
ReplicaRateLimits::End(const std::string& aReplica, TimePoint aAt)
{
  auto it = limits_.find(aReplica);
  ended_[aReplica] = { it->second.startTimeMs_, aAt };
  limits_.erase(it);
}

bool
ReplicaRateLimits::Record(const Replica& aReplica,
                          std::optional<double> aPerSecond,
                          TimePoint aSentAt,
                          TimePoint aNow)
{
  auto it = limits_.find(aReplica.id_);
  if (it != limits_.end() && it->second.startTimeMs_ > aReplica.startTimeMs_) {
    return false;
  }
  bool isKnown = Find(aReplica) != nullptr;
  if (!aPerSecond && !isKnown) {
    return false;
  }
  double perSecond = std::max(aPerSecond.value_or(0.0), kLeastPerSecond);
  if (aPerSecond && isKnown && perSecond == it->second.perSecond_) {
    return false;
  }
  bool isHigher = isKnown && (!aPerSecond || perSecond > it->second.perSecond_);
  // The answer to an earlier request may be older than the limit.
  if (isHigher && aSentAt < it->second.learntAt_) {
    return false;
  }
  ++news_;
  if (aPerSecond) {
    Set(aReplica.id_, aReplica.startTimeMs_, perSecond, aNow, aNow);
  } else {
    End(aReplica.id_, aNow);
  }
  return true;
}

NamedRates
ReplicaRateLimits::Report(TimePoint aNow) const
{
  auto age = [aNow](TimePoint aAt) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAt);
  };
  NamedRates rates;
  for (const auto& [replica, limit] : limits_) {
    rates.push_back(
      { replica, limit.startTimeMs_, limit.perSecond_, age(limit.learntAt_) });
  }
  for (const auto& [replica, end] : ended_) {
    if (aNow - end.second < kEndedTime) {
      rates.push_back({ replica, end.first, std::nullopt, age(end.second) });
    }
  }
  return rates;
}

void
ReplicaRateLimits::Adopt(const NamedRates& aRates, TimePoint aNow)
{
  for (const auto& rate : aRates) {
    TimePoint learntAt = aNow - rate.age_;
    auto it = limits_.find(rate.replica_);
    bool isKnown = it != limits_.end();
    auto end = ended_.find(rate.replica_);
    bool isOutdated =
      (isKnown && (rate.startTimeMs_ < it->second.startTimeMs_ ||
                   learntAt <= it->second.learntAt_)) ||
      (end != ended_.end() && end->second.first == rate.startTimeMs_ &&
       learntAt <= end->second.second);
    bool isSame = isKnown && rate.perSecond_ == it->second.perSecond_ &&
                  rate.startTimeMs_ == it->second.startTimeMs_;
    if (isOutdated || isSame) {
      continue;
    }
    if (rate.perSecond_) {
      Set(rate.replica_, rate.startTimeMs_, *rate.perSecond_, learntAt, aNow);
    } else if (isKnown && it->second.startTimeMs_ == rate.startTimeMs_) {
      End(rate.replica_, learntAt);
    }
  }
}

void
ReplicaRateLimits::KeepOnly(const std::set<std::string>& aReplicas)
{
  auto isGone = [&](const auto& aIt) { return !aReplicas.contains(aIt.first); };
  std::erase_if(limits_, isGone);
  std::erase_if(ended_, isGone);
}

bool
ReplicaRateLimits::MaySend(const Replica& aReplica, TimePoint aNow) const
{
  const Limit* limit = Find(aReplica);
  return limit == nullptr || NextSendAt(*limit, aNow) <= aNow;
}

void
ReplicaRateLimits::OnSend(const Replica& aReplica, TimePoint aNow)
{
  if (Find(aReplica) != nullptr) {
    Limit& limit = limits_[aReplica.id_];
    limit.nextSendAt_ = NextSendAt(limit, aNow) + TimePerOwnRequest(limit);
  }
}

} // namespace tanagerstall
