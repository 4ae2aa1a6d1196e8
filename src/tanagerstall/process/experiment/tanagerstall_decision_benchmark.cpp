#include "tanagerstall/process/experiment/tanagerstall_decision_benchmark.hpp"

#include "tanagerstall/request/tanagerstall_admission_control.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <algorithm>
#include <deque>

namespace tanagerstall {

namespace {

constexpr std::size_t kEntries = 8;
/// Slots of each upstream.
constexpr std::uint32_t kCapacity = 64;
/// From this many running attempts on, each arrival completes the oldest one.
constexpr std::size_t kMaxRunning = 200;
constexpr Duration kArrivalInterval = std::chrono::milliseconds(5);

RoutingSnapshot
MakeSnapshot(std::size_t aUpstreams)
{
  RoutingSnapshot snapshot;
  snapshot.entries_.resize(kEntries);
  auto& upstreams = snapshot.upstreams_["model"];
  for (std::size_t i = 0; i < aUpstreams; ++i) {
    UpstreamInfo info;
    info.id_ = "model-" + std::to_string(i);
    info.service_ = "model";
    info.region_ = "one";
    info.capacity_ = kCapacity;
    upstreams.push_back({ info, TimePoint::max() });
  }
  return snapshot;
}

DecisionCost
Measure(std::size_t aUpstreams, std::size_t aRequests)
{
  RoutingSnapshot snapshot = MakeSnapshot(aUpstreams);
  Scheduler scheduler;
  Clock clock;
  TimePoint now{ std::chrono::hours(1) };
  std::deque<std::uint64_t> running;
  std::vector<Duration> costs;
  for (std::size_t i = 0; i < aRequests; ++i) {
    RequestTraits traits;
    traits.service_ = "model";
    traits.organisation_ = "organisation-" + std::to_string(i % 5);
    traits.promptTokens_ = 800;
    traits.maxTokens_ = 128;
    traits.prefixHash_ = 1 + i % 60;
    now += kArrivalInterval;
    TimePoint start = clock.Now();
    scheduler.Enqueue(std::move(traits), now);
    for (const auto& decision : scheduler.Decide(snapshot, now)) {
      if (decision.result_) {
        running.push_back(decision.result_->attempt_);
        scheduler.OnProgress(running.back(), 20, now);
      }
    }
    if (running.size() >= std::min(kMaxRunning, aUpstreams)) {
      scheduler.Finish(running.front(), AttemptEnd::Completed, now);
      running.pop_front();
    }
    costs.push_back(clock.Now() - start);
  }
  std::sort(costs.begin(), costs.end());
  return { aUpstreams,
           costs[costs.size() / 2],
           costs[costs.size() * 99 / 100] };
}

constexpr std::uint32_t kRanks = 3;

/// Returns the admission control of an overloaded service with `aReplicas`.
AdmissionControl
MakeAdmission(std::size_t aReplicas, TimePoint aNow)
{
  TrafficPlan plan;
  plan.services_["model"].name_ = "model";
  plan.services_["model"].engine_ = EngineCapacity{ kCapacity, 0 };
  AdmissionSums sums;
  for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
    Route route;
    route.targetLatency_ = std::chrono::milliseconds(1000);
    route.timeout_ = std::chrono::milliseconds(6000);
    route.priority_ = rank;
    route.services_ = { { "model", 1 } };
    plan.routes_.push_back(route);
    // A wait of 0.9 s.
    sums.ranks_[rank] = { 90000.0, 100000.0 };
  }
  Replica replica;
  replica.slots_ = kCapacity;
  sums.running_ = static_cast<std::uint32_t>(aReplicas) * kCapacity;
  AdmissionControl control(1);
  control.SetPlan(plan);
  control.SetReplicas(
    { { "model", std::vector<Replica>(aReplicas, replica) } });
  control.AdoptSums({ { "model", sums } }, aNow);
  return control;
}

} // namespace

DecisionCost
MeasureAdmission(std::size_t aReplicas, std::size_t aRequests)
{
  TimePoint now{ std::chrono::hours(1) };
  AdmissionControl control = MakeAdmission(aReplicas, now);
  Clock clock;
  std::vector<Duration> costs;
  for (std::size_t i = 0; i < aRequests; ++i) {
    AdmissionRequest request;
    request.service_ = "model";
    request.rank_ = static_cast<std::uint32_t>(i % kRanks);
    request.promptTokens_ = 800 + i % 60;
    request.caller_ = i;
    request.target_ = std::chrono::milliseconds(1000);
    request.timeout_ = std::chrono::milliseconds(6000);
    request.timeLeft_ = request.timeout_;
    TimePoint start = clock.Now();
    if (!control.Decide(request, now).isRefused_) {
      control.OnSend(request, now);
      control.OnFirstPart(request, std::chrono::milliseconds(500), now);
      control.OnEnd(request, true, std::nullopt, now);
    }
    costs.push_back(clock.Now() - start);
    now += std::chrono::microseconds(1);
  }
  std::sort(costs.begin(), costs.end());
  return { aReplicas, costs[costs.size() / 2], costs[costs.size() * 99 / 100] };
}

std::vector<DecisionCost>
MeasureDecisions(const std::vector<std::size_t>& aUpstreams,
                 std::size_t aRequests)
{
  std::vector<DecisionCost> costs;
  costs.reserve(aUpstreams.size());
  for (std::size_t count : aUpstreams) {
    costs.push_back(Measure(count, aRequests));
  }
  return costs;
}

} // namespace tanagerstall
