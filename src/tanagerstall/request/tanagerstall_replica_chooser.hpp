#ifndef TANAGERSTALL_REPLICA_CHOOSER_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_CHOOSER_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_work_class.hpp"
#include "tanagerstall/request/tanagerstall_long_answer_share.hpp"
#include "tanagerstall/request/tanagerstall_replica_rate_limits.hpp"
#include "tanagerstall/request/tanagerstall_requested_backoff.hpp"
#include "tanagerstall/request/tanagerstall_return_limit.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tanagerstall {

/// The properties of a request that the choice of a replica depends on.
struct ChoiceRequest
{
  std::string service_;
  /// Requests with the same key share a part of their prompts; 0 for none.
  std::uint64_t affinityKey_ = 0;
  /// Long if generating the response takes longer than reading the prompt.
  WorkClass work_ = WorkClass::Plain;
  /// Work of the request, in tokens or another unit; at least 1.
  double cost_ = 1.0;
  /// Ids of replicas that must not be chosen.
  std::set<std::string> excluded_;
  /// If set, only replicas of this software version may be chosen.
  std::optional<std::string> version_{};
  /// Returns whether a replica may be chosen; all may without it.
  std::function<bool(const Replica&)> isAllowed_{};
  /// Whether no replica is chosen if all that may be have failed lately.
  bool needsHealthy_ = false;
};

/// How an attempt at a replica ended.
enum class AttemptOutcome
{
  /// The replica responded, possibly with an error caused by the request.
  Answered,
  /// The replica ran the request and responded with a server error.
  Failed,
  /// The replica refused the request without running it.
  Refused,
  /// The request was refused because another replica now has the address.
  Misdirected,
  /// No connection could be made.
  Unreachable,
  /// The connection broke or the response was malformed.
  Broken,
  /// The caller disconnected or the deadline passed.
  Abandoned,
  /// The replica stopped taking requests before this one was sent.
  Withdrawn
};

/// Chooses a replica for each attempt by the work that this entry runs there,
/// by affinity and by the observed latency and failures. Requests that share
/// a part of their prompts go to one replica until it has clearly more work
/// than the others. Some replicas are reserved for long responses, which would
/// pause while the replica reads long prompts; all entries reserve the same
/// ones without coordination. The work of a slow replica is weighted by the
/// delay of its first parts; one that fails more of its requests than the
/// others is avoided for a while; one that has said that it leaves, or that it
/// wants no requests, gets none, and one that has named a rate gets no more.
/// Does no I/O and reads no clock; not thread-safe.
class ReplicaChooser
{
public:
  struct Settings
  {
    std::string failureDomain_;
    /// The region of each failure domain; one that is missing is its own
    /// region.
    std::map<std::string, std::string> regions_;
  };

  ReplicaChooser(Settings aSettings, std::uint64_t aSeed);

  /// Replaces the replicas that can be chosen.
  void SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas);
  /// Returns the replica for a request, if there is any. The request counts as
  /// running there until Finish() is called.
  std::optional<Replica> Choose(const ChoiceRequest& aRequest, TimePoint aNow);
  void Finish(const Replica& aReplica,
              double aCost,
              AttemptOutcome aOutcome,
              TimePoint aNow);
  /// Records how long a request waited for the first part of its response, also
  /// if none arrived.
  void ObserveFirstPart(const Replica& aReplica,
                        Duration aWait,
                        TimePoint aNow);
  /// Records what a replica said of itself. Returns whether that is news.
  bool RecordNotice(const Replica& aReplica,
                    const ReplicaNotice& aNotice,
                    TimePoint aNow);
  /// Records the rate limit that the response to a request named, or that it
  /// named none; the request was sent at `aSentAt`. Returns whether that is
  /// news.
  bool RecordRate(const Replica& aReplica,
                  std::optional<double> aPerSecond,
                  TimePoint aSentAt,
                  TimePoint aNow);
  /// The limits that this entry knows, and those that others have learnt.
  ReplicaRateLimits& RateLimits() { return rateLimits_; }
  /// Adopts the number of long responses for which replicas are reserved.
  void SetLongResponses(
    const std::map<std::string, std::uint32_t>& aLongResponses,
    TimePoint aNow);
  /// Sets the number by which this entry divides what all entries share.
  void SetShareDivisor(std::uint32_t aDivisor);
  /// Whether a request may be sent to the replica now, although it was chosen
  /// earlier.
  bool MaySend(const Replica& aReplica, TimePoint aNow) const;
  /// Returns how long it takes until a replica of the service takes requests
  /// again, if all that are present have asked for a back-off, leave, or may
  /// get no further request now by the rate that they named; nullopt otherwise.
  std::optional<Duration> TimeUntilOpen(const std::string& aService,
                                        TimePoint aNow) const;
  /// Counts the present replicas with this availability, by service.
  std::map<std::string, std::size_t> CountReplicas(
    ReplicaAvailability aAvailability,
    TimePoint aNow) const;
  /// Counts the present replicas that have named a rate limit, by service.
  std::map<std::string, std::size_t> CountRateLimited() const;
  /// Whether kept connections to the replica may be used again.
  bool IsWanted(const std::string& aId, TimePoint aNow) const;
  std::size_t CountReplicas(const std::string& aService) const;
  /// The number of this entry's requests that run at a replica.
  std::uint32_t RunningAt(const Replica& aReplica) const;
  /// The number of this entry's requests that run at a service's replicas.
  std::uint32_t Running(const std::string& aService) const;

private:
  struct ReplicaStats
  {
    std::uint64_t startTimeMs_ = 0;
    std::uint32_t running_ = 0;
    double work_ = 0.0;
    /// Failures since the last response.
    std::uint32_t failures_ = 0;
    /// Smoothed share of the responses that were server errors.
    double errorShare_ = 0.0;
    TimePoint avoidUntil_;
    /// Smoothed time to the first part, in milliseconds.
    double firstPartMs_ = 0.0;
    std::uint32_t samples_ = 0;
    TimePoint sampledAt_;
  };

  ReplicaStats& StatsOf(const Replica& aReplica);
  void RecordResponse(const std::string& aService,
                      ReplicaStats& aStats,
                      bool aIsError,
                      TimePoint aNow);
  ReturnLimit& ReturnLimitOf(const std::string& aService);
  bool MayUseReturning(const std::vector<Replica>& aReplicas, TimePoint aNow);
  double SlownessOf(const Replica& aReplica, TimePoint aNow) const;
  bool IsInRegion(const Replica& aReplica) const;
  const Replica* Pick(const std::vector<const Replica*>& aFrom,
                      const ChoiceRequest& aRequest,
                      TimePoint aNow);
  void PartitionReplicas();
  void PartitionService(const std::string& aService,
                        const std::vector<Replica>& aReplicas);
  std::vector<const Replica*> FilterByWork(
    const std::vector<const Replica*>& aFrom,
    WorkClass aWork) const;
  std::vector<const Replica*> Candidates(const ChoiceRequest& aRequest,
                                         TimePoint aNow);

  Settings settings_;
  std::mt19937_64 random_;
  std::shared_ptr<const ReplicasByService> replicas_;
  RequestedBackoff backoff_;
  ReplicaRateLimits rateLimits_;
  std::map<std::string, ReturnLimit> returnLimits_;
  LongAnswerShare longAnswerShare_;
  /// The replicas that can be chosen, by id; owned by `replicas_`.
  std::map<std::string, const Replica*> present_;
  /// Replicas of this region that are reserved for long responses, and the
  /// others. Both are empty if there are too few replicas to split.
  std::set<std::string> forLongAnswers_;
  std::set<std::string> forOthers_;
  std::map<std::string, ReplicaStats> stats_;
  /// Smoothed time to the first part for each service, in milliseconds.
  std::map<std::string, double> serviceFirstPartMs_;
  /// Smoothed share of each service's responses that were server errors.
  std::map<std::string, double> serviceErrorShare_;
};

} // namespace tanagerstall

#endif
