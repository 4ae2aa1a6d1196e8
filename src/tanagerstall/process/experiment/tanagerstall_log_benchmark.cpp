#include "tanagerstall/process/experiment/tanagerstall_log_benchmark.hpp"

#include "tanagerstall/internal/configuration.capnp.h"
#include "tanagerstall/internal/ledger.capnp.h"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_group.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"
#include "tanagerstall/request/tanagerstall_ledger.hpp"
#include "tanagerstall/version/tanagerstall_configuration_store.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <deque>
#include <filesystem>
#include <iostream>

namespace tanagerstall {

namespace json = boost::json;
namespace po = boost::program_options;

namespace {

constexpr unsigned kMembers = 3;
constexpr std::size_t kNoSnapshots = 1U << 30U;

/// A command that changes one of `aRecords` records.
Bytes
MakeChange(unsigned aNumber, unsigned aRecords)
{
  std::string name = "org-" + std::to_string(aNumber % aRecords);
  json::object body{ { "schema_version", 2 },
                     { "kind", "organisation" },
                     { "name", name },
                     { "token_hashes",
                       json::array{ json::string(Sha256Hex(name)) } },
                     { "weight", 1 },
                     { "max_concurrent", aNumber } };
  capnp::MallocMessageBuilder message;
  auto command = message.initRoot<wire::ConfigurationCommand>();
  command.setOperationId(ToText(std::to_string(aNumber)));
  command.setAuthor("benchmark");
  auto change = command.initChanges(1)[0];
  change.setKey(ToText("organisation/" + name));
  change.setExpectedVersion(-1);
  change.setBody(ToText(json::serialize(body)));
  return Flatten(message);
}

/// A command that accepts a request with a body of 200 bytes.
Bytes
MakeAccept(unsigned aNumber)
{
  capnp::MallocMessageBuilder message;
  auto command = message.initRoot<wire::LedgerCommand>();
  command.setOrganisation("benchmark");
  command.setKey(ToText(std::to_string(aNumber)));
  command.setAction(wire::LedgerAction::ACCEPT);
  auto request = command.initRequest();
  request.setService("orders");
  request.setBodyHash(aNumber);
  request.setBody(ToData(ViewOf(std::string(200, 'x'))));
  return Flatten(message);
}

struct Node
{
  ConfigurationStore store_;
  Ledger ledger_;
  std::unique_ptr<RaftGroup> group_;
  bool needsFlush_ = false;
};

/// Members of a group in one thread that exchange messages through a queue.
class Cluster
{
public:
  Cluster(const std::filesystem::path& aFolder,
          unsigned aMembers,
          const RaftSettings& aSettings,
          bool aUsesGroupCommit,
          bool aIsLedger = false)
    : nodes_(aMembers)
    , usesGroupCommit_(aUsesGroupCommit)
    , isLedger_(aIsLedger)
  {
    Membership members;
    for (MemberKey key = 1; key <= aMembers; ++key) {
      members.push_back({ key, std::to_string(key), "", "", true });
    }
    for (MemberKey key = 1; key <= aMembers; ++key) {
      Open(aFolder / std::to_string(key), key, members, aSettings);
    }
    while (nodes_[0].group_->Core().Role() != RaftRole::Leader) {
      nodes_[0].group_->Tick(clock_.Now());
      DeliverMessages();
    }
    DeliverMessages();
  }

  RaftGroup& Leader() { return *nodes_[0].group_; }
  std::uint64_t Revision() const { return nodes_[0].store_.Revision(); }
  Bytes Snapshot() { return nodes_[0].store_.AsStateMachine().takeSnapshot_(); }

  /// Called after each proposal. Without group commit, writes and replicates it
  /// at once.
  void OnProposed()
  {
    if (!usesGroupCommit_) {
      DeliverMessages();
    }
  }

  /// Flushes logs and delivers messages until none are left.
  void DeliverMessages()
  {
    bool isBusy = true;
    while (isBusy) {
      isBusy = false;
      for (auto& node : nodes_) {
        if (std::exchange(node.needsFlush_, false)) {
          node.group_->Flush();
          isBusy = true;
        }
      }
      auto messages = std::exchange(messages_, {});
      for (const auto& message : messages) {
        Node& node = nodes_[message.to_ - 1];
        node.group_->Receive(message, clock_.Now());
        isBusy = true;
      }
    }
  }

private:
  void Open(const std::filesystem::path& aFolder,
            MemberKey aKey,
            const Membership& aMembers,
            const RaftSettings& aSettings)
  {
    bool isNew = !std::filesystem::exists(aFolder / "group.log");
    LogStorage storage(OpenLogDisk(aFolder), "group");
    Node& node = nodes_[aKey - 1];
    StateMachine machine =
      isLedger_ ? node.ledger_.AsStateMachine() : node.store_.AsStateMachine();
    if (isNew) {
      auto snapshot = std::make_shared<RaftSnapshot>(
        RaftSnapshot{ 1, 1, aMembers, machine.takeSnapshot_() });
      RaftStart fresh{ { 1, 0 }, snapshot, 1, 1, {} };
      storage.WriteSnapshot(fresh.hardState_, *snapshot, RaftLog(fresh));
    }
    RaftSettings settings = aSettings;
    if (aKey == 1) {
      settings.electionTimeout_ = Duration(1);
      settings.heartbeat_ = std::chrono::hours(1);
    }
    auto send = [this](const RaftMessage& aMessage) {
      messages_.push_back(aMessage);
    };
    node.group_ = std::make_unique<RaftGroup>(
      aKey,
      settings,
      std::move(storage),
      machine,
      aKey,
      clock_.Now(),
      RaftGroup::Hooks{ send, [&node] { node.needsFlush_ = true; } });
  }

  Clock clock_;
  std::deque<RaftMessage> messages_;
  std::vector<Node> nodes_;
  bool usesGroupCommit_;
  bool isLedger_;
};

/// Measures commits by `aClients` clients that each have one commit in
/// progress.
json::object
MeasureCommits(const std::filesystem::path& aFolder,
               bool aUsesGroupCommit,
               unsigned aClients,
               unsigned aCommits)
{
  Cluster cluster(aFolder, kMembers, {}, aUsesGroupCommit, true);
  Clock clock;
  std::vector<double> latencies;
  TimePoint begin = clock.Now();
  for (unsigned next = 0; next < aCommits;) {
    TimePoint proposedAt = clock.Now();
    for (unsigned i = 0; i < aClients; ++i) {
      auto done = [&latencies, &clock, proposedAt](const GroupResult& aResult) {
        if (aResult) {
          latencies.push_back(InMilliseconds(clock.Now() - proposedAt));
        }
      };
      cluster.Leader().Propose(MakeAccept(next++), done);
      cluster.OnProposed();
    }
    cluster.DeliverMessages();
  }
  double seconds = InMilliseconds(clock.Now() - begin) / 1000;
  std::sort(latencies.begin(), latencies.end());
  auto quantile = [&](double aShare) {
    return latencies[static_cast<std::size_t>(
      aShare * static_cast<double>(latencies.size() - 1))];
  };
  return { { "measure", "ledger commit" },
           { "group_commit", aUsesGroupCommit },
           { "members", kMembers },
           { "clients", aClients },
           { "commits", latencies.size() },
           { "records_per_s", static_cast<double>(latencies.size()) / seconds },
           { "p50_ms", quantile(0.5) },
           { "p99_ms", quantile(0.99) } };
}

/// Measures the restart of a member after `aChanges` changes.
json::object
MeasureRecovery(const std::filesystem::path& aFolder,
                std::size_t aSnapshotEntries,
                unsigned aChanges)
{
  RaftSettings settings;
  settings.snapshotEntries_ = aSnapshotEntries;
  settings.keptEntries_ = 10;
  {
    Cluster cluster(aFolder, 1, settings, true);
    for (unsigned i = 0; i < aChanges; ++i) {
      cluster.Leader().Propose(MakeChange(i, 100), [](const GroupResult&) {});
      cluster.DeliverMessages();
    }
  }
  Clock clock;
  TimePoint begin = clock.Now();
  Cluster cluster(aFolder, 1, settings, true);
  double elapsed = InMilliseconds(clock.Now() - begin);
  return { { "measure", "recovery" },
           { "changes", aChanges },
           { "with_snapshot", aSnapshotEntries != kNoSnapshots },
           { "revision", cluster.Revision() },
           { "recovery_ms", elapsed } };
}

json::object
MeasureSnapshot(const std::filesystem::path& aFolder, unsigned aRecords)
{
  RaftSettings settings;
  settings.snapshotEntries_ = kNoSnapshots;
  Cluster cluster(aFolder, 1, settings, true);
  for (unsigned i = 0; i < aRecords; ++i) {
    cluster.Leader().Propose(MakeChange(i, aRecords),
                             [](const GroupResult&) {});
  }
  cluster.DeliverMessages();
  return { { "measure", "snapshot" },
           { "records", aRecords },
           { "revision", cluster.Revision() },
           { "bytes", cluster.Snapshot().size() } };
}

} // namespace

int
RunLogBenchmark(int aCount, const char* const* aArguments)
{
  po::options_description options("tanagerstall-load log-benchmark");
  auto add = options.add_options();
  add("help", "print this help");
  add("folder",
      po::value<std::string>()->required(),
      "empty folder on the disk to measure");
  add("commits",
      po::value<unsigned>()->default_value(640),
      "commits in each measurement");
  add("changes",
      po::value<unsigned>()->default_value(500),
      "changes committed before a restart");
  auto settings = ReadSettingsOrExit(aCount, aArguments, options);
  std::filesystem::path folder = settings["folder"].as<std::string>();
  unsigned number = 0;
  auto nextFolder = [&] {
    return folder / ("run-" + std::to_string(++number));
  };
  auto print = [](const json::object& aResult) {
    std::cout << json::serialize(aResult) << std::endl;
  };
  unsigned commits = settings["commits"].as<unsigned>();
  for (unsigned clients : { 1U, 64U }) {
    for (bool usesGroupCommit : { false, true }) {
      print(MeasureCommits(nextFolder(), usesGroupCommit, clients, commits));
    }
  }
  unsigned changes = settings["changes"].as<unsigned>();
  print(MeasureRecovery(nextFolder(), kNoSnapshots, changes));
  print(MeasureRecovery(nextFolder(), changes / 5, changes));
  for (unsigned records : { 100U, 200U, 400U, 800U }) {
    print(MeasureSnapshot(nextFolder(), records));
  }
  return 0;
}

} // namespace tanagerstall
