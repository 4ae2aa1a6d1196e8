#ifndef TANAGERSTALL_REPLICA_RATE_LIMITS_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_RATE_LIMITS_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/request/tanagerstall_named_rate.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace tanagerstall {

/// The rate limits that replicas have named in their responses. A limit is one
/// for all entries together, of which this entry uses its equal part: so many
/// requests at regular times, which begin at a random one. A time that passes
/// unused for a while is lost, so that entries that were idle don't send at
/// once what they saved up. Does no I/O and reads no clock; not thread-safe.
class ReplicaRateLimits
{
public:
  explicit ReplicaRateLimits(std::uint64_t aSeed);

  /// Sets the number by which this entry divides what all entries share.
  void SetShareDivisor(std::uint32_t aDivisor);
  /// Records the limit in requests per second that a response named, or that it
  /// named none; its request was sent at `aSentAt`. Returns whether that is
  /// news.
  bool Record(const Replica& aReplica,
              std::optional<double> aPerSecond,
              TimePoint aSentAt,
              TimePoint aNow);
  /// Returns the limits that hold, and those that ended a short while ago, for
  /// other entries.
  NamedRates Report(TimePoint aNow) const;
  /// Adopts what other entries have learnt later than this one.
  void Adopt(const NamedRates& aRates, TimePoint aNow);
  /// Forgets the limits of all replicas but the present ones.
  void KeepOnly(const std::function<bool(const std::string&)>& aIsPresent);
  /// The number of limits that this entry learnt or saw ending by itself.
  std::uint64_t News() const { return news_; }
  /// Whether this entry may send a request to the replica now.
  bool MaySend(const Replica& aReplica, TimePoint aNow) const;
  /// Records that a request is sent.
  void OnSend(const Replica& aReplica, TimePoint aNow);
  /// Returns the time in which all entries together may send one request to a
  /// replica; zero if the replica has named no limit.
  Duration TimePerRequest(const Replica& aReplica) const;
  bool IsLimited(const Replica& aReplica) const;

private:
  /// What is known of one replica's limit.
  struct Known
  {
    std::uint64_t startTimeMs_ = 0;
    /// nullopt if the limit has ended.
    std::optional<double> perSecond_;
    TimePoint learntAt_;
    /// The earliest time for a request that isn't used yet.
    TimePoint nextSendAt_;
  };

  const Known* FindLimit(const Replica& aReplica) const;
  Duration TimePerOwnRequest(const Known& aLimit) const;
  TimePoint NextSendAt(const Known& aLimit, TimePoint aNow) const;
  void Put(const std::string& aReplica,
           std::uint64_t aStartTimeMs,
           std::optional<double> aPerSecond,
           TimePoint aLearntAt,
           TimePoint aNow);

  std::mt19937_64 random_;
  std::uint32_t shareDivisor_;
  std::map<std::string, Known> known_;
  std::uint64_t news_ = 0;
};

} // namespace tanagerstall

#endif
