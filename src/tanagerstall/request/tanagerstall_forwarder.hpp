#ifndef TANAGERSTALL_FORWARDER_HPP_INCLUDED
#define TANAGERSTALL_FORWARDER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_connection_pool.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_attempt_budget.hpp"
#include "tanagerstall/request/tanagerstall_caller_protocol.hpp"
#include "tanagerstall/request/tanagerstall_cost_limits.hpp"
#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"
#include "tanagerstall/request/tanagerstall_usage_counter.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <functional>
#include <memory>
#include <string>

namespace tanagerstall {

struct ForwardRefusal;

/// How an entry forwards requests.
struct ForwarderSettings
{
  CallerProtocol protocol_;
  std::string failureDomain_;
  /// The region of each failure domain.
  std::map<std::string, std::string> regions_;
  /// Retries per request, over all entries.
  double retryRatio_ = 0.2;
  /// Retries that all entries together may make beyond that.
  double retrySlack_ = 40.0;
  Duration usageWindow_ = std::chrono::seconds(5);
};

/// What control learns of an entry's traffic.
struct TrafficReport
{
  std::vector<UsageWindow> usage_;
  std::map<std::string, ServiceLoad> services_;
};

/// Forwards callers' requests to replicas by the routes of the traffic plan.
/// Used by one traffic thread only.
class Forwarder
{
public:
  struct Hooks
  {
    std::function<WallTime()> wallClock_;
    /// Asks control at once for what the limits lack.
    std::function<void()> requestCost_;
  };

  Forwarder(ForwarderSettings aSettings, Clock aClock, Hooks aHooks);
  ~Forwarder();

  void SetPlan(std::shared_ptr<const TrafficPlan> aPlan);
  void SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas);
  /// How many entries take requests, this one included.
  void SetEntryCount(std::uint32_t aEntries);
  /// These are safe from any thread.
  CostLimits& Limits() { return limits_; }
  const Metrics& GetMetrics() const { return metrics_; }

  /// Answers one request, or ends its connection where an answer that was
  /// begun can't be finished.
  void Handle(HttpExchange& aExchange);

  TrafficReport Report();
  /// Drops what is no longer used.
  void TrimConnections();

private:
  /// Until control has said how many there are.
  static constexpr std::uint32_t kAssumedEntries = 20;

  double RetryBurst() const;
  tl::expected<ForwardedRequest, HttpResponse> Admit(HttpExchange& aExchange);
  std::optional<HttpResponse> CheckOrganisation(ForwardedRequest& aRequest,
                                                const HttpRequest& aHttp);
  std::optional<HttpResponse> CheckRate(HttpExchange& aExchange,
                                        ForwardedRequest& aRequest);
  CostDecision AwaitCost(HttpExchange& aExchange,
                         const PlanOrganisation& aOrganisation,
                         double aCost);
  void Run(HttpExchange& aExchange, ForwardedRequest& aRequest);
  bool TakeRetry(const ForwardedRequest& aRequest, bool aIsSent);
  HttpResponse Refuse(const ForwardedRequest& aRequest,
                      const ForwardRefusal& aRefusal);
  void RecordAnswerLatency(const ForwardedRequest& aRequest);
  void RecordAttempt(const ForwardedRequest& aRequest,
                     const Replica& aReplica,
                     const AttemptResult& aResult,
                     TimePoint aStartedAt);
  AttemptBudget& BudgetOf(const std::string& aService);

  ForwarderSettings settings_;
  Clock clock_;
  Hooks hooks_;
  std::shared_ptr<const TrafficPlan> plan_;
  ConnectionPool pool_;
  ReplicaChooser chooser_;
  CostLimits limits_;
  Metrics metrics_;
  UsageCounter usage_;
  std::map<std::string, AttemptBudget> budgets_;
  std::uint32_t entries_ = kAssumedEntries;
  std::map<std::string, ServiceLoad> loads_;
  std::mt19937_64 random_;
};

} // namespace tanagerstall

#endif
