#ifndef TANAGERSTALL_DUTY_HOLDER_HPP_INCLUDED
#define TANAGERSTALL_DUTY_HOLDER_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_leader_lease.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/process/tanagerstall_fleet_duties.hpp"
#include "tanagerstall/process/tanagerstall_replica_placement.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace tanagerstall {

struct DutySettings
{
  /// This process, as the cloud gets to know its holder.
  std::string id_;
  /// How long an earlier holder may go on.
  Duration lease_ = std::chrono::seconds(3);
  Duration usageWindow_ = std::chrono::seconds(5);
};

/// What the duties need; all but the cloud's calls run on the control thread.
struct DutyHooks
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
class DutyHolder
{
public:
  DutyHolder(DutySettings aSettings,
             DutyHooks aHooks,
             ControlLoop& aLoop,
             Clock aClock,
             RaftMember& aMember);

  /// Notes whether this member leads; on the control thread.
  void Observe(TimePoint aNow);
  /// Whether this member leads and has done so for a moment; there as well.
  bool LeadsSteadily(TimePoint aNow) const;
  bool HoldsLease(TimePoint aNow) const;

  /// Performs the duties for good, on a traffic thread's fiber.
  void Serve(Fiber& aFiber);

private:
  const Raft& Core() const;
  void ConfirmLease(const std::function<void(bool)>& aDone);
  /// Whether the process may act as the holder that it was confirmed to be.
  bool MayAct() const;
  void PlaceReplicas(Fiber& aFiber);
  void PlaceOrder(Fiber& aFiber,
                  const ReplicaOrder& aOrder,
                  const PlacementInput& aInput);
  std::optional<std::int64_t> NextWindow() const;
  void ReportUsage(Fiber& aFiber);

  DutySettings settings_;
  DutyHooks hooks_;
  ControlLoop& loop_;
  Clock clock_;
  RaftMember& member_;
  LeaderLease lease_;
  std::atomic<Term> token_{ 0 };
  std::atomic<TimePoint> actUntil_{ TimePoint() };
  /// Touched by the fiber of the duties only.
  std::int64_t reported_ = 0;
  ReplicaPlacement placement_;
};

} // namespace tanagerstall

#endif
