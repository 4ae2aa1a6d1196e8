// Plays every order of what a replica says and what becomes of it: its
// announcements, drains and departures, late copies, restarts of the replica
// and of control processes, one or all, and times without a heartbeat.
#define BOOST_TEST_MODULE replica_order
#include "tanagerstall/process/presence/tanagerstall_departure.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_leaves.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace tanagerstall;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTimeToLive = 5s;
constexpr std::size_t kControls = 3;
constexpr std::size_t kEntries = 2;

enum class StepKind
{
  Announce,
  Drain,
  LeaveWithStart,
  LeaveWithoutStart,
  /// The first announcement of the run arrives once more.
  LateCopy,
  RestartControl,
  /// All control processes and one of the entries restart at one moment.
  RestartAll,
  RestartReplica,
  /// Nothing is heard of the replica until its records expire.
  Silence
};

struct Step
{
  StepKind kind_;
  std::size_t control_ = 0;
};

std::vector<Step>
AllSteps()
{
  std::vector<Step> steps{ { StepKind::RestartReplica },
                           { StepKind::RestartAll },
                           { StepKind::Silence } };
  for (std::size_t control = 0; control < kControls; ++control) {
    for (auto kind : { StepKind::Announce,
                       StepKind::Drain,
                       StepKind::LeaveWithStart,
                       StepKind::LeaveWithoutStart,
                       StepKind::LateCopy,
                       StepKind::RestartControl }) {
      steps.push_back({ kind, control });
    }
  }
  return steps;
}

/// A replica, control processes that hear of each other, and entries. Reports
/// arrive after each step.
class Fleet
{
public:
  /// Plays a step; returns what is wrong after it, or "".
  std::string Play(const Step& aStep)
  {
    now_ += 100ms;
    bool isHeardReady = Act(aStep);
    Report();
    for (const auto& entry : entries_) {
      auto run = RunInUse(entry);
      if (run && ended_.contains(*run)) {
        return "in use after its drain or departure";
      }
      if (isHeardReady && run != run_) {
        return "a sound replica is out of use";
      }
    }
    return "";
  }

private:
  struct Control
  {
    ReplicaTable table_{ kTimeToLive };
    ReplicaView view_;
    std::uint64_t process_ = 1;
    TimePoint startedAt_{ 0h };
  };

  /// Returns whether the replica's current run announced that it is ready.
  bool Act(const Step& aStep)
  {
    Control& control = controls_.at(aStep.control_);
    switch (aStep.kind_) {
      case StepKind::Announce:
        return Announce(control, ReplicaState::Ready);
      case StepKind::Drain:
        Announce(control, ReplicaState::Draining);
        break;
      case StepKind::LeaveWithStart:
        Leave(control, run_);
        break;
      case StepKind::LeaveWithoutStart:
        Leave(control, 0);
        break;
      case StepKind::LateCopy:
        if (first_) {
          control.table_.Announce(*first_, now_);
        }
        break;
      case StepKind::RestartControl:
        Restart(control);
        break;
      case StepKind::RestartAll:
        entries_.front() = ReplicaView();
        for (auto& each : controls_) {
          Restart(each);
        }
        break;
      case StepKind::RestartReplica:
        ++run_;
        sequence_ = 0;
        first_.reset();
        break;
      case StepKind::Silence:
        now_ += 7s;
        break;
    }
    return false;
  }

  /// The log on the disk remains.
  void Restart(Control& aControl)
  {
    aControl = { ReplicaTable(kTimeToLive), {}, aControl.process_ + 1, now_ };
    for (const auto& [id, record] : log_.All()) {
      aControl.table_.AdoptReport(record.first, now_);
    }
  }

  /// Records what the replica said in the log, before it is acknowledged.
  void Acknowledge(const Control& aControl)
  {
    if (auto leave = aControl.table_.LeaveOf("r")) {
      log_.Record(*leave, WallTime());
    }
    ended_.insert(run_);
  }

  /// A run that drains or has left doesn't become ready again.
  bool Announce(Control& aControl, ReplicaState aState)
  {
    if (ended_.contains(run_)) {
      return false;
    }
    Replica replica;
    replica.id_ = "r";
    replica.service_ = "s";
    replica.address_ = "10.0.0.1:80";
    replica.startTimeMs_ = run_;
    replica.sequence_ = ++sequence_;
    replica.state_ = aState;
    aControl.table_.Announce(replica, now_);
    if (aState == ReplicaState::Draining) {
      Acknowledge(aControl);
    } else if (!first_) {
      first_ = replica;
    }
    return aState == ReplicaState::Ready;
  }

  /// A run that was never announced has no record that it could leave.
  void Leave(Control& aControl, std::uint64_t aSentStartMs)
  {
    if (sequence_ == 0) {
      return;
    }
    auto run = FindDepartedRun({ aSentStartMs,
                                 aControl.table_.NewestRun("r"),
                                 aControl.view_.NewestRun("r", now_),
                                 now_ - aControl.startedAt_,
                                 kTimeToLive });
    if (run) {
      aControl.table_.Leave("r", *run, now_);
      Acknowledge(aControl);
    }
  }

  void Report()
  {
    for (std::size_t from = 0; from < kControls; ++from) {
      Control& control = controls_.at(from);
      control.table_.Tick(now_);
      ReplicaReport report{ control.process_,
                            control.table_.Stamp(),
                            control.table_.ChangedAfter(0) };
      std::string name = "c" + std::to_string(from);
      for (auto& entry : entries_) {
        entry.ApplyReport(name, report, now_);
      }
      for (auto& other : controls_) {
        other.view_.ApplyReport(name, report, now_);
        for (const auto& replica : report.changed_) {
          other.table_.AdoptReport(replica, now_);
        }
      }
    }
  }

  std::optional<std::uint64_t> RunInUse(const ReplicaView& aEntry) const
  {
    auto present = aEntry.Present(now_);
    auto service = present->find("s");
    return service == present->end()
             ? std::nullopt
             : std::optional(service->second.front().startTimeMs_);
  }

  TimePoint now_{ 1h };
  std::array<Control, kControls> controls_;
  std::array<ReplicaView, kEntries> entries_;
  ReplicaLeaves log_;
  std::uint64_t run_ = 1;
  std::uint64_t sequence_ = 0;
  std::optional<Replica> first_;
  /// The runs whose drain or departure was acknowledged.
  std::set<std::uint64_t> ended_;
};

/// Plays steps on a new fleet; returns what went wrong, with the steps, or "".
std::string
PlayAll(const std::vector<Step>& aSteps)
{
  Fleet fleet;
  std::string played;
  for (const auto& step : aSteps) {
    played += " " + std::to_string(static_cast<int>(step.kind_)) + "@" +
              std::to_string(step.control_);
    if (auto wrong = fleet.Play(step); !wrong.empty()) {
      return wrong.append(", steps").append(played);
    }
  }
  return "";
}

} // namespace

// Guards against work for a replica after an acknowledged drain or departure,
// also where all control processes forget it, and against a sound one that is
// kept out of use.
BOOST_AUTO_TEST_CASE(Every_order_of_four_steps_keeps_the_last_word)
{
  constexpr std::size_t kLength = 4;
  auto all = AllSteps();
  std::size_t orders = 1;
  for (std::size_t i = 0; i < kLength; ++i) {
    orders *= all.size();
  }
  for (std::size_t order = 0; order < orders; ++order) {
    std::vector<Step> steps{ { StepKind::Announce, 0 } };
    for (std::size_t rest = order, i = 0; i < kLength; ++i) {
      steps.push_back(all[rest % all.size()]);
      rest /= all.size();
    }
    auto wrong = PlayAll(steps);
    BOOST_REQUIRE_MESSAGE(wrong.empty(), wrong);
  }
}

// The same with longer orders, drawn with a fixed seed.
BOOST_AUTO_TEST_CASE(Drawn_orders_of_eight_steps_keep_the_last_word)
{
  constexpr int kOrders = 100'000;
  constexpr std::size_t kLength = 8;
  auto all = AllSteps();
  std::mt19937_64 random(20261205);
  std::uniform_int_distribution<std::size_t> pick(0, all.size() - 1);
  for (int order = 0; order < kOrders; ++order) {
    std::vector<Step> steps;
    for (std::size_t i = 0; i < kLength; ++i) {
      steps.push_back(all[pick(random)]);
    }
    auto wrong = PlayAll(steps);
    BOOST_REQUIRE_MESSAGE(wrong.empty(), wrong);
  }
}
