#ifndef TANAGERSTALL_ROLLOUT_ORDERS_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_ORDERS_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace tanagerstall {

enum class RolloutFault
{
  /// The declaration in force doesn't contain the service.
  UnknownService,
  /// The outcome is unknown, or nothing can be decided here. The order may be
  /// repeated here or at another control process.
  Unavailable
};

struct RolloutError
{
  RolloutFault fault_;
  std::string detail_;
};

using RolloutResult = tl::expected<RolloutReply, RolloutError>;

/// What a control process knows about the service of an order without asking
/// the others.
struct RolloutFacts
{
  /// Whether the declaration in force here contains the service.
  bool isServiceKnown_ = false;
  /// The number of that declaration.
  DeclarationNumber declaration_;
  /// Whether all members are known to apply the commands of roll-outs.
  bool canAllApply_ = false;
  /// Whether all replicas have had time to announce themselves since the start,
  /// and all control processes have reported theirs recently.
  bool hasHeardAll_ = false;
  /// The replicas of the service that accept new work.
  std::vector<Replica> replicas_;
  std::optional<Rollout> latest_;
};

/// Returns what the state and the present replicas say of a service. The caller
/// adds what else it knows.
RolloutFacts
FactsOf(const std::string& aService,
        const FleetState& aState,
        const ReplicasByService& aReplicas);

/// The functions of a control process that an order uses.
struct RolloutOrderHooks
{
  using GroupCall = std::function<GroupResult(const Bytes&)>;

  GroupCall propose_;
  GroupCall query_;
  std::function<RolloutFacts(const std::string& aService)> readFacts_;
  PlanDecoder decodePlan_;
};

/// Handles the operators' orders of roll-outs at one control process. What this
/// process alone knows may be out of date, so a quorum confirms it before an
/// order is refused because of it.
class RolloutOrders
{
public:
  explicit RolloutOrders(RolloutOrderHooks aHooks);

  /// Commits an order, unless its service is unknown or the service's replicas
  /// already have the version.
  RolloutResult Start(const RolloutOrder& aOrder) const;
  /// Returns the roll-outs after a quorum confirmed that they are current.
  tl::expected<RolloutsByService, GroupError> Read() const;

private:
  using Check = tl::expected<void, RolloutError>;

  RolloutResult Decide(const RolloutOrder& aOrder) const;
  /// Looks a service up that the declaration in force here doesn't contain, in
  /// the one that a quorum confirms.
  Check CheckService(const std::string& aService,
                     const RolloutFacts& aFacts) const;
  /// Replaces what the facts say of the record by what a quorum confirms. The
  /// order may have been accepted before, at another control process.
  Check ConfirmRecord(const std::string& aService, RolloutFacts& aFacts) const;

  RolloutOrderHooks hooks_;
};

/// How the versions of a service's replicas relate to a version.
enum class VersionUse
{
  /// All replicas that get requests have it.
  InEffect,
  NotInEffect,
  /// Not enough replicas are known yet.
  Unknown
};

/// Judges a version by the replicas that get requests: after a roll-out was
/// rolled back, those of other versions; after one was completed, those of its
/// version and those that started later.
VersionUse
JudgeVersion(const std::string& aVersion, const RolloutFacts& aFacts);

} // namespace tanagerstall

#endif
