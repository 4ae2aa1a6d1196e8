#include "tanagerstall_soak_world.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_platform_outside.hpp"

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
constexpr std::size_t kSeeds = 3;
/// How long a process may take to stop, its grace and a little more.
constexpr Duration kStopLimit = std::chrono::seconds(12);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);

/// Subnets of runs beside each other differ.
std::uint8_t
DrawSubnet()
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

World::World(SoakOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , threads_(1)
  , network_(threads_, DrawSubnet())
  , requests_(platform::MakeCallerProtocol(),
              [this](const Finding& aIt) { Found(aIt); })
  , duties_([this](const Finding& aIt) { Found(aIt); })
  , configuration_([this](const Finding& aIt) { Found(aIt); })
{
  std::filesystem::create_directories(options_.folder_);
  auto make = [this](const std::string& aKind, int aIndex, Host aFirst) {
    Node node;
    bool isControl = aKind == "control";
    std::string name = aKind + "-" + std::to_string(aIndex + 1);
    node.failureDomain_ = DomainAt(aIndex);
    node.dataFolder_ = isControl ? options_.folder_ + "/data-" + name : "";
    node.process_ = std::make_unique<Process>(
      ProcessPlan{ name,
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
World::Nodes()
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
World::ControlHosts() const
{
  return HostsOf(control_);
}

std::vector<Host>
World::EntryHosts() const
{
  return HostsOf(entries_);
}

Node&
World::NodeAt(Host aHost)
{
  auto& nodes = aHost < kFirstEntry ? control_ : entries_;
  Host first = aHost < kFirstEntry ? kFirstControl : kFirstEntry;
  return nodes.at(static_cast<std::size_t>(aHost - first));
}

void
World::WriteSettings(const Node& aNode, bool aIsFirstStart) const
{
  platform::NodeSettings settings;
  settings.name_ = aNode.process_->Name();
  settings.host_ = network_.Own(aNode.process_->GetHost(), 0).host_;
  settings.failureDomain_ = aNode.failureDomain_;
  settings.cloud_ = network_.Own(kCloudHost, kCloudPort);
  settings.dataFolder_ = aNode.dataFolder_;
  settings.isFirstStart_ = aIsFirstStart;
  for (std::size_t i = 0; i < std::min(kSeeds, control_.size()); ++i) {
    settings.seeds_.push_back(
      network_.Own(control_[i].process_->GetHost(), 0).host_);
  }
  std::ofstream(aNode.process_->SettingsPath())
    << platform::EncodeSettings(settings);
}

bool
World::OpenLinks()
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
      open(replica->Plan().host_, control, NodePorts::kControl);
    }
    open(control, kCloudHost, kCloudPort);
    open(kOutsideHost, control, NodePorts::kControl);
    open(kOutsideHost, control, NodePorts::kDirectory);
  }
  for (Host entry : EntryHosts()) {
    open(kOutsideHost, entry, NodePorts::kCallers);
    for (const auto& replica : replicas_) {
      open(entry, replica->Plan().host_, kReplicaPort);
    }
  }
  return isOpen;
}

bool
World::Start()
{
  auto began = [this](const SoakReplica& aReplica,
                      const HttpRequest& aRequest) {
    requests_.Began(aReplica.Plan().service_, aRequest);
    auto since = aReplica.DrainingSince();
    bool isLate = since && clock_.Now() > *since + kDrainBound;
    bool isJudged =
      isLate && calmSince_ && *since > *calmSince_ + kContactWindow;
    if (isJudged && options_.checksTimes_) {
      Found({ "DRAIN", aReplica.Plan().name_ + " drains and gets requests" });
    }
  };
  int number = 0;
  for (const char* service : { "plain", "model" }) {
    for (int i = 0; i < options_.replicas_; ++i, ++number) {
      replicas_.push_back(std::make_unique<SoakReplica>(
        ReplicaPlan{ std::string(service) + "-" + std::to_string(i + 1),
                     service,
                     DomainAt(i),
                     HostAt(kFirstReplica, number),
                     ControlHosts() },
        threads_,
        network_,
        platform::MakeCallerProtocol(),
        options_.seed_ * 100 + static_cast<std::uint64_t>(number),
        began));
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
World::StopProcesses(Fiber& aFiber)
{
  for (Node* node : Nodes()) {
    node->isHeldDown_ = true;
    node->process_->Signal(SIGTERM);
  }
  for (Node* node : Nodes()) {
    AwaitStop(aFiber, *node);
  }
}

void
World::AwaitStop(Fiber& aFiber, const Node& aNode)
{
  auto until = clock_.Now() + kStopLimit;
  std::optional<int> end;
  while (!end && aNode.process_->IsRunning()) {
    if (clock_.Now() > until) {
      Found({ "STOP", aNode.process_->Name() + " doesn't stop when asked" });
      aNode.process_->Kill();
      return;
    }
    aFiber.Sleep(kStopPoll);
    end = aNode.process_->TakeEnd();
  }
  if (end && *end != 0) {
    Found({ "STOP",
            aNode.process_->Name() + " stopped with " + std::to_string(*end) });
  }
}

void
World::Found(const Finding& aFinding)
{
  findings_.push_back(aFinding);
  LogEvent(Severity::Error,
           "finding",
           { { "rule", aFinding.rule_ }, { "detail", aFinding.detail_ } });
}

bool
World::IsCalmFor(Duration aFor) const
{
  return calmSince_ && clock_.Now() >= *calmSince_ + aFor;
}

} // namespace tanagerstall::soak
