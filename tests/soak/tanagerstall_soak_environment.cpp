#include "tanagerstall_soak_environment.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall_platform_fakes.hpp"
#include "tanagerstall_platform_names.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace tanagerstall::soak {

namespace {

using platform::NodePorts;

constexpr Host kFirstControl = 1;
constexpr Host kFirstEntry = 11;
constexpr Host kFirstReplica = 101;
constexpr const char* kFailureDomains[] = { "a", "b", "c" };
/// Number of control processes that each settings file lists as seeds.
constexpr std::size_t kSeedMembers = 3;
/// Longest time from SIGTERM to exit: the programs' grace period and a margin.
constexpr Duration kStopLimit = std::chrono::seconds(12);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);

/// Returns the second address byte. It depends on the process id so that
/// concurrent runs use different addresses.
std::uint8_t
ChooseSubnet()
{
  return static_cast<std::uint8_t>(20 + ::getpid() % 200);
}

Host
HostAt(Host aFirst, int aIndex)
{
  return static_cast<Host>(aFirst + aIndex);
}

std::vector<Host>
HostsOf(const std::vector<Node>& aNodes)
{
  std::vector<Host> hosts;
  hosts.reserve(aNodes.size());
  for (const auto& node : aNodes) {
    hosts.push_back(node.process_->GetHost());
  }
  return hosts;
}

std::string
DomainAt(int aIndex)
{
  return kFailureDomains[aIndex % 3];
}

} // namespace

Environment::Environment(SoakOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , threads_(1)
  , network_(threads_, ChooseSubnet())
  , requests_(platform::MakeCallerProtocol(),
              [this](const Finding& aIt) { AddFinding(aIt); })
  , leaderTasks_([this](const Finding& aIt) { AddFinding(aIt); })
  , configuration_([this](const Finding& aIt) { AddFinding(aIt); })
{
  std::filesystem::create_directories(options_.folder_);
  auto make = [this](const std::string& aKind, int aIndex, Host aFirst) {
    Node node;
    bool isControl = aKind == "control";
    std::string name = aKind + "-" + std::to_string(aIndex + 1);
    node.failureDomain_ = DomainAt(aIndex);
    node.dataFolder_ = isControl ? options_.folder_ + "/data-" + name : "";
    node.process_ = std::make_unique<Process>(
      ProcessOptions{ name,
                      options_.programs_ + "/tanagerstall-platform-" +
                        (isControl ? "controld" : "entryd"),
                      options_.preload_,
                      options_.folder_,
                      HostAt(aFirst, aIndex) });
    return node;
  };
  for (int i = 0; i < options_.control_; ++i) {
    control_.push_back(make("control", i, kFirstControl));
  }
  for (int i = 0; i < options_.entries_; ++i) {
    entries_.push_back(make("entry", i, kFirstEntry));
  }
}

std::vector<Node*>
Environment::Nodes()
{
  std::vector<Node*> nodes;
  for (auto* kind : { &control_, &entries_ }) {
    for (auto& node : *kind) {
      nodes.push_back(&node);
    }
  }
  return nodes;
}

std::vector<Host>
Environment::ControlHosts() const
{
  return HostsOf(control_);
}

std::vector<Host>
Environment::EntryHosts() const
{
  return HostsOf(entries_);
}

Node&
Environment::NodeAt(Host aHost)
{
  auto& nodes = aHost < kFirstEntry ? control_ : entries_;
  Host first = aHost < kFirstEntry ? kFirstControl : kFirstEntry;
  return nodes.at(static_cast<std::size_t>(aHost - first));
}

Node*
Environment::FindControl(const std::string& aName)
{
  auto node = std::ranges::find_if(
    control_, [&](const Node& aIt) { return aIt.process_->Name() == aName; });
  return node == control_.end() ? nullptr : &*node;
}

void
Environment::WriteSettings(const Node& aNode, bool aIsBootstrap) const
{
  platform::NodeSettings settings;
  settings.name_ = aNode.process_->Name();
  settings.host_ = network_.ListenAddress(aNode.process_->GetHost(), 0).host_;
  settings.failureDomain_ = aNode.failureDomain_;
  settings.cloud_ = network_.ListenAddress(kCloudHost, kCloudPort);
  settings.dataFolder_ = aNode.dataFolder_;
  settings.isBootstrap_ = aIsBootstrap;
  for (std::size_t i = 0; i < std::min(kSeedMembers, control_.size()); ++i) {
    settings.seeds_.push_back(
      network_.ListenAddress(control_[i].process_->GetHost(), 0).host_);
  }
  std::ofstream(aNode.process_->SettingsPath())
    << platform::EncodeSettings(settings);
}

bool
Environment::OpenLinks()
{
  bool isOpen = true;
  auto open = [&](Host aFrom, Host aTo, std::uint16_t aPort) {
    isOpen = isOpen && network_.Open({ aFrom, aTo }, aPort);
  };
  for (Host control : ControlHosts()) {
    for (Host from : ControlHosts()) {
      open(from, control, NodePorts::kMembers);
      open(from, control, NodePorts::kEntries);
    }
    for (Host from : EntryHosts()) {
      open(from, control, NodePorts::kEntries);
    }
    for (const auto& replica : replicas_) {
      open(replica->Options().host_, control, NodePorts::kControl);
    }
    open(control, kCloudHost, kCloudPort);
    open(kClientHost, control, NodePorts::kControl);
    open(kClientHost, control, NodePorts::kDirectory);
  }
  for (Host entry : EntryHosts()) {
    open(kClientHost, entry, NodePorts::kCallers);
    for (const auto& replica : replicas_) {
      open(entry, replica->Options().host_, kReplicaPort);
    }
  }
  return isOpen;
}

bool
Environment::Start()
{
  auto onStart = [this](const SoakReplica& aReplica,
                        const HttpRequest& aRequest) {
    requests_.OnStarted(aReplica.Options().service_, aRequest);
    auto since = aReplica.DrainingSince();
    bool isPastDrainBound = since && clock_.Now() > *since + kDrainBound;
    bool isChecked =
      isPastDrainBound && steadySince_ && *since > *steadySince_ + kSettleTime;
    if (isChecked && options_.checksTimeBounds_) {
      AddFinding(
        { "DRAIN",
          aReplica.Options().name_ + " still gets requests while it drains" });
    }
  };
  int number = 0;
  for (const char* service : { "plain", "model" }) {
    for (int i = 0; i < options_.replicas_; ++i, ++number) {
      replicas_.push_back(std::make_unique<SoakReplica>(
        ReplicaOptions{ std::string(service) + "-" + std::to_string(i + 1),
                        service,
                        DomainAt(i),
                        HostAt(kFirstReplica, number),
                        ControlHosts() },
        threads_,
        network_,
        platform::MakeCallerProtocol(),
        options_.seed_ * 100 + static_cast<std::uint64_t>(number),
        onStart));
    }
  }
  if (!OpenLinks()) {
    return false;
  }
  bool isStarted = true;
  for (auto& replica : replicas_) {
    isStarted = isStarted && replica->Start(threads_);
  }
  for (Node* node : Nodes()) {
    WriteSettings(*node, true);
    isStarted = isStarted && node->process_->Start();
  }
  return isStarted;
}

void
Environment::StopProcesses(Fiber& aFiber)
{
  for (Node* node : Nodes()) {
    node->isStopExpected_ = true;
    node->process_->Signal(SIGTERM);
  }
  for (Node* node : Nodes()) {
    AwaitStop(aFiber, *node);
  }
}

void
Environment::AwaitStop(Fiber& aFiber, const Node& aNode)
{
  auto until = clock_.Now() + kStopLimit;
  std::optional<int> exitStatus;
  while (!exitStatus && aNode.process_->IsRunning()) {
    if (clock_.Now() > until) {
      AddFinding(
        { "STOP",
          aNode.process_->Name() + " didn't exit in time after SIGTERM" });
      aNode.process_->Kill();
      return;
    }
    aFiber.Sleep(kStopPoll);
    exitStatus = aNode.process_->TakeExitStatus();
  }
  if (exitStatus && *exitStatus != 0) {
    AddFinding({ "STOP",
                 aNode.process_->Name() + " exited after SIGTERM with " +
                   std::to_string(*exitStatus) });
  }
}

void
Environment::AddFinding(const Finding& aFinding)
{
  findings_.push_back(aFinding);
  LogEvent(Severity::Error,
           "finding",
           { { "rule", aFinding.rule_ }, { "detail", aFinding.detail_ } });
}

void
Environment::Continue(Node& aNode)
{
  aNode.process_->Signal(SIGCONT);
  aNode.continuedAt_ = clock_.Now();
}

bool
Environment::CanCallBeLate(const Node& aSender)
{
  auto isRecent = [now = clock_.Now()](std::optional<TimePoint> aTime) {
    return aTime && now <= *aTime + kLateCallTime;
  };
  const auto& link =
    network_.Faults({ aSender.process_->GetHost(), kCloudHost });
  return isRecent(aSender.continuedAt_) || link.HoldsUpRequests() ||
         isRecent(link.changedAt_);
}

bool
Environment::IsSteadyFor(Duration aFor) const
{
  return steadySince_ && clock_.Now() >= *steadySince_ + aFor;
}

} // namespace tanagerstall::soak
