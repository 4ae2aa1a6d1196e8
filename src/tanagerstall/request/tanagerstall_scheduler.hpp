#ifndef TANAGERSTALL_SCHEDULER_HPP_INCLUDED
#define TANAGERSTALL_SCHEDULER_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_attempt_budget.hpp"
#include "tanagerstall/request/tanagerstall_fair_queue.hpp"
#include "tanagerstall/request/tanagerstall_length_estimates.hpp"
#include "tanagerstall/request/tanagerstall_policy_options.hpp"
#include "tanagerstall/request/tanagerstall_service_capacity.hpp"
#include "tanagerstall/request/tanagerstall_upstream_estimate.hpp"
#include "tanagerstall/version/tanagerstall_routing_snapshot.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace tanagerstall {

/// The properties of a request that the scheduling policy uses.
struct RequestTraits
{
  std::string service_;
  std::string organisation_;
  /// The organisation's weight in fair queueing, relative to others.
  double weight_ = 1;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t maxTokens_ = 0;
  /// Hash of the prompt's prefix; 0 disables prefix affinity.
  std::uint64_t prefixHash_ = 0;
  TimePoint deadline_ = TimePoint::max();
  /// Ids of upstreams that earlier attempts used.
  std::vector<std::string> avoid_;
};

/// Why a request was refused.
enum class RefusalReason
{
  UnknownService,
  NoUpstream,
  Overloaded,
  DeadlineTooNear
};

/// A refused request and the delay after which the caller may retry.
struct Refusal
{
  RefusalReason reason_;
  std::chrono::milliseconds retryAfter_;
};

/// Permission to run one attempt at one upstream.
struct Dispatch
{
  /// Unique within this process.
  std::uint64_t attempt_ = 0;
  UpstreamInfo upstream_;
  /// Priority for engines that support it; lower values are served first.
  int priority_ = 0;
};

/// How an attempt ended.
enum class AttemptEnd
{
  Completed,
  Failed,
  /// No byte of the request was sent.
  NeverSent,
  /// The caller disconnected or the attempt was abandoned.
  Cancelled
};

/// The decision on a waiting request: a dispatch or a refusal.
struct Decision
{
  std::uint64_t ticket_ = 0;
  tl::expected<Dispatch, Refusal> result_;
};

/// Decides when each attempt starts and at which upstream. It reads no clock,
/// does no I/O and isn't thread-safe; the caller serialises all calls.
class Scheduler
{
public:
  explicit Scheduler(PolicyOptions aOptions = {}, std::uint64_t aSeed = 1);

  /// Queues a request for an attempt and returns its ticket.
  std::uint64_t Enqueue(RequestTraits aTraits, TimePoint aNow);
  /// Removes a waiting request; does nothing if it no longer waits.
  void Cancel(std::uint64_t aTicket);
  /// Returns all decisions that can be made now. Must be called after every
  /// other event and at least every 100 ms while requests wait.
  std::vector<Decision> Decide(const RoutingSnapshot& aSnapshot,
                               TimePoint aNow);
  /// Records that tokens or body bytes of an attempt arrived.
  void OnProgress(std::uint64_t aAttempt,
                  std::uint64_t aTokens,
                  TimePoint aNow);
  /// Records the end of an attempt and releases its slot.
  void Finish(std::uint64_t aAttempt, AttemptEnd aEnd, TimePoint aNow);

  /// The time without progress after which an attempt counts as stalled.
  Duration ProgressTimeout(std::uint64_t aAttempt) const;
  /// Whether an attempt is running and hasn't made any progress yet.
  bool IsAwaitingFirstPart(std::uint64_t aAttempt) const;
  /// Takes one extra attempt from the budget to move a stalled attempt to
  /// another upstream. False if no other upstream can take it or the budget is
  /// spent; the attempt then continues to wait.
  bool TakeMove(std::uint64_t aAttempt,
                const RoutingSnapshot& aSnapshot,
                TimePoint aNow);
  /// Sets the average number of retries and moves allowed per request.
  void SetRetryRatio(double aRatio) { budget_.SetRatio(aRatio); }
  /// Takes one extra attempt from the budget after a failure; false if the
  /// budget is spent.
  bool TakeRetry();
  std::size_t WaitingCount() const { return waiting_.size(); }

private:
  struct Waiting
  {
    RequestTraits traits_;
    FairQueue::FlowKey flow_;
    double estimatedTokens_ = 0;
    TimePoint arrivedAt_;
    /// When the request will probably start.
    TimePoint expectedStart_;
    /// Whether the queue was full when the request arrived.
    bool isQueueFull_ = false;
  };
  struct Attempt
  {
    std::string upstream_;
    RequestTraits traits_;
    double estimatedTokens_ = 0;
    /// The part of the upstream's `outstandingTokens_` due to this attempt.
    double remainingTokens_ = 0;
    std::uint64_t producedTokens_ = 0;
    bool isLong_ = false;
    Duration expectedFirstToken_{};
    TimePoint sentAt_;
    TimePoint progressAt_;
  };
  using Candidate = const PresentUpstream*;

  bool IsShort(double aEstimatedTokens) const;
  double EntryShare(const RoutingSnapshot& aSnapshot) const;
  ServiceCapacity& CapacityOf(const RoutingSnapshot& aSnapshot,
                              const std::string& aService,
                              TimePoint aNow);
  bool HasCapacityAt(const ServiceCapacity& aCapacity,
                     const PresentUpstream& aUpstream,
                     bool aIsLong) const;
  std::vector<Candidate> Sample(const std::vector<PresentUpstream>& aAll,
                                std::uint64_t aPrefixHash);
  bool CanUse(const PresentUpstream& aUpstream,
              const RequestTraits& aTraits,
              bool aIsLong,
              TimePoint aNow);
  std::vector<Candidate> Candidates(const RoutingSnapshot& aSnapshot,
                                    const RequestTraits& aTraits,
                                    bool aIsLong,
                                    TimePoint aNow);
  Candidate Choose(const std::vector<Candidate>& aCandidates,
                   const RequestTraits& aTraits,
                   double aEstimatedTokens,
                   TimePoint aNow);
  Duration ExpectedTimeToFirstToken(const PresentUpstream& aUpstream,
                                    const RequestTraits& aTraits,
                                    bool aIsPreferred,
                                    TimePoint aNow);
  Dispatch Start(const PresentUpstream& aUpstream,
                 const Waiting& aWaiting,
                 TimePoint aNow);
  void RefuseUnservable(TimePoint aNow, std::vector<Decision>& aDecisions);
  Duration ExpectedDuration(const Waiting& aWaiting, TimePoint aNow) const;
  void DemoteIfLong(Attempt& aAttempt);
  void UpdateRemainingTokens(Attempt& aAttempt, UpstreamEstimate& aUpstream);

  PolicyOptions options_;
  std::mt19937_64 random_;
  FairQueue queue_;
  AttemptBudget budget_;
  LengthEstimates lengths_;
  std::map<std::uint64_t, Waiting> waiting_;
  /// How long the last started request of each queued flow had waited.
  std::map<FairQueue::FlowKey, Duration> lastWaits_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::string, UpstreamEstimate> upstreams_;
  std::map<std::string, ServiceCapacity, std::less<>> capacities_;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t lastAttempt_ = 0;
  std::size_t nextRoundRobin_ = 0;
};

} // namespace tanagerstall

#endif
