#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <algorithm>
#include <set>

namespace tanagerstall {

namespace {

using std::chrono::milliseconds;

/// Factor on the weight of flows with short work.
constexpr double kShortWeight = 4;
/// Remaining tokens of an attempt past its estimate, as a part of those that
/// it has produced.
constexpr double kOverrunFactor = 0.25;
/// Cost of a prompt token, in output tokens.
constexpr double kPromptTokenCost = 0.1;
constexpr Duration kFixedProgressTimeout = std::chrono::seconds(10);
/// Before its first token an attempt may take this many times the expected
/// time, within these bounds.
constexpr Duration kMinFirstTimeout = milliseconds(1000);
constexpr Duration kMaxFirstTimeout = milliseconds(4000);
constexpr int kFirstTimeoutFactor = 3;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr std::size_t kMaxWaiting = 4096;
constexpr std::size_t kMaxTrackedUpstreams = 16384;

milliseconds
RetryAfter(Duration aWait)
{
  return std::chrono::ceil<milliseconds>(std::max(aWait, kMinRetryAfter));
}

} // namespace

Scheduler::Scheduler(PolicyOptions aOptions, std::uint64_t aSeed)
  : options_(std::move(aOptions))
  , random_(aSeed)
  , budget_(options_.retryRatio_)
{
}

std::uint64_t
Scheduler::Enqueue(RequestTraits aTraits, TimePoint aNow)
{
  bool isFirst = aTraits.avoid_.empty();
  if (isFirst) {
    budget_.OnRequest();
  }
  double estimatedTokens = options_.hasLengthEstimates_
                             ? lengths_.Estimate(aTraits.service_,
                                                 aTraits.organisation_,
                                                 aTraits.promptTokens_,
                                                 aTraits.maxTokens_)
                             : static_cast<double>(aTraits.maxTokens_);
  FairQueue::FlowKey flow;
  flow.service_ = aTraits.service_;
  if (options_.hasFairQueueing_) {
    flow.organisation_ = aTraits.organisation_;
  }
  flow.isShort_ = !options_.hasShortFirst_ || IsShort(estimatedTokens);
  double cost = 1 + estimatedTokens +
                kPromptTokenCost * static_cast<double>(aTraits.promptTokens_);
  double weight = aTraits.weight_;
  if (options_.hasShortFirst_ && flow.isShort_) {
    weight *= kShortWeight;
  }
  auto lastWait = lastWaits_.find(flow);
  TimePoint start =
    isFirst && lastWait != lastWaits_.end() ? aNow + lastWait->second : aNow;
  queue_.Push(flow, weight, { ++lastTicket_, cost }, !isFirst);
  waiting_.emplace(lastTicket_,
                   Waiting{ std::move(aTraits),
                            std::move(flow),
                            estimatedTokens,
                            aNow,
                            start,
                            waiting_.size() >= kMaxWaiting });
  return lastTicket_;
}

void
Scheduler::Cancel(std::uint64_t aTicket)
{
  auto it = waiting_.find(aTicket);
  if (it != waiting_.end()) {
    queue_.Remove(it->second.flow_, aTicket);
    waiting_.erase(it);
  }
}

std::vector<Decision>
Scheduler::Decide(const RoutingSnapshot& aSnapshot, TimePoint aNow)
{
  std::vector<Decision> decisions;
  RefuseUnservable(aNow, decisions);
  std::set<std::pair<std::string, bool>> full;
  Candidate chosen = nullptr;
  bool hasNoUpstream = false;
  auto canServe = [&](const FairQueue::FlowKey& aFlow,
                      const FairQueue::Item& aItem) {
    const Waiting& waiting = waiting_.at(aItem.ticket_);
    bool isLong = !IsShort(waiting.estimatedTokens_);
    if (full.contains({ aFlow.service_, isLong })) {
      return false;
    }
    hasNoUpstream = aSnapshot.UpstreamsOf(aFlow.service_).empty();
    auto candidates = Candidates(aSnapshot, waiting.traits_, isLong, aNow);
    if (candidates.empty() && !hasNoUpstream) {
      full.insert({ aFlow.service_, isLong });
      return false;
    }
    chosen =
      Choose(candidates, waiting.traits_, waiting.estimatedTokens_, aNow);
    return true;
  };
  while (auto item = queue_.Pop(canServe)) {
    auto it = waiting_.find(item->ticket_);
    if (hasNoUpstream) {
      decisions.push_back({ item->ticket_,
                            tl::make_unexpected(Refusal{
                              RefusalReason::NoUpstream, RetryAfter({}) }) });
    } else {
      decisions.push_back({ item->ticket_, Start(*chosen, it->second, aNow) });
    }
    lastWaits_[it->second.flow_] = aNow - it->second.arrivedAt_;
    waiting_.erase(it);
  }
  std::erase_if(lastWaits_, [&](const auto& aPair) {
    return !queue_.HasWaiting(aPair.first);
  });
  return decisions;
}

/// Refuses requests that arrived at a full queue or can probably no longer be
/// answered before their deadline.
void
Scheduler::RefuseUnservable(TimePoint aNow, std::vector<Decision>& aDecisions)
{
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const Waiting& waiting = it->second;
    Duration needed =
      options_.hasEarlyRefusal_ ? ExpectedDuration(waiting, aNow) : Duration(0);
    bool canMeetDeadline = waiting.traits_.deadline_ - aNow > needed;
    if (canMeetDeadline && !waiting.isQueueFull_) {
      ++it;
      continue;
    }
    aDecisions.push_back(
      { it->first,
        tl::make_unexpected(Refusal{ waiting.isQueueFull_
                                       ? RefusalReason::Overloaded
                                       : RefusalReason::DeadlineTooNear,
                                     RetryAfter(needed) }) });
    queue_.Remove(waiting.flow_, it->first);
    it = waiting_.erase(it);
  }
}

/// The expected time until the request starts plus the least time that its
/// response takes from then on.
Duration
Scheduler::ExpectedDuration(const Waiting& aWaiting, TimePoint aNow) const
{
  constexpr Duration kMinTimePerToken = milliseconds(20);
  Duration start = std::max(Duration(0), aWaiting.expectedStart_ - aNow);
  return start + Scaled(kMinTimePerToken, aWaiting.estimatedTokens_);
}

bool
Scheduler::IsShort(double aEstimatedTokens) const
{
  return aEstimatedTokens <= static_cast<double>(kShortTokens);
}

Dispatch
Scheduler::Start(const PresentUpstream& aUpstream,
                 const Waiting& aWaiting,
                 TimePoint aNow)
{
  if (upstreams_.size() > kMaxTrackedUpstreams) {
    std::erase_if(upstreams_, [](const auto& aPair) {
      return aPair.second.outstanding_ == 0;
    });
  }
  Attempt attempt;
  attempt.upstream_ = aUpstream.info_->id_;
  attempt.traits_ = aWaiting.traits_;
  attempt.estimatedTokens_ = aWaiting.estimatedTokens_;
  attempt.remainingTokens_ = aWaiting.estimatedTokens_;
  attempt.isLong_ = !IsShort(aWaiting.estimatedTokens_);
  attempt.expectedFirstToken_ =
    ExpectedTimeToFirstToken(aUpstream, aWaiting.traits_, false, aNow);
  attempt.sentAt_ = aNow;
  attempt.progressAt_ = aNow;
  UpstreamEstimate& upstream = upstreams_[attempt.upstream_];
  capacities_[aWaiting.traits_.service_].OnStart(attempt.isLong_);
  ++upstream.outstanding_;
  upstream.outstandingTokens_ += attempt.remainingTokens_;
  upstream.health_.OnSent(aNow);
  attempts_.emplace(++lastAttempt_, std::move(attempt));
  bool hasLowPriority =
    options_.hasEnginePriority_ && !IsShort(aWaiting.estimatedTokens_);
  return { lastAttempt_, *aUpstream.info_, hasLowPriority ? 1 : 0 };
}

void
Scheduler::OnProgress(std::uint64_t aAttempt,
                      std::uint64_t aTokens,
                      TimePoint aNow)
{
  auto it = attempts_.find(aAttempt);
  if (it == attempts_.end()) {
    return;
  }
  Attempt& attempt = it->second;
  UpstreamEstimate& upstream = upstreams_[attempt.upstream_];
  bool isFirst = attempt.producedTokens_ == 0;
  if (isFirst) {
    Duration prefill =
      PrefillTime(static_cast<double>(attempt.traits_.promptTokens_));
    Duration delay = aNow - attempt.sentAt_ - prefill;
    upstream.OnFirstToken(delay, aNow);
    capacities_[attempt.traits_.service_].OnFirstToken(delay, aNow);
  } else {
    upstream.OnTokens(aTokens, aNow - attempt.progressAt_);
  }
  upstream.health_.OnProgress(isFirst, aNow);
  attempt.producedTokens_ += std::max<std::uint64_t>(1, aTokens);
  attempt.progressAt_ = aNow;
  UpdateRemainingTokens(attempt, upstream);
  if (options_.hasDemotion_) {
    DemoteIfLong(attempt);
  }
}

/// Updates the number of tokens still expected from an attempt. One that has
/// exceeded its estimate is expected to produce a fixed part of what it has
/// produced so far.
void
Scheduler::UpdateRemainingTokens(Attempt& aAttempt, UpstreamEstimate& aUpstream)
{
  auto produced = static_cast<double>(aAttempt.producedTokens_);
  double remaining = aAttempt.estimatedTokens_ - produced;
  if (remaining <= 0 && options_.hasDemotion_) {
    remaining = produced * kOverrunFactor;
  }
  remaining = std::max(1.0, remaining);
  aUpstream.outstandingTokens_ += remaining - aAttempt.remainingTokens_;
  aAttempt.remainingTokens_ = remaining;
}

/// Counts an attempt as long once it has produced more than short work may.
void
Scheduler::DemoteIfLong(Attempt& aAttempt)
{
  if (!aAttempt.isLong_ && aAttempt.producedTokens_ > kShortTokens) {
    aAttempt.isLong_ = true;
    capacities_[aAttempt.traits_.service_].OnDemotion();
  }
}

void
Scheduler::Finish(std::uint64_t aAttempt, AttemptEnd aEnd, TimePoint aNow)
{
  auto it = attempts_.find(aAttempt);
  if (it == attempts_.end()) {
    return;
  }
  Attempt& attempt = it->second;
  UpstreamEstimate& upstream = upstreams_[attempt.upstream_];
  capacities_[attempt.traits_.service_].OnEnd(attempt.isLong_);
  --upstream.outstanding_;
  upstream.outstandingTokens_ -= attempt.remainingTokens_;
  bool isFailed = aEnd == AttemptEnd::Failed;
  upstream.health_.OnEnd(attempt.producedTokens_ > 0, isFailed, aNow);
  if (aEnd == AttemptEnd::Completed) {
    lengths_.Learn(attempt.traits_.service_,
                   attempt.traits_.organisation_,
                   attempt.traits_.promptTokens_,
                   attempt.traits_.maxTokens_,
                   attempt.producedTokens_);
  }
  attempts_.erase(it);
}

Duration
Scheduler::ProgressTimeout(std::uint64_t aAttempt) const
{
  auto it = attempts_.find(aAttempt);
  if (!options_.hasMoves_ || it == attempts_.end() ||
      it->second.producedTokens_ > 0) {
    return kFixedProgressTimeout;
  }
  return std::clamp<Duration>(it->second.expectedFirstToken_ *
                                kFirstTimeoutFactor,
                              kMinFirstTimeout,
                              kMaxFirstTimeout);
}

bool
Scheduler::IsAwaitingFirstPart(std::uint64_t aAttempt) const
{
  auto it = attempts_.find(aAttempt);
  return it != attempts_.end() && it->second.producedTokens_ == 0;
}

bool
Scheduler::TakeMove(std::uint64_t aAttempt,
                    const RoutingSnapshot& aSnapshot,
                    TimePoint aNow)
{
  auto it = attempts_.find(aAttempt);
  if (it == attempts_.end()) {
    return false;
  }
  const Attempt& attempt = it->second;
  RequestTraits traits = attempt.traits_;
  traits.avoid_.push_back(attempt.upstream_);
  for (Candidate candidate :
       Sample(aSnapshot.UpstreamsOf(traits.service_), 0)) {
    if (CanUse(*candidate, traits, attempt.isLong_, aNow)) {
      return budget_.Take();
    }
  }
  return false;
}

bool
Scheduler::TakeRetry()
{
  return budget_.Take();
}

} // namespace tanagerstall
