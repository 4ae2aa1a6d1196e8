#ifndef TANAGERSTALL_FLEET_STATE_HPP_INCLUDED
#define TANAGERSTALL_FLEET_STATE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_leaves.hpp"
#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/version/tanagerstall_declaration.hpp"
#include "tanagerstall/version/tanagerstall_document_encoding.hpp"
#include "tanagerstall/version/tanagerstall_rollout.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

using CountsByName = std::map<std::string, std::uint64_t>;

/// The number of requests that started to run in one wall-clock window, by
/// organisation.
struct UsageWindow
{
  /// The index of the window since the epoch.
  std::int64_t window_ = 0;
  CountsByName counts_;
};

/// When versions last began to accept work, by service and version.
using VersionStarts = std::map<std::pair<std::string, std::string>, WallTime>;

/// The latest roll-out of each service, by service.
using RolloutsByService = std::map<std::string, Rollout>;

/// What a query of the state returns.
enum class FleetQuery : std::uint8_t
{
  /// The declaration and the roll-outs.
  All,
  /// The roll-outs, without the declaration's document.
  Rollouts
};

/// The fleet's replicated state: the declaration with the highest number, the
/// latest roll-out of each service, the replicas that left and the versions
/// that began to accept work recently, and the agreed usage of recent windows,
/// which may still have to be reported.
class FleetState
{
public:
  using ChangeHook = std::function<void()>;

  /// `aOnChange` is called when a newer declaration is applied, when a roll-out
  /// starts or ends, when replicas leave, when a version begins to accept work,
  /// and after a snapshot is installed.
  explicit FleetState(ChangeHook aOnChange = nullptr);

  /// Returns the state machine of this state for a Raft group.
  StateMachine AsStateMachine();

  /// The declaration with the highest number, or nullopt if there is none.
  const std::optional<Declaration>& Current() const { return current_; }
  const RolloutsByService& Rollouts() const { return rollouts_; }
  /// Returns the latest roll-out of a service, or nullptr if it has none.
  const Rollout* FindRollout(const std::string& aService) const;
  const ReplicaLeaves& Leaves() const { return leaves_; }
  const VersionStarts& StartedVersions() const { return versionStarts_; }
  /// Returns the agreed counts of a window, or nullopt if there are none.
  std::optional<CountsByName> AgreedUsage(std::int64_t aWindow) const;

  /// Members of builds that don't know an encoding can't apply the command.
  static Bytes EncodeDeclare(
    const Declaration& aDeclaration,
    DocumentEncoding aEncoding = DocumentEncoding::Compressed);
  static Bytes EncodeUsage(const UsageWindow& aUsage);
  /// Members of builds without roll-outs can't apply these two commands.
  static Bytes EncodeStartRollout(const RolloutOrder& aOrder);
  /// The command has no effect unless the roll-out with this id is running.
  static Bytes EncodeEndRollout(std::uint64_t aId,
                                RolloutState aState,
                                WallTime aEndedAt);
  /// Records replicas that drain or have departed.
  static Bytes EncodeLeaves(const std::vector<Replica>& aReplicas,
                            WallTime aRecordedAt);
  /// Records that a version begins to accept work, for the first time or after
  /// a while without.
  static Bytes EncodeVersionStart(const std::string& aService,
                                  const std::string& aVersion,
                                  WallTime aStartedAt);
  static Bytes EncodeQuery(FleetQuery aQuery);
  /// Decodes the declaration in the result of a query, or of a command that
  /// declares, after which the state has it; nullopt if there is none. Its
  /// document is empty unless a query asked for all. Earlier builds reply to
  /// the command with nothing.
  static std::optional<Declaration> DecodeDeclaration(BytesView aBytes);
  /// Decodes the roll-outs in the result of a query.
  static RolloutsByService DecodeRollouts(BytesView aBytes);
  /// Decodes the result of a command that starts a roll-out. Returns nullopt
  /// for a result of a build that doesn't know the command, or knows replies
  /// that this one doesn't.
  static std::optional<RolloutReply> DecodeRolloutReply(BytesView aBytes);
  /// Decodes the result of a usage command: the agreed counts of the window.
  static UsageWindow DecodeUsage(BytesView aBytes);

private:
  Bytes Apply(BytesView aCommand);
  void ApplyDeclare(const DeclarationNumber& aNumber,
                    DocumentEncoding aEncoding,
                    BytesView aPayload);
  Bytes ApplyUsage(const UsageWindow& aUsage);
  RolloutReply ApplyStart(const RolloutOrder& aOrder);
  void ApplyEnd(std::uint64_t aId, RolloutState aState, WallTime aEndedAt);
  void ApplyLeaves(const std::vector<Replica>& aReplicas, WallTime aRecordedAt);
  void ApplyVersionStart(const std::string& aService,
                         const std::string& aVersion,
                         WallTime aStartedAt);
  void NotifyChange() const;
  Bytes MakeDeclareReply() const;
  Bytes AnswerQuery(BytesView aQuery) const;
  Bytes TakeSnapshot() const;
  void InstallSnapshot(BytesView aSnapshot);

  ChangeHook onChange_;
  std::optional<Declaration> current_;
  RolloutsByService rollouts_;
  std::uint64_t lastRolloutId_ = 0;
  ReplicaLeaves leaves_;
  VersionStarts versionStarts_;
  std::map<std::int64_t, CountsByName> usage_;
};

} // namespace tanagerstall

#endif
