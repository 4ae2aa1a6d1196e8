#ifndef TANAGERSTALL_FLEET_CONTROL_HPP_INCLUDED
#define TANAGERSTALL_FLEET_CONTROL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_selection.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/process/tanagerstall_cloud_calls.hpp"
#include "tanagerstall/process/tanagerstall_rollout_controller.hpp"
#include "tanagerstall/process/tanagerstall_rollout_orders.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <memory>

namespace tanagerstall {

/// The settings of a fleet's control process.
struct FleetControlSettings
{
  std::string id_;
  std::string region_;
  /// The address for operators and replicas.
  Address controlAddress_;
  /// The address of the directory, where callers look up entries.
  Address directoryAddress_;
  /// The internal address for reports of entries.
  Address entriesAddress_;
  /// The address that serves metrics.
  Address metricsAddress_;
  ClientSettings clients_;
  MemberSettings member_;
  /// Time after its last announcement until a replica expires.
  Duration replicaTimeToLive_ = std::chrono::seconds(5);
  /// The length of a usage window.
  Duration usageWindow_ = std::chrono::seconds(5);
  /// How long an earlier leader may continue to act.
  Duration leaderLease_ = std::chrono::seconds(3);
  /// Within this window an organisation may use its rate and its burst, plus
  /// the fraction `costOvershoot_` of both, plus the fixed cost `costSlack_`.
  Duration costWindow_ = std::chrono::seconds(8);
  double costOvershoot_ = 0.0;
  double costSlack_ = 0.0;
  std::size_t maxDirectoryEntries_ = 64;
  RolloutBounds rollouts_;
};

class FleetControl;

/// The functions that differ between deployments.
struct FleetControlHooks
{
  PlanDecoder decodePlan_;
  std::function<void(HttpExchange&, FleetControl&)> handleControl_;
  std::function<void(HttpExchange&, FleetControl&)> handleDirectory_;
  CloudCalls cloud_;
  /// Reads the contacts from the current settings.
  std::function<std::vector<Address>()> readContacts_;
};

/// A fleet's control process: a cluster member that stores the declaration,
/// accepts announcements of replicas and sends both to entries.
class FleetControl
{
public:
  FleetControl(FleetControlSettings aSettings, FleetControlHooks aHooks);
  ~FleetControl();

  /// Serves until a shutdown signal arrives. Returns the exit status.
  int Run();

  // The functions below may be called from traffic threads.

  /// Commits a validated declaration. One whose number is not greater than the
  /// current number is accepted without effect. Fails unless the fleet has this
  /// declaration or a later one then.
  tl::expected<void, GroupError> Declare(Fiber& aFiber,
                                         const Declaration& aDeclaration);
  /// Returns the current declaration after a quorum confirmed that it is
  /// current, or nullopt if there is none.
  tl::expected<std::optional<Declaration>, GroupError> ReadDeclaration(
    Fiber& aFiber);
  /// Commits an order of a roll-out, with the current time as its time.
  RolloutResult StartRollout(Fiber& aFiber, RolloutOrder aOrder);
  /// Returns the latest roll-out of each service after a quorum confirmed that
  /// they are current.
  tl::expected<RolloutsByService, GroupError> ReadRollouts(Fiber& aFiber);
  /// Applies an announcement of a replica. A stale one has no effect. Returns
  /// whether it may be acknowledged: one of a replica that drains only when a
  /// majority of the control processes know of it.
  bool Announce(Fiber& aFiber, const Replica& aReplica);
  /// Records that a replica leaves. `aStartTimeMs` is 0 if it didn't send its
  /// start time. Returns whether that may be acknowledged: not if the run that
  /// leaves can't be known here, with nothing recorded, or if no majority of
  /// the control processes came to know of it in time.
  bool Leave(Fiber& aFiber, const std::string& aId, std::uint64_t aStartTimeMs);
  /// Returns the entries that a caller should use, at most
  /// `maxDirectoryEntries_`; none during the warm-up after the start.
  std::vector<EntryInfo> EntriesFor(Fiber& aFiber,
                                    const CallerLocation& aCaller);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
