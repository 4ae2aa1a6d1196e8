#ifndef TANAGERSTALL_ROLLOUT_TRAFFIC_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_TRAFFIC_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"
#include "tanagerstall/request/tanagerstall_rollout_counter.hpp"
#include "tanagerstall/request/tanagerstall_rollout_router.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <memory>
#include <string>
#include <vector>

namespace tanagerstall {

/// What an entry does for roll-outs: keeps the chooser to the replicas that may
/// get requests, assigns requests to a side and counts them. Belongs to the
/// thread of the forwarder.
class RolloutTraffic
{
public:
  RolloutTraffic(ReplicaChooser& aChooser, std::uint64_t aSeed);

  void SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas);
  /// Adopts what a control process knows; `aSharesUntil` is set for the
  /// leader.
  void Adopt(const std::vector<RolloutDirective>& aDirectives,
             const std::string& aControl,
             std::optional<TimePoint> aSharesUntil);
  void Renew(const std::string& aControl, TimePoint aSharesUntil);

  RolloutSide Assign(const std::string& aService,
                     std::uint64_t aSession,
                     TimePoint aNow);
  /// Returns the side for another attempt after one at `aSide` failed.
  RolloutSide SideAfter(RolloutSide aSide,
                        const std::string& aService,
                        TimePoint aNow) const;
  std::optional<Replica> Choose(const ChoiceRequest& aRequest,
                                RolloutSide& aSide,
                                TimePoint aNow);

  RolloutCounter& Counter() { return counter_; }
  std::vector<RolloutCounts> Report() const { return counter_.Report(); }

private:
  ReplicaChooser& chooser_;
  RolloutRouter router_;
  RolloutCounter counter_;
  /// All present replicas, also those that get no requests.
  std::shared_ptr<const ReplicasByService> replicas_;
};

/// Counts one attempt of a request for the roll-out of its service.
class RolloutAttempt
{
public:
  RolloutAttempt(RolloutTraffic& aTraffic,
                 const Replica& aReplica,
                 const Route& aRoute,
                 Clock aClock);
  ~RolloutAttempt();
  RolloutAttempt(const RolloutAttempt&) = delete;
  RolloutAttempt& operator=(const RolloutAttempt&) = delete;

  /// Called when the request is sent. Returns true.
  bool OnSend();
  /// Called for each event of a stream.
  void OnEvent();
  void OnEnd(const AttemptResult& aResult);

private:
  RolloutCounter& counter_;
  const Replica& replica_;
  const Route& route_;
  Clock clock_;
  std::optional<RolloutCounter::Sent> sent_;
};

} // namespace tanagerstall

#endif
