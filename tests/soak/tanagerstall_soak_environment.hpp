#ifndef TANAGERSTALL_SOAK_ENVIRONMENT_HPP_INCLUDED
#define TANAGERSTALL_SOAK_ENVIRONMENT_HPP_INCLUDED

#include "tanagerstall_soak_checker.hpp"
#include "tanagerstall_soak_network.hpp"
#include "tanagerstall_soak_process.hpp"
#include "tanagerstall_soak_random.hpp"
#include "tanagerstall_soak_replica.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall::soak {

/// Simulated instance of all callers and operators.
constexpr Host kClientHost = 200;
/// Simulated instance of the cloud's interface.
constexpr Host kCloudHost = 99;
constexpr std::uint16_t kCloudPort = 8225;
/// Guarantees with a time bound apply only after this time without faults.
constexpr Duration kSettleTime = std::chrono::seconds(5);
/// Entries must stop sending to a replica within this time after a control
/// process acknowledged that it drains.
constexpr Duration kDrainBound = std::chrono::seconds(3);

/// A call to the cloud may be late for this time after its sender was continued
/// or its link repaired.
constexpr Duration kLateCallTime = std::chrono::milliseconds(300);

/// Limits given by the assignment of the last address byte: control processes
/// from 1, entries from 11, replicas of both services from 101.
constexpr int kMaxControl = 10;
constexpr int kMaxEntries = 88;
/// Per service.
constexpr int kMaxReplicas = 49;

struct SoakOptions
{
  std::uint64_t seed_ = 1;
  int rounds_ = 3;
  /// Number of control processes.
  int control_ = 5;
  int entries_ = 4;
  /// Per service.
  int replicas_ = 3;
  int callers_ = 12;
  /// Whether guarantees with a time bound are checked.
  bool checksTimeBounds_ = true;
  /// Names of the faults to draw from; all if empty.
  std::vector<std::string_view> faults_;
  /// Folder of the programs.
  std::string programs_;
  /// Path of the preloaded shared object.
  std::string preload_;
  /// Folder for settings, logs and data of the run.
  std::string folder_;
};

/// A control process or an entry.
struct Node
{
  std::unique_ptr<Process> process_;
  /// Empty for an entry.
  std::string dataFolder_;
  std::string failureDomain_;
  /// Whether it was stopped on purpose. The fault that stopped it restarts it,
  /// and SuperviseProcesses() ignores it.
  bool isStopExpected_ = false;
  /// Whether it may exit because of a fault of its clock or disk.
  bool isExitAllowed_ = false;
  /// When it was last continued after a stop.
  std::optional<TimePoint> continuedAt_;
  /// Number of rounds of replica orders for a service that it has begun.
  unsigned orderRounds_ = 0;
  /// Whether a fault suspends it or is about to.
  bool isSuspending_ = false;
};

/// Callers' requests in the part of a round without faults.
struct SteadyCounts
{
  unsigned sent_ = 0;
  unsigned served_ = 0;
};

/// State of one run: processes, replicas, network and checkers. Used by fibers
/// of one thread.
struct Environment
{
  explicit Environment(SoakOptions aOptions);

  /// Opens the links and starts replicas and processes. Returns false if one
  /// of them fails.
  bool Start();
  /// Sends SIGTERM to all processes and waits for their exit.
  void StopProcesses(Fiber& aFiber);
  /// Waits for the exit of a process that received SIGTERM. Records a finding
  /// if it exits late or with a status other than 0.
  void AwaitStop(Fiber& aFiber, const Node& aNode);

  /// Writes a node's settings file.
  void WriteSettings(const Node& aNode, bool aIsBootstrap) const;
  /// Returns the control process or entry on a host.
  Node& NodeAt(Host aHost);
  /// Returns the control process with a name, or null.
  Node* FindControl(const std::string& aName);
  /// Returns all control processes, then all entries.
  std::vector<Node*> Nodes();
  std::vector<Host> ControlHosts() const;
  std::vector<Host> EntryHosts() const;
  void AddFinding(const Finding& aFinding);
  /// Continues a stopped process.
  void Continue(Node& aNode);
  /// Whether a call that the cloud receives now from a control process may be
  /// late, because the process was just continued, or because the link to the
  /// cloud holds calls up or did so just before.
  bool CanCallBeLate(const Node& aSender);
  /// Whether the last fault was repaired at least `aFor` ago.
  bool IsSteadyFor(Duration aFor) const;

  SoakOptions options_;
  Clock clock_;
  Random random_;
  TrafficThreads threads_;
  Network network_;
  RequestChecker requests_;
  LeaderTaskChecker leaderTasks_;
  ConfigurationChecker configuration_;
  std::vector<Node> control_;
  std::vector<Node> entries_;
  std::vector<std::unique_ptr<SoakReplica>> replicas_;
  std::unique_ptr<HttpServer> cloud_;
  std::vector<Finding> findings_;
  /// The sender of the last call to the cloud.
  Node* lastCloudCaller_ = nullptr;
  /// When a control process last lost its data folder.
  std::optional<TimePoint> diskLostAt_;
  /// Whether disks are being filled one after another.
  bool areDisksFilledInTurn_ = false;
  SteadyCounts steadyCounts_;
  /// When the last fault was repaired; empty during faults.
  std::optional<TimePoint> steadySince_;
  /// Whether planned stops are under way and no faults.
  bool hasPlannedStops_ = false;
  bool isFinished_ = false;

private:
  bool OpenLinks();
};

/// A route of the soak's configuration.
struct SoakRoute
{
  const char* path_;
  const char* service_;
  RequestKind kind_;
  bool isResumable_;
};

constexpr SoakRoute kSoakRoutes[] = {
  { "/lookup/", "plain", RequestKind::Idempotent, false },
  { "/capture/", "plain", RequestKind::NonIdempotent, false },
  { "/chat/stream/", "model", RequestKind::Stream, true },
  { "/draft/stream/", "model", RequestKind::Stream, false }
};

constexpr const char* kSoakHost = "soak.example";
constexpr const char* kOrganisation = "press";
constexpr const char* kOrganisationKey = "press-key";

} // namespace tanagerstall::soak

#endif
