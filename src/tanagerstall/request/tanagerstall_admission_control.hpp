#ifndef TANAGERSTALL_ADMISSION_CONTROL_HPP_INCLUDED
#define TANAGERSTALL_ADMISSION_CONTROL_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/request/tanagerstall_admission_sums.hpp"
#include "tanagerstall/request/tanagerstall_first_part_estimate.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace tanagerstall {

/// The properties of a request that its admission depends on.
struct AdmissionRequest
{
  std::string_view service_;
  std::uint32_t rank_ = 0;
  std::uint64_t promptTokens_ = 0;
  /// The estimated work, in prompt tokens.
  double work_ = 1.0;
  /// A hash of the organisation and the session.
  std::uint64_t caller_ = 0;
  Duration target_{ 0 };
  /// The route's timeout, and what the caller has left of its time.
  Duration timeout_{ 0 };
  Duration timeLeft_{ 0 };
};

/// The inputs of a decision and its result.
struct AdmissionDecision
{
  bool isRefused_ = false;
  /// Whether it was refused because its first part can't arrive in time.
  bool isHopeless_ = false;
  Duration retryAfter_{ 0 };
  /// The estimated time to the first response part.
  Duration estimate_{ 0 };
  /// The compound priority: the rank plus a fraction. A higher one is less
  /// urgent.
  double priority_ = 0.0;
  /// Requests with a higher compound priority are refused.
  double level_ = 0.0;
  /// The age of the sums over all entries; nullopt if they aren't used.
  std::optional<Duration> sharedAge_;
};

/// Decides which requests go on while replicas have too little capacity, by the
/// time that work waits for its first response part: the sum of the work that
/// waits, divided by the work served per second. Less urgent requests are
/// refused at a shorter wait than more urgent ones. Uses the sums over all
/// entries, or the entry's own if those are out of date. Does no I/O and reads
/// no clock; not thread-safe.
class AdmissionControl
{
public:
  explicit AdmissionControl(std::uint64_t aSeed);

  /// Sets the services to which admission applies, and their ranks: those with
  /// engines, by the routes with target latencies.
  void SetPlan(const TrafficPlan& aPlan);
  /// Sets how many requests the present replicas run at once. Without replicas
  /// that announce slots, a service's requests aren't refused.
  void SetReplicas(const ReplicasByService& aReplicas);
  /// Sets by how many entries callers are shared.
  void SetShareDivisor(std::uint32_t aDivisor);
  /// Adopts the sums over all entries, which include the report that this entry
  /// made at `aReportedAt`.
  void AdoptSums(AdmissionSumsByService aSums, TimePoint aReportedAt);

  AdmissionDecision Decide(const AdmissionRequest& aRequest, TimePoint aNow);
  /// Observes a request that is sent. OnEnd() must follow.
  void OnSend(const AdmissionRequest& aRequest, TimePoint aNow);
  void OnFirstPart(const AdmissionRequest& aRequest,
                   Duration aWait,
                   TimePoint aNow);
  /// Observes the end of a request that was sent, and its wait if it expired
  /// without a first part.
  void OnEnd(const AdmissionRequest& aRequest,
             bool aHadFirstPart,
             std::optional<Duration> aExpiredWait,
             TimePoint aNow);

  /// Returns this entry's own sums, of services with requests.
  AdmissionSumsByService Report(TimePoint aNow);
  /// Returns the level of each service, as the number of ranks that it admits;
  /// may have a fraction.
  std::map<std::string, double> Levels(TimePoint aNow);

private:
  struct Rank
  {
    /// The smallest target latency of its routes and of more urgent ranks, in
    /// seconds.
    double budget_ = 0.0;
    double waiting_ = 0.0;
    std::uint32_t waitingRequests_ = 0;
    /// The work served, decayed exponentially.
    double served_ = 0.0;
    /// The largest time left of recent requests, as a part of the timeout.
    double largestTimeLeft_ = 0.0;
  };

  struct Service
  {
    std::map<std::uint32_t, Rank> ranks_;
    std::uint64_t slots_ = 0;
    std::uint32_t running_ = 0;
    TimePoint decayedAt_;
    /// When the first request was sent.
    std::optional<TimePoint> startedAt_;
    /// Since when some requests are refused.
    std::optional<TimePoint> refusesSince_;
    TimePoint refusedAt_;
    TimePoint overloadedUntil_;
    FirstPartEstimate estimate_;
  };

  /// The level of a service and where it comes from.
  struct Level
  {
    double admitted_ = 0.0;
    Duration wait_{ 0 };
    /// The largest wait of a rank relative to its budget.
    double pressure_ = 0.0;
    std::optional<Duration> sharedAge_;
  };

  static Level Hold(Service& aService, Level aLevel, TimePoint aNow);
  Service* Find(std::string_view aService);
  static void Decay(Service& aService, TimePoint aNow);
  static void EndWaiting(Service& aService,
                         const AdmissionRequest& aRequest,
                         bool aIsServed);
  static AdmissionSums OwnSums(const Service& aService, TimePoint aNow);
  static void ReduceBySpread(AdmissionSums& aSums, const Service& aService);
  Level LevelOf(const std::string& aName, Service& aService, TimePoint aNow);
  static Level LevelBy(const AdmissionSums& aSums,
                       const Service& aService,
                       double aShares);
  static Duration UsedTime(const AdmissionRequest& aRequest, Rank& aRank);
  double FractionOf(const AdmissionRequest& aRequest, TimePoint aNow) const;
  Duration RetryAfter(const AdmissionRequest& aRequest,
                      const Service& aService,
                      const Level& aLevel,
                      TimePoint aNow);

  std::mt19937_64 random_;
  std::uint64_t salt_;
  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, std::uint64_t> slots_;
  std::uint32_t divisor_ = 1;
  AdmissionSumsByService shared_;
  std::optional<TimePoint> sharedAt_;
};

} // namespace tanagerstall

#endif
