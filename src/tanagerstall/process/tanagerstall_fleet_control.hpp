#ifndef TANAGERSTALL_FLEET_CONTROL_HPP_INCLUDED
#define TANAGERSTALL_FLEET_CONTROL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_selection.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/process/tanagerstall_cloud_calls.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <memory>

namespace tanagerstall {

/// The settings of a control process of a fleet.
struct FleetControlSettings
{
  std::string id_;
  std::string region_;
  /// Where operators and replicas call.
  Address controlAddress_;
  /// Where callers ask for entries.
  Address directoryAddress_;
  /// Where entries ask; an internal port.
  Address entriesAddress_;
  /// Where metrics are served.
  Address metricsAddress_;
  MemberSettings member_;
  /// How long replicas may stay silent.
  Duration replicaTimeToLive_ = std::chrono::seconds(5);
  Duration usageWindow_ = std::chrono::seconds(5);
  /// How long an earlier holder of duties may go on.
  Duration leaderLease_ = std::chrono::seconds(3);
  /// Organisations may use their rate over this window and a burst, beyond
  /// that a part of both, and a fixed cost.
  Duration costWindow_ = std::chrono::seconds(8);
  double costOvershoot_ = 0.0;
  double costSlack_ = 0.0;
  std::size_t maxDirectoryEntries_ = 64;
};

class FleetControl;

/// What differs between deployments.
struct FleetControlHooks
{
  PlanDecoder decodePlan_;
  std::function<void(HttpExchange&, FleetControl&)> handleControl_;
  std::function<void(HttpExchange&, FleetControl&)> handleDirectory_;
  CloudCalls cloud_;
  /// The contacts as the settings name them now.
  std::function<std::vector<Address>()> readContacts_;
};

/// A control process: a member of the cluster that keeps the declaration, the
/// place where replicas announce themselves, and where entries learn of both.
class FleetControl
{
public:
  FleetControl(FleetControlSettings aSettings, FleetControlHooks aHooks);
  ~FleetControl();

  /// Serves until a signal asks for a stop. Gives the exit status.
  int Run();

  /// These may be called from traffic threads.

  /// Commits a declaration that has been checked. One whose number is not
  /// above the present one's is taken and changes nothing.
  tl::expected<void, GroupError> Declare(Fiber& aFiber,
                                         const Declaration& aDeclaration);
  /// The declaration as a quorum confirms it.
  tl::expected<Declaration, GroupError> ReadDeclaration(Fiber& aFiber);
  /// Takes an announcement in; what is out of date changes nothing.
  void Announce(Fiber& aFiber, const Replica& aReplica);
  void Leave(Fiber& aFiber, const std::string& aId, std::uint64_t aStartTimeMs);
  /// The entries that a caller is told to use.
  std::vector<EntryInfo> EntriesFor(Fiber& aFiber,
                                    const CallerLocation& aCaller);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
