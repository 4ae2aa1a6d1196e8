#ifndef TANAGERSTALL_LEADER_TASKS_HPP_INCLUDED
#define TANAGERSTALL_LEADER_TASKS_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_leader_lease.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/process/tanagerstall_cloud_calls.hpp"
#include "tanagerstall/process/tanagerstall_replica_placement.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace tanagerstall {

struct LeaderTaskSettings
{
  /// The identity of this process in calls to the cloud.
  std::string id_;
  /// How long an earlier leader may continue to act.
  Duration lease_ = std::chrono::seconds(3);
  /// The length of a usage window.
  Duration usageWindow_ = std::chrono::seconds(5);
};

/// The functions that the leader tasks call. All but the calls to the cloud run
/// on the control thread.
struct LeaderTaskHooks
{
  CloudCalls cloud_;
  /// Returns the usage that entries reported for a window.
  std::function<UsageWindow(std::int64_t aWindow)> sumUsage_;
  /// Returns the placement input of every service that is scaled.
  std::function<std::vector<PlacementInput>()> readServices_;
};

/// Reports usage and orders replicas for the whole cluster while this member
/// holds the leader lease. Each call to the cloud carries the term of the log
/// as fencing token and is sent only shortly after a quorum confirmed the
/// leader.
class LeaderTasks
{
public:
  LeaderTasks(LeaderTaskSettings aSettings,
              LeaderTaskHooks aHooks,
              ControlLoop& aLoop,
              Clock aClock,
              RaftMember& aMember);

  /// Records whether this member leads. Runs on the control thread.
  void Observe(TimePoint aNow);
  /// Whether this member has led without interruption for a minimum time. Runs
  /// on the control thread.
  bool IsSteadyLeader(TimePoint aNow) const;
  /// Whether this member holds the leader lease. Runs on the control thread.
  bool HasLease(TimePoint aNow) const;

  /// Has a quorum confirm the leadership; ends with whether this member holds
  /// the leader lease. Runs on the control thread.
  void ConfirmLease(const std::function<void(bool)>& aDone);
  /// When the last confirmation by a quorum was requested.
  TimePoint ConfirmedAt() const { return confirmedAt_; }

  /// Runs the leader tasks in an endless loop on a traffic thread's fiber.
  void Run(Fiber& aFiber);

private:
  const Raft& Core() const;
  /// Whether the last confirmation by a quorum is still valid.
  bool CanAct() const;
  /// What that confirmation permits a call.
  CallPermit Permit() const;
  void PlaceReplicas(Fiber& aFiber);
  void SendOrder(Fiber& aFiber,
                 const ReplicaOrder& aOrder,
                 const PlacementInput& aInput);
  std::optional<std::int64_t> NextWindow() const;
  void ReportUsage(Fiber& aFiber);

  LeaderTaskSettings settings_;
  LeaderTaskHooks hooks_;
  ControlLoop& loop_;
  Clock clock_;
  RaftMember& member_;
  LeaderLease lease_;
  std::atomic<Term> token_{ 0 };
  std::atomic<TimePoint> confirmedAt_{ TimePoint() };
  /// Accessed by the fiber of Run() only, like `placement_`.
  std::int64_t lastReportedWindow_ = 0;
  ReplicaPlacement placement_;
};

} // namespace tanagerstall

#endif
