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

/// The instance from which callers and operators connect.
constexpr Host kClientHost = 200;
/// The instance that stands for the cloud.
constexpr Host kCloudHost = 99;
constexpr std::uint16_t kCloudPort = 8225;
/// Promises with a time bound hold for processes that were left alone for so
/// long.
constexpr Duration kSettleTime = std::chrono::seconds(5);
/// A replica that drains gets no request that comes later than this.
constexpr Duration kDrainBound = std::chrono::seconds(3);

/// What the addresses of a run leave room for; replicas a service.
constexpr int kMaxControl = 10;
constexpr int kMaxEntries = 88;
constexpr int kMaxReplicas = 49;

struct SoakOptions
{
  std::uint64_t seed_ = 1;
  int rounds_ = 3;
  int control_ = 5;
  int entries_ = 4;
  int replicas_ = 3;
  int callers_ = 12;
  /// Whether promises with a time bound are checked.
  bool checksTimeBounds_ = true;
  /// Which faults may happen; all if empty.
  std::vector<std::string_view> faults_;
  std::string programs_;
  std::string preload_;
  std::string folder_;
};

/// A program with its settings and its data.
struct Node
{
  std::unique_ptr<Process> process_;
  /// Empty for an entry.
  std::string dataFolder_;
  std::string failureDomain_;
  /// Whether it was asked to stop and isn't started again by itself.
  bool isStopExpected_ = false;
  /// Whether its end at this moment isn't its own doing.
  bool isExitAllowed_ = false;
};

/// Callers' tries in the calm part of a round.
struct SteadyCounts
{
  unsigned sent_ = 0;
  unsigned served_ = 0;
};

/// All that a run consists of. Touched by fibers of one thread.
struct Environment
{
  explicit Environment(SoakOptions aOptions);

  /// Writes settings, listens, starts all processes. False if it can't.
  bool Start();
  /// Asks all processes to stop and waits for them.
  void StopProcesses(Fiber& aFiber);
  /// Waits for the end of a process that was asked to stop; it has to end well
  /// and in time.
  void AwaitStop(Fiber& aFiber, const Node& aNode);

  /// Writes a node's settings file.
  void WriteSettings(const Node& aNode, bool aIsBootstrap) const;
  /// Of a host that runs a process of the system.
  Node& NodeAt(Host aHost);
  /// Of control, then the entries.
  std::vector<Node*> Nodes();
  std::vector<Host> ControlHosts() const;
  std::vector<Host> EntryHosts() const;
  void AddFinding(const Finding& aFinding);
  /// Whether nothing was disturbed for at least `aFor`.
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
  /// When a control process last lost its disk.
  std::optional<TimePoint> diskLostAt_;
  SteadyCounts steadyCounts_;
  /// Since when nothing is disturbed; nothing during faults.
  std::optional<TimePoint> steadySince_;
  /// Planned stops are under way, and nothing else.
  bool hasPlannedStops_ = false;
  bool isFinished_ = false;

private:
  bool OpenLinks();
};

/// The service and kind that callers use, by path.
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
