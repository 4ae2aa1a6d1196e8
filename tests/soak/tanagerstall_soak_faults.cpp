#include "tanagerstall_soak_faults.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>

namespace tanagerstall::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinFaultTime(300);
constexpr milliseconds kMaxFaultTime(4000);
/// The longest of these also lets the leader replace the voter.
constexpr milliseconds kMinFullDiskTime(1000);
constexpr milliseconds kMaxFullDiskTime(8000);
constexpr milliseconds kRestartDelay(500);
/// Longest wait until a control process acknowledges that a replica drains.
constexpr milliseconds kDrainAcceptTimeout(12000);
constexpr milliseconds kPoll(50);
constexpr int kMaxFaults = 4;
constexpr milliseconds kMaxStartDelay(4000);
/// Long enough for a successor to be elected, to wait for the end of the lease
/// and to call the cloud.
constexpr milliseconds kMinSuspension(8000);
constexpr milliseconds kMaxSuspension(12000);
/// Longer than a process needs to read changed faults.
constexpr milliseconds kFaultsReadTime(500);
/// Longer than the time between two rounds of the leader's replica orders.
constexpr milliseconds kMaxOrderInterval(6000);
constexpr milliseconds kCallPoll(5);
/// Minimum time between two lost disks, so that the cluster can restore the
/// first member's data before another member loses its own.
constexpr Duration kDiskLossInterval = std::chrono::seconds(20);

/// The fiber and the environment of one fault, with random choices of targets.
struct FaultContext
{
  Fiber& fiber_;
  Environment& environment_;

  /// Waits for the random duration of the fault.
  void Wait() const
  {
    fiber_.Sleep(environment_.random_.Between(kMinFaultTime, kMaxFaultTime));
  }

  Node& AnyControl() const
  {
    return environment_.random_.Pick(environment_.control_);
  }
  Node& AnyEntry() const
  {
    return environment_.random_.Pick(environment_.entries_);
  }
  Node& AnyNode() const
  {
    return environment_.random_.Chance(0.5) ? AnyControl() : AnyEntry();
  }
  SoakReplica& AnyReplica() const
  {
    return *environment_.random_.Pick(environment_.replicas_);
  }
  LinkEnds AnyLink() const
  {
    auto links = environment_.network_.Links();
    return environment_.random_.Pick(links);
  }
};

void
LogFault(const char* aEvent, const std::string& aTarget)
{
  LogEvent(Severity::Info, aEvent, { { "target", aTarget } });
}

std::string
LinkName(LinkEnds aLink)
{
  return std::to_string(aLink.from_) + " to " + std::to_string(aLink.to_);
}

void
RestartProcess(Environment& aEnvironment, Node& aNode)
{
  if (!aNode.process_->IsRunning() && !aEnvironment.isFinished_ &&
      !aNode.process_->Start()) {
    aEnvironment.AddFinding(
      { "SOAK", "can't start " + aNode.process_->Name() });
  }
}

void
KillFor(const FaultContext& aContext, Node& aNode, Duration aFor)
{
  LogFault("kill process", aNode.process_->Name());
  aNode.isStopExpected_ = true;
  aNode.process_->Kill();
  aContext.fiber_.Sleep(aFor);
  RestartProcess(aContext.environment_, aNode);
  aNode.isStopExpected_ = false;
}

void
KillAndRestart(const FaultContext& aContext, Node& aNode)
{
  KillFor(aContext,
          aNode,
          aContext.environment_.random_.Between(kMinFaultTime, kMaxFaultTime));
}

void
KillEntry(const FaultContext& aContext)
{
  KillAndRestart(aContext, aContext.AnyEntry());
}

void
KillControl(const FaultContext& aContext)
{
  KillAndRestart(aContext, aContext.AnyControl());
}

void
KillAllControl(const FaultContext& aContext)
{
  LogFault("kill process", "all control processes");
  for (auto& node : aContext.environment_.control_) {
    node.isStopExpected_ = true;
    node.process_->Kill();
  }
  aContext.fiber_.Sleep(kRestartDelay);
  for (auto& node : aContext.environment_.control_) {
    RestartProcess(aContext.environment_, node);
    node.isStopExpected_ = false;
  }
}

void
LoseDisk(const FaultContext& aContext)
{
  Environment& environment = aContext.environment_;
  auto now = environment.clock_.Now();
  if (environment.diskLostAt_ &&
      now < *environment.diskLostAt_ + kDiskLossInterval) {
    return;
  }
  environment.diskLostAt_ = now;
  Node& node = aContext.AnyControl();
  LogFault("remove data folder", node.process_->Name());
  node.isStopExpected_ = true;
  node.process_->Kill();
  std::filesystem::remove_all(node.dataFolder_);
  environment.WriteSettings(node, false);
  aContext.fiber_.Sleep(kRestartDelay);
  RestartProcess(environment, node);
  node.isStopExpected_ = false;
}

void
FreezeProcess(const FaultContext& aContext)
{
  Node& node = aContext.AnyNode();
  LogFault("freeze process", node.process_->Name());
  node.process_->Signal(SIGSTOP);
  aContext.Wait();
  aContext.environment_.Continue(node);
}

/// Returns the control process that called the cloud last, in most cases, since
/// only the leader does, and otherwise a random one.
Node&
LikelyLeader(const FaultContext& aContext)
{
  Node* caller = aContext.environment_.lastCloudCaller_;
  bool isCaller =
    caller != nullptr && aContext.environment_.random_.Chance(0.8);
  return isCaller ? *caller : aContext.AnyControl();
}

/// Stops a control process during a round of replica orders, or after a time
/// without one. Its monotonic clock doesn't count the
/// stop, as on a machine that is suspended.
void
Suspend(const FaultContext& aContext)
{
  Environment& environment = aContext.environment_;
  Node& node = LikelyLeader(aContext);
  if (node.isSuspending_) {
    return;
  }
  node.isSuspending_ = true;
  node.process_->SetStopsAreSuspensions(true);
  aContext.fiber_.Sleep(kFaultsReadTime);
  auto until = environment.clock_.Now() + kMaxOrderInterval;
  unsigned rounds = node.orderRounds_;
  while (node.orderRounds_ == rounds && environment.clock_.Now() < until) {
    aContext.fiber_.Sleep(kCallPoll);
  }
  LogFault("suspend process", node.process_->Name());
  node.process_->Signal(SIGSTOP);
  aContext.fiber_.Sleep(
    environment.random_.Between(kMinSuspension, kMaxSuspension));
  environment.Continue(node);
  LogFault("continue process", node.process_->Name());
  aContext.fiber_.Sleep(kFaultsReadTime);
  node.process_->SetStopsAreSuspensions(false);
  node.isSuspending_ = false;
}

void
StopAndStart(const FaultContext& aContext, Node& aNode)
{
  if (aNode.isStopExpected_) {
    return;
  }
  LogFault("stop process", aNode.process_->Name());
  aNode.isStopExpected_ = true;
  aNode.process_->Signal(SIGTERM);
  aContext.environment_.AwaitStop(aContext.fiber_, aNode);
  aContext.fiber_.Sleep(kRestartDelay);
  RestartProcess(aContext.environment_, aNode);
  aNode.isStopExpected_ = false;
}

void
StopRandomProcess(const FaultContext& aContext)
{
  StopAndStart(aContext, aContext.AnyNode());
}

void
ReloadSettings(const FaultContext& aContext)
{
  Node& node = aContext.AnyNode();
  LogFault("reload settings", node.process_->Name());
  aContext.environment_.WriteSettings(node, false);
  node.process_->Signal(SIGHUP);
}

void
DelayLinks(const FaultContext& aContext)
{
  Host host = aContext.AnyNode().process_->GetHost();
  auto delay =
    aContext.environment_.random_.Between(milliseconds(20), milliseconds(400));
  LogFault("delay links of host", std::to_string(host));
  auto set = [&](Duration aDelay) {
    for (LinkEnds link : aContext.environment_.network_.LinksOf(host)) {
      LinkFaults& faults = aContext.environment_.network_.Faults(link);
      faults.delay_ = aDelay;
      faults.changedAt_ = aContext.environment_.clock_.Now();
    }
  };
  set(delay);
  aContext.Wait();
  set(Duration::zero());
}

void
ResetLinks(const FaultContext& aContext)
{
  Host host = aContext.AnyNode().process_->GetHost();
  LogFault("reset connections of host", std::to_string(host));
  for (LinkEnds link : aContext.environment_.network_.LinksOf(host)) {
    aContext.environment_.network_.Reset(link);
  }
}

void
BlackholeLinks(const FaultContext& aContext)
{
  Host host = aContext.AnyNode().process_->GetHost();
  LogFault("blackhole connections of host", std::to_string(host));
  for (LinkEnds link : aContext.environment_.network_.LinksOf(host)) {
    aContext.environment_.network_.Blackhole(link);
  }
}

/// Holds back data from senders to receivers that match `aIsCut` for the
/// duration of the fault, whichever of the two opened the connection.
void
HoldTraffic(const FaultContext& aContext,
            const std::function<bool(LinkEnds)>& aIsCut)
{
  Network& network = aContext.environment_.network_;
  auto hold = [&](bool aIsHeld) {
    for (LinkEnds link : network.Links()) {
      LinkFaults& faults = network.Faults(link);
      if (aIsCut(link)) {
        faults.isRequestHeld_ = aIsHeld;
        faults.changedAt_ = aContext.environment_.clock_.Now();
      }
      if (aIsCut({ link.to_, link.from_ })) {
        faults.isResponseHeld_ = aIsHeld;
      }
    }
  };
  hold(true);
  aContext.Wait();
  hold(false);
}

void
CutLinkOneWay(const FaultContext& aContext)
{
  LinkEnds cut = aContext.AnyLink();
  LogFault("hold one direction of link", LinkName(cut));
  HoldTraffic(aContext, [cut](LinkEnds aIt) { return aIt == cut; });
}

void
Isolate(const FaultContext& aContext)
{
  Host host = aContext.AnyNode().process_->GetHost();
  LogFault("isolate host", std::to_string(host));
  HoldTraffic(aContext, [host](LinkEnds aIt) {
    return aIt.from_ == host || aIt.to_ == host;
  });
}

void
HoldOutgoing(const FaultContext& aContext)
{
  Host host = aContext.AnyNode().process_->GetHost();
  LogFault("hold outgoing traffic of host", std::to_string(host));
  HoldTraffic(aContext, [host](LinkEnds aIt) { return aIt.from_ == host; });
}

void
SplitControl(const FaultContext& aContext)
{
  auto hosts = aContext.environment_.ControlHosts();
  auto half = static_cast<Host>(hosts.front() + hosts.size() / 2);
  LogFault("partition control processes",
           "split before host " + std::to_string(half));
  HoldTraffic(aContext, [&hosts, half](LinkEnds aIt) {
    bool isBetweenControl =
      aIt.from_ <= hosts.back() && aIt.to_ <= hosts.back();
    return isBetweenControl && (aIt.from_ < half) != (aIt.to_ < half);
  });
}

void
ApplyMachineFaults(const FaultContext& aContext,
                   Node& aNode,
                   const MachineFaults& aFaults,
                   milliseconds aMinTime = kMinFaultTime,
                   milliseconds aMaxTime = kMaxFaultTime)
{
  aNode.isExitAllowed_ = true;
  aNode.process_->SetFaults(aFaults);
  aContext.fiber_.Sleep(
    aContext.environment_.random_.Between(aMinTime, aMaxTime));
  aNode.process_->SetFaults({});
  // The process may exit because of the fault shortly after its repair.
  aContext.fiber_.Sleep(kRestartDelay);
  aNode.isExitAllowed_ = false;
}

void
StepClock(const FaultContext& aContext)
{
  Node& node = aContext.AnyNode();
  LogFault("step clock", node.process_->Name());
  ApplyMachineFaults(
    aContext,
    node,
    { std::chrono::seconds(aContext.environment_.random_.Between(-60, 60)),
      {},
      false });
}

void
SlowDisk(const FaultContext& aContext)
{
  Node& node = aContext.AnyControl();
  LogFault("delay disk syncs", node.process_->Name());
  auto delay =
    aContext.environment_.random_.Between(milliseconds(50), milliseconds(3000));
  ApplyMachineFaults(aContext, node, { {}, delay, false });
}

void
FullDisk(const FaultContext& aContext)
{
  Node& node = aContext.AnyControl();
  LogFault("fail disk writes", node.process_->Name());
  ApplyMachineFaults(aContext, node, { {}, {}, true });
}

/// Fills the disk of every control process once, never two at a time.
void
FillDisksInTurn(const FaultContext& aContext)
{
  Environment& environment = aContext.environment_;
  if (std::exchange(environment.areDisksFilledInTurn_, true)) {
    return;
  }
  std::vector<Node*> nodes;
  for (auto& node : environment.control_) {
    nodes.push_back(&node);
  }
  environment.random_.Shuffle(nodes);
  for (Node* node : nodes) {
    LogFault("fail disk writes in turn", node->process_->Name());
    ApplyMachineFaults(
      aContext, *node, { {}, {}, true }, kMinFullDiskTime, kMaxFullDiskTime);
  }
  environment.areDisksFilledInTurn_ = false;
}

void
CrashReplica(const FaultContext& aContext)
{
  SoakReplica& replica = aContext.AnyReplica();
  LogFault("crash replica", replica.Options().name_);
  replica.Crash();
  aContext.Wait();
  replica.Restart(aContext.environment_.random_.Chance(0.5));
}

void
DrainReplica(const FaultContext& aContext)
{
  SoakReplica& replica = aContext.AnyReplica();
  LogFault("drain", replica.Options().name_);
  replica.Drain();
  auto until = aContext.environment_.clock_.Now() + kDrainAcceptTimeout;
  while (!replica.DrainingSince() &&
         aContext.environment_.clock_.Now() < until) {
    aContext.fiber_.Sleep(kPoll);
  }
  aContext.fiber_.Sleep(kDrainBound + std::chrono::seconds(1));
  replica.Leave(aContext.fiber_);
  replica.Crash();
  aContext.fiber_.Sleep(kRestartDelay);
  replica.Restart(false);
}

void
ApplyReplicaFault(const FaultContext& aContext,
                  SoakReplica& aReplica,
                  ReplicaFault aFault)
{
  LogFault("break replica responses",
           aReplica.Options().name_ + " kind " +
             std::to_string(static_cast<int>(aFault)));
  aReplica.SetFault(aFault, 0.4);
  aContext.Wait();
  aReplica.SetFault(ReplicaFault::None, 0.0);
}

void
BreakResponses(const FaultContext& aContext)
{
  static const std::vector<ReplicaFault> kinds{
    ReplicaFault::ResetBefore, ReplicaFault::ResetAfter,
    ReplicaFault::Truncated,   ReplicaFault::NoResponse,
    ReplicaFault::Refused,     ReplicaFault::Failed
  };
  SoakReplica& replica = aContext.AnyReplica();
  ReplicaFault fault = aContext.environment_.random_.Pick(kinds);
  ApplyReplicaFault(aContext, replica, fault);
}

void
FailAsUnavailable(const FaultContext& aContext)
{
  ApplyReplicaFault(
    aContext, aContext.AnyReplica(), ReplicaFault::FailedAsUnavailable);
}

struct NamedFault
{
  std::string_view name_;
  void (*inject_)(const FaultContext&);
  /// Whether it is drawn if no faults are named. A fault that takes much of a
  /// run isn't.
  bool isDefault_ = true;
};

constexpr NamedFault kFaults[] = {
  { "kill-entry", KillEntry },
  { "kill-control", KillControl },
  { "kill-all", KillAllControl },
  { "lose-disk", LoseDisk },
  { "freeze", FreezeProcess },
  { "stop", StopRandomProcess },
  { "reload", ReloadSettings },
  { "delay", DelayLinks },
  { "reset", ResetLinks },
  { "silence", BlackholeLinks },
  { "cut-one-way", CutLinkOneWay },
  { "isolate", Isolate },
  { "mute", HoldOutgoing },
  { "split", SplitControl },
  { "clock-step", StepClock },
  { "slow-disk", SlowDisk },
  { "full-disk", FullDisk },
  { "crash-replica", CrashReplica },
  { "drain-replica", DrainReplica },
  { "break-answers", BreakResponses },
  { "fail-as-unavailable", FailAsUnavailable },
  { "suspend", Suspend },
  { "full-disks", FillDisksInTurn, false },
};

std::vector<std::string_view>
DefaultFaultNames()
{
  std::vector<std::string_view> names;
  for (const auto& fault : kFaults) {
    if (fault.isDefault_) {
      names.push_back(fault.name_);
    }
  }
  return names;
}

} // namespace

std::vector<std::string_view>
FaultNames()
{
  std::vector<std::string_view> names;
  for (const auto& fault : kFaults) {
    names.push_back(fault.name_);
  }
  return names;
}

bool
InjectFault(Fiber& aFiber, Environment& aEnvironment, std::string_view aName)
{
  for (const auto& fault : kFaults) {
    if (fault.name_ == aName) {
      fault.inject_({ aFiber, aEnvironment });
      return true;
    }
  }
  return false;
}

void
InjectOverlappingFaults(Fiber& aFiber, Environment& aEnvironment)
{
  aEnvironment.steadySince_.reset();
  auto names = aEnvironment.options_.faults_.empty()
                 ? DefaultFaultNames()
                 : aEnvironment.options_.faults_;
  int count = aEnvironment.random_.Between(1, kMaxFaults);
  auto pending = std::make_shared<int>(count);
  for (int i = 0; i < count; ++i) {
    auto name = aEnvironment.random_.Pick(names);
    auto after = aEnvironment.random_.Between(milliseconds(0), kMaxStartDelay);
    aFiber.Spawn([&aEnvironment, pending, name, after](Fiber& aOther) {
      aOther.Sleep(after);
      InjectFault(aOther, aEnvironment, name);
      --*pending;
    });
  }
  while (*pending > 0) {
    aFiber.Sleep(kPoll);
  }
  aEnvironment.steadySince_ = aEnvironment.clock_.Now();
}

void
RunPlannedWork(Fiber& aFiber, Environment& aEnvironment)
{
  FaultContext context{ aFiber, aEnvironment };
  aEnvironment.hasPlannedStops_ = true;
  ReloadSettings(context);
  auto drained = std::make_shared<bool>(false);
  aFiber.Spawn([&aEnvironment, drained](Fiber& aOther) {
    DrainReplica({ aOther, aEnvironment });
    *drained = true;
  });
  StopAndStart(context, context.AnyEntry());
  while (!*drained) {
    aFiber.Sleep(kPoll);
  }
  aEnvironment.hasPlannedStops_ = false;
}

void
SuperviseProcesses(Fiber& aFiber, Environment& aEnvironment)
{
  while (!aEnvironment.isFinished_) {
    aFiber.Sleep(kPoll);
    for (Node* node : aEnvironment.Nodes()) {
      if (node->isStopExpected_) {
        continue;
      }
      auto exitStatus = node->process_->TakeExitStatus();
      if (exitStatus && !node->isExitAllowed_) {
        aEnvironment.AddFinding({ "END",
                                  node->process_->Name() +
                                    " exited unexpectedly with " +
                                    std::to_string(*exitStatus) });
      }
      RestartProcess(aEnvironment, *node);
    }
  }
}

} // namespace tanagerstall::soak
