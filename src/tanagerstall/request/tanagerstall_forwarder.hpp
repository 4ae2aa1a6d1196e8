#ifndef TANAGERSTALL_FORWARDER_HPP_INCLUDED
#define TANAGERSTALL_FORWARDER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_connection_pool.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_admission_control.hpp"
#include "tanagerstall/request/tanagerstall_attempt_recorder.hpp"
#include "tanagerstall/request/tanagerstall_caller_protocol.hpp"
#include "tanagerstall/request/tanagerstall_cost_limits.hpp"
#include "tanagerstall/request/tanagerstall_crash_quarantine.hpp"
#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_forward_refusal.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"
#include "tanagerstall/request/tanagerstall_request_rate.hpp"
#include "tanagerstall/request/tanagerstall_retry_budgets.hpp"
#include "tanagerstall/request/tanagerstall_rollout_traffic.hpp"
#include "tanagerstall/request/tanagerstall_stream_resumption.hpp"
#include "tanagerstall/request/tanagerstall_usage_counter.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace tanagerstall {

/// Settings of an entry's request forwarding.
struct ForwarderSettings
{
  CallerProtocol protocol_;
  std::string failureDomain_;
  /// The region of each failure domain.
  std::map<std::string, std::string> regions_;
  /// Retries per request that all entries together may make.
  double retryRatio_ = 0.2;
  /// Retries that all entries together may make beyond that ratio.
  double retrySlack_ = 40.0;
  Duration usageWindow_ = std::chrono::seconds(5);
  /// The process's memory for requests; without it only responses are bounded.
  std::shared_ptr<MemoryBudget> memory_ = nullptr;
  /// Whether requests are refused while replicas have too little capacity.
  bool hasAdmission_ = false;
};

/// An entry's traffic statistics, as reported to control.
struct TrafficReport
{
  std::vector<UsageWindow> usage_;
  std::map<std::string, ServiceLoad> services_;
  AdmissionSumsByService admissionSums_;
  /// Requests per second from callers; refused ones count for a part.
  double requestRate_ = 0.0;
  CrashReport crashReport_;
  NamedRates namedRates_;
  /// The number of limits that this entry learnt by itself; grows with each.
  std::uint64_t rateNews_ = 0;
  std::vector<RolloutCounts> rolloutCounts_;
  /// Streams that have begun since the last report, of services that have had
  /// several software versions lately.
  StreamGroups streamStarts_;
  /// Streams that callers resume.
  StreamGroups wantedStreams_;
};

/// Forwards callers' requests to replicas along the routes of the traffic
/// plan. Not thread-safe: one traffic thread owns it, except where noted.
class Forwarder
{
public:
  struct Hooks
  {
    std::function<WallTime()> wallClock_;
    /// Requests the cost that the limits lack from control without delay.
    std::function<void()> requestCost_;
    /// Has the leader asked without delay for the streams that callers resume.
    std::function<void()> requestStreams_{ [] {} };
  };

  Forwarder(ForwarderSettings aSettings, Clock aClock, Hooks aHooks);
  ~Forwarder();

  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan);
  /// The number of the plan's declaration; nullopt before the first one.
  DeclarationNumber PlanNumber() const { return NumberOf(plan_.get()); }
  void SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas);
  /// Sets the number by which this entry divides what all entries share: the
  /// retry slack and the rates that replicas name.
  void SetShareDivisor(std::uint32_t aDivisor);
  /// Adopts the rate limits of replicas that other entries have learnt.
  void AdoptRates(const NamedRates& aRates);
  /// Adopts the number of long responses for which replicas are reserved.
  void SetLongResponses(
    const std::map<std::string, std::uint32_t>& aLongResponses);
  /// The roll-outs that this entry knows, and their counts.
  RolloutTraffic& Rollouts() { return rollouts_; }
  /// Adopts the leader's verdicts on prompt parts and requests.
  void ApplyVerdicts(const CrashVerdicts& aVerdicts);
  /// Adopts the sums over all entries that answer this entry's report of
  /// `aReportedAt`.
  void AdoptAdmissionSums(const AdmissionSumsByService& aSums,
                          TimePoint aReportedAt)
  {
    admission_.AdoptSums(aSums, aReportedAt);
  }
  /// What began the streams that callers resume.
  StreamResumption& Resumption() { return resumption_; }
  /// The level of each service to which admission applies.
  std::map<std::string, double> AdmissionLevels()
  {
    return admission_.Levels(clock_.Now());
  }
  /// Limits() and GetMetrics() may be called, and their results used, from
  /// any thread.
  CostLimits& Limits() { return limits_; }
  const Metrics& GetMetrics() const { return metrics_; }

  /// Responds to one request. Aborts its connection if the response has
  /// started and can't be completed.
  void Handle(HttpExchange& aExchange);

  /// From now on, refuses requests whose deadline is later than `aEnd`, when
  /// this process ends.
  void RefuseBeyond(TimePoint aEnd) { takesUntil_ = aEnd; }
  /// Ends the requests in progress: their callers are told what is known of the
  /// outcome. Refuses all later ones.
  void EndRequests();

  TrafficReport Report();
  /// Counts the present replicas that have asked this entry for a back-off, or
  /// have told it that they leave, by service.
  std::map<std::string, std::size_t> CountReplicas(
    ReplicaAvailability aAvailability) const;
  /// Counts the present replicas that have named a rate limit, by service.
  std::map<std::string, std::size_t> CountRateLimitedReplicas() const;
  /// Closes pooled connections that are idle for too long or whose replicas are
  /// no longer present.
  void TrimConnections();

private:
  struct Progress;

  tl::expected<ForwardedRequest, HttpResponse> Admit(HttpExchange& aExchange);
  std::optional<HttpResponse> CheckOrganisation(HttpExchange& aExchange,
                                                ForwardedRequest& aRequest);
  std::optional<HttpResponse> CheckRate(HttpExchange& aExchange,
                                        ForwardedRequest& aRequest);
  CostDecision AwaitCost(HttpExchange& aExchange,
                         const PlanOrganisation& aOrganisation,
                         double aCost);
  std::optional<HttpResponse> CheckBackoff(const ForwardedRequest& aRequest);
  std::optional<HttpResponse> CheckAdmission(const ForwardedRequest& aRequest);
  std::optional<HttpResponse> CheckQuarantine(const ForwardedRequest& aRequest);
  const std::string& PickService(const Route& aRoute);
  void CountLatency(const ForwardedRequest& aRequest, ServiceLoad& aLoad);
  void Run(HttpExchange& aExchange, ForwardedRequest& aRequest);
  ForwardAttempt::Hooks HooksOf(ForwardedRequest& aRequest,
                                const Replica& aReplica,
                                RolloutAttempt& aCounted,
                                Progress& aProgress);
  AttemptResult TryReplica(HttpExchange& aExchange,
                           ForwardedRequest& aRequest,
                           const Replica& aReplica,
                           bool aReturnsFailures,
                           Progress& aProgress);
  void EndUnanswered(HttpExchange& aExchange,
                     ForwardedRequest& aRequest,
                     const AttemptResult& aLast,
                     const std::optional<HttpResponse>& aFailure);
  ForwardRefusal UnavailableRefusal(const std::string& aService);
  bool TakeRetry(const ForwardedRequest& aRequest, bool aIsSent);
  HttpResponse Refuse(const ForwardedRequest& aRequest,
                      const ForwardRefusal& aRefusal);

  ForwarderSettings settings_;
  Clock clock_;
  Hooks hooks_;
  std::shared_ptr<const TrafficPlan> plan_;
  ConnectionPool pool_;
  BufferBudget buffers_;
  ReplicaChooser chooser_;
  RolloutTraffic rollouts_;
  CostLimits limits_;
  AdmissionControl admission_;
  StreamResumption resumption_;
  CrashQuarantine quarantine_;
  Metrics metrics_;
  AttemptRecorder recorder_;
  UsageCounter usage_;
  RetryBudgets retries_;
  RequestRate arrivals_;
  std::map<std::string, ServiceLoad> loads_;
  /// The latest deadline of requests that are taken.
  TimePoint takesUntil_ = TimePoint::max();
  bool hasEndedRequests_ = false;
  std::set<ForwardAttempt*> attempts_;
  std::mt19937_64 random_;
};

} // namespace tanagerstall

#endif
