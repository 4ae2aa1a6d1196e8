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
  /// This process, as the cloud gets to know its holder.
  std::string id_;
  /// How long an earlier holder may go on.
  Duration lease_ = std::chrono::seconds(3);
  Duration usageWindow_ = std::chrono::seconds(5);
};

/// What the duties need; all but the cloud's calls run on the control thread.
struct LeaderTaskHooks
{
  CloudCalls cloud_;
  /// The usage that entries reported of a window.
  std::function<UsageWindow(std::int64_t aWindow)> sumUsage_;
  /// What placement knows of every service that is scaled.
  std::function<std::vector<PlacementInput>()> readServices_;
};

/// Acts for the whole cluster while this member holds the lease: reports usage
/// and orders replicas. Each act is fenced by the term of the log and sent only
/// right after a quorum confirmed the leader.
class LeaderTasks
{
public:
  LeaderTasks(LeaderTaskSettings aSettings,
              LeaderTaskHooks aHooks,
              ControlLoop& aLoop,
              Clock aClock,
              RaftMember& aMember);

  /// Notes whether this member leads; on the control thread.
  void Observe(TimePoint aNow);
  /// Whether this member leads and has done so for a moment; there as well.
  bool IsSteadyLeader(TimePoint aNow) const;
  bool HasLease(TimePoint aNow) const;

  /// Performs the duties for good, on a traffic thread's fiber.
  void Run(Fiber& aFiber);

private:
  const Raft& Core() const;
  void ConfirmLease(const std::function<void(bool)>& aDone);
  /// Whether the process may act as the holder that it was confirmed to be.
  bool CanAct() const;
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
  std::atomic<TimePoint> actUntil_{ TimePoint() };
  /// Touched by the fiber of the duties only.
  std::int64_t lastReportedWindow_ = 0;
  ReplicaPlacement placement_;
};

} // namespace tanagerstall

#endif
