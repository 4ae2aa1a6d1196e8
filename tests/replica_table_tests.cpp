// Tests which replicas accept work: as one control process determines it from
// announcements, and as an entry determines it from several control processes.
#define BOOST_TEST_MODULE replica_table
#include "tanagerstall/process/presence/tanagerstall_departure.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart{ 1h };
constexpr Duration kTimeToLive = 5s;

Replica
MakeReplica(const std::string& aId,
            std::uint64_t aStartTimeMs,
            std::uint64_t aSequence,
            ReplicaState aState = ReplicaState::Ready,
            const std::string& aAddress = "10.0.0.1:80")
{
  Replica replica;
  replica.id_ = aId;
  replica.service_ = "model";
  replica.address_ = aAddress;
  replica.failureDomain_ = "a";
  replica.startTimeMs_ = aStartTimeMs;
  replica.sequence_ = aSequence;
  replica.state_ = aState;
  return replica;
}

Replica
MakeExpired(const std::string& aId,
            std::uint64_t aStartTimeMs,
            std::uint64_t aSequence,
            ReplicaState aState = ReplicaState::Ready)
{
  Replica replica = MakeReplica(aId, aStartTimeMs, aSequence, aState);
  replica.hasExpired_ = true;
  return replica;
}

/// An announcement or departure that a control process receives.
struct Message
{
  Replica replica_;
  bool isLeave_ = false;
};

struct TableCase
{
  const char* name_;
  std::vector<Message> messages_;
  std::vector<std::string> ready_;
};

std::ostream&
operator<<(std::ostream& aOut, const TableCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<TableCase> kTableCases{
  { "announced", { { MakeReplica("r1", 1, 1) } }, { "r1" } },
  { "draining",
    { { MakeReplica("r1", 1, 1) },
      { MakeReplica("r1", 1, 2, ReplicaState::Draining) } },
    {} },
  { "a delayed announcement doesn't undo draining",
    { { MakeReplica("r1", 1, 5, ReplicaState::Draining) },
      { MakeReplica("r1", 1, 4) } },
    {} },
  { "a delayed announcement after the departure",
    { { MakeReplica("r1", 1, 1) },
      { MakeReplica("r1", 1, 1), true },
      { MakeReplica("r1", 1, 9) } },
    {} },
  { "departed and started again under its id",
    { { MakeReplica("r1", 1, 7) },
      { MakeReplica("r1", 1, 7), true },
      { MakeReplica("r1", 2, 1) } },
    { "r1" } },
  { "an announcement of the previous run",
    { { MakeReplica("r1", 2, 1) }, { MakeReplica("r1", 1, 9) } },
    { "r1" } },
  { "the departure of the previous run",
    { { MakeReplica("r1", 2, 1) }, { MakeReplica("r1", 1, 9), true } },
    { "r1" } },
  { "a newer replica takes over the address",
    { { MakeReplica("r1", 1, 1) }, { MakeReplica("r2", 2, 1) } },
    { "r2" } },
  { "a delayed announcement of the address's earlier holder",
    { { MakeReplica("r2", 2, 1) }, { MakeReplica("r1", 1, 9) } },
    { "r2" } },
  { "departed in a run that is announced late",
    { { MakeReplica("r1", 1, 5) },
      { MakeReplica("r1", 2, 0), true },
      { MakeReplica("r1", 2, 1) } },
    {} },
  { "departed in a run that is not known, and started again",
    { { MakeReplica("r1", 1, 5) },
      { MakeReplica("r1", 2, 0), true },
      { MakeReplica("r1", 3, 1) } },
    { "r1" } },
  { "departed before it was announced",
    { { MakeReplica("r1", 1, 1), true }, { MakeReplica("r1", 1, 1) } },
    {} },
};

} // namespace

BOOST_DATA_TEST_CASE(Announcements_determine_which_replicas_are_ready,
                     data::make(kTableCases))
{
  ReplicaTable table(kTimeToLive);
  TimePoint now = kStart;
  for (const auto& message : sample.messages_) {
    now += 100ms;
    if (message.isLeave_) {
      table.Leave(message.replica_.id_, message.replica_.startTimeMs_, now);
    } else {
      table.Announce(message.replica_, now);
    }
  }
  std::vector<std::string> ready;
  for (const auto& replica : table.Ready()) {
    ready.push_back(replica.id_);
  }
  BOOST_TEST(ready == sample.ready_, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(A_replica_without_renewal_expires)
{
  ReplicaTable table(kTimeToLive);
  table.Announce(MakeReplica("r1", 1, 1), kStart);
  table.Tick(kStart + kTimeToLive);
  BOOST_TEST(table.Ready().size() == 1);
  auto stamp = table.Stamp();
  table.Tick(kStart + kTimeToLive + 1ms);
  BOOST_TEST(table.Ready().empty());
  BOOST_TEST(table.ChangedAfter(stamp).size() == 1);
}

BOOST_AUTO_TEST_CASE(A_renewal_does_not_advance_the_stamp)
{
  ReplicaTable table(kTimeToLive);
  table.Announce(MakeReplica("r1", 1, 1), kStart);
  auto stamp = table.Stamp();
  table.Announce(MakeReplica("r1", 1, 2), kStart + 1s);
  BOOST_TEST(table.Stamp() == stamp);
}

namespace {

/// A second announcement that differs from the first one.
struct RenewalCase
{
  const char* name_;
  std::function<void(Replica&)> change_;
  bool isChange_;
};

std::ostream&
operator<<(std::ostream& aOut, const RenewalCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<RenewalCase> kRenewalCases{
  { "the sequence only", [](Replica&) {}, false },
  { "the remaining warm-up time",
    [](Replica& aIt) { aIt.warmUpTime_ = 800ms; },
    false },
  { "the service", [](Replica& aIt) { aIt.service_ = "other"; }, true },
  { "the address", [](Replica& aIt) { aIt.address_ = "10.0.0.9:80"; }, true },
  { "the failure domain",
    [](Replica& aIt) { aIt.failureDomain_ = "b"; },
    true },
  { "the slots", [](Replica& aIt) { aIt.slots_ = 7; }, true },
  { "the state",
    [](Replica& aIt) { aIt.state_ = ReplicaState::Draining; },
    true },
  { "whether it is reclaimable",
    [](Replica& aIt) { aIt.isReclaimable_ = true; },
    true },
  { "the version", [](Replica& aIt) { aIt.version_ = "v2"; }, true },
};

} // namespace

// Guards against renewals that all entries are told of although they use
// nothing that differs, and against changes that they are not told of.
BOOST_DATA_TEST_CASE(Only_what_entries_use_is_a_change,
                     data::make(kRenewalCases))
{
  ReplicaTable table(kTimeToLive);
  Replica replica = MakeReplica("r1", 1, 1);
  replica.warmUpTime_ = 2s;
  table.Announce(replica, kStart);
  auto stamp = table.Stamp();
  replica.sequence_ = 2;
  sample.change_(replica);
  BOOST_TEST(table.Announce(replica, kStart + 1s));
  BOOST_TEST((table.Stamp() != stamp) == sample.isChange_);
  BOOST_TEST(table.ChangedAfter(stamp).empty() != sample.isChange_);
}

namespace {

/// Reports of two control processes; the order must make no difference.
struct ViewCase
{
  const char* name_;
  std::vector<std::pair<const char*, Replica>> reports_;
  bool isPresent_;
};

std::ostream&
operator<<(std::ostream& aOut, const ViewCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ViewCase> kViewCases{
  { "ready at one", { { "c1", MakeReplica("r", 1, 1) } }, true },
  { "expired at one, ready at the other",
    { { "c1", MakeExpired("r", 1, 3) }, { "c2", MakeReplica("r", 1, 4) } },
    true },
  { "expired at the one with the newer announcement",
    { { "c1", MakeExpired("r", 1, 9) }, { "c2", MakeReplica("r", 1, 4) } },
    true },
  { "expired at both",
    { { "c1", MakeExpired("r", 1, 3) }, { "c2", MakeExpired("r", 1, 4) } },
    false },
  { "draining at the one with the newer announcement",
    { { "c1", MakeReplica("r", 1, 3) },
      { "c2", MakeReplica("r", 1, 4, ReplicaState::Draining) } },
    false },
  { "departed at the one with the older announcement",
    { { "c1", MakeReplica("r", 1, 3, ReplicaState::Departed) },
      { "c2", MakeReplica("r", 1, 4) } },
    false },
  { "departed at one, a new run at the other",
    { { "c1", MakeReplica("r", 1, 3, ReplicaState::Departed) },
      { "c2", MakeReplica("r", 2, 1) } },
    true },
};

} // namespace

BOOST_DATA_TEST_CASE(Reports_of_several_control_processes_are_merged,
                     data::make(kViewCases))
{
  for (bool isReversed : { false, true }) {
    ReplicaView view;
    auto reports = sample.reports_;
    if (isReversed) {
      std::reverse(reports.begin(), reports.end());
    }
    for (const auto& [control, replica] : reports) {
      view.ApplyReport(control, { 1, 1, { replica } }, kStart);
    }
    auto present = view.Present(kStart + 1s);
    BOOST_TEST(present->contains("model") == sample.isPresent_);
  }
}

namespace {

/// A control process restarts without its memory; another one knew that the
/// replica had left.
struct RestartCase
{
  const char* name_;
  /// What arrives at the restarted process.
  Replica late_;
  bool isAccepted_;
};

std::ostream&
operator<<(std::ostream& aOut, const RestartCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<RestartCase> kRestartCases{
  { "an earlier announcement", MakeReplica("r", 1, 3), false },
  { "a later announcement of the same run", MakeReplica("r", 1, 9), false },
  { "an earlier run", MakeReplica("r", 0, 9), false },
  { "a new run", MakeReplica("r", 2, 1), true },
  { "another replica", MakeReplica("other", 1, 1), true },
};

} // namespace

BOOST_DATA_TEST_CASE(A_replica_that_left_stays_out_after_a_restart,
                     data::make(kRestartCases))
{
  ReplicaTable first(kTimeToLive);
  first.Announce(MakeReplica("r", 1, 4), kStart);
  first.Leave("r", 1, kStart + 1s);
  ReplicaTable other(kTimeToLive);
  for (const auto& replica : first.ChangedAfter(0)) {
    other.AdoptReport(replica, kStart + 1s);
  }
  BOOST_TEST(other.Ready().empty());
  // The first process restarts and learns from the other one.
  ReplicaTable restarted(kTimeToLive);
  for (const auto& replica : other.ChangedAfter(0)) {
    restarted.AdoptReport(replica, kStart + 2s);
  }
  BOOST_TEST(restarted.Announce(sample.late_, kStart + 9s) ==
             sample.isAccepted_);
}

// Guards against a departure that entries don't learn because the process that
// heard it was lost before it told them, and against control processes that
// tell each other of it without end.
BOOST_AUTO_TEST_CASE(A_departure_from_another_process_is_passed_on_once)
{
  ReplicaTable table(kTimeToLive);
  table.Announce(MakeReplica("r", 1, 4), kStart);
  auto stamp = table.Stamp();
  Replica departed = MakeReplica("r", 1, 4, ReplicaState::Departed);
  table.AdoptReport(departed, kStart + 1s);
  auto changed = table.ChangedAfter(stamp);
  BOOST_REQUIRE(changed.size() == 1U);
  BOOST_TEST((changed[0].state_ == ReplicaState::Departed));
  BOOST_TEST(table.Ready().empty());
  stamp = table.Stamp();
  table.AdoptReport(departed, kStart + 2s);
  BOOST_TEST(table.Stamp() == stamp);
}

// Guards against an entry whose log doesn't show whether it was told that a
// replica leaves.
BOOST_AUTO_TEST_CASE(A_replica_that_leaves_is_named_once_by_the_view)
{
  ReplicaView view;
  auto ready = MakeReplica("r", 1, 4);
  auto draining = MakeReplica("r", 1, 5, ReplicaState::Draining);
  auto departed = MakeReplica("r", 1, 5, ReplicaState::Departed);
  BOOST_TEST(view.ApplyReport("c1", { 1, 1, { ready } }, kStart).empty());
  BOOST_TEST(view.ApplyReport("c1", { 1, 2, { draining } }, kStart).size() ==
             1U);
  BOOST_TEST(view.ApplyReport("c2", { 1, 1, { draining } }, kStart).empty());
  BOOST_TEST(view.ApplyReport("c1", { 1, 3, { departed } }, kStart).empty());
}

BOOST_AUTO_TEST_CASE(Replicas_of_the_previous_run_stay_for_a_grace_period)
{
  ReplicaView view;
  view.ApplyReport("c1", { 1, 5, { MakeReplica("r", 1, 1) } }, kStart);
  view.ApplyReport("c1", { 2, 0, {} }, kStart + 1s);
  BOOST_TEST(view.Present(kStart + 2s)->contains("model"));
  view.ApplyReport("c1", { 2, 0, {} }, kStart + 20s);
  BOOST_TEST(!view.Present(kStart + 20s)->contains("model"));
}

BOOST_AUTO_TEST_CASE(The_last_reports_stay_in_use_while_every_source_is_stale)
{
  ReplicaView view;
  view.ApplyReport("c1", { 1, 5, { MakeReplica("r", 1, 1) } }, kStart);
  view.ApplyReport("c2", { 1, 5, {} }, kStart);
  BOOST_TEST(view.Present(kStart + 1h)->contains("model"));
  view.ApplyReport("c2", { 1, 5, {} }, kStart + 1h);
  BOOST_TEST(!view.Present(kStart + 1h)->contains("model"));
}

// Guards against a judgement of a service's versions by a view that lacks the
// replicas of a control process: one that was never heard, or that was cut off
// and has not reported since.
BOOST_AUTO_TEST_CASE(Reports_are_recent_once_each_control_process_reported)
{
  const std::vector<std::string> both{ "c1", "c2" };
  ReplicaView view;
  BOOST_TEST(!view.HasRecentReports({}, kStart));
  view.ApplyReport("c1", { 1, 5, {} }, kStart);
  BOOST_TEST(view.HasRecentReports({ "c1" }, kStart));
  BOOST_TEST(!view.HasRecentReports(both, kStart));
  view.ApplyReport("c2", { 1, 5, {} }, kStart);
  BOOST_TEST(view.HasRecentReports(both, kStart + 5s));
  view.ApplyReport("c1", { 1, 5, {} }, kStart + 20s);
  BOOST_TEST(!view.HasRecentReports(both, kStart + 20s));
  view.ApplyReport("c2", { 1, 5, {} }, kStart + 20s);
  BOOST_TEST(view.HasRecentReports(both, kStart + 20s));
}

namespace {

/// What happens to the control process that acknowledged a drain or departure.
enum class Loss
{
  None,
  Restart,
  Silence
};

struct DrainCase
{
  const char* name_;
  /// Whether the replica sends its departure rather than that it drains.
  bool isLeave_;
  Loss loss_;
};

std::ostream&
operator<<(std::ostream& aOut, const DrainCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<DrainCase> kDrainCases{
  { "drains, its record expires", false, Loss::None },
  { "drains, the control process restarts", false, Loss::Restart },
  { "drains, the control process goes silent", false, Loss::Silence },
  { "leaves, its record expires", true, Loss::None },
  { "leaves, the control process restarts", true, Loss::Restart },
  { "leaves, the control process goes silent", true, Loss::Silence },
};

/// Two control processes that don't hear of each other, and an entry.
class SplitFleet
{
public:
  ReplicaTable& First() { return tables_.front(); }
  ReplicaTable& Second() { return tables_.back(); }

  /// Both control processes report to the entry, except silent ones.
  void Report(TimePoint aNow)
  {
    First().Tick(aNow);
    ReportFrom(0, aNow);
    if (!isSecondSilent_) {
      Second().Tick(aNow);
      ReportFrom(1, aNow);
    }
  }

  void Lose(Loss aLoss)
  {
    isSecondSilent_ = aLoss == Loss::Silence;
    if (aLoss == Loss::Restart) {
      Second() = ReplicaTable(kTimeToLive);
      ++runs_.back();
    }
  }

  bool IsInUse(TimePoint aNow) const
  {
    return view_.Present(aNow)->contains("model");
  }

private:
  void ReportFrom(std::size_t aControl, TimePoint aNow)
  {
    const ReplicaTable& table = tables_[aControl];
    view_.ApplyReport("c" + std::to_string(aControl),
                      { runs_[aControl], table.Stamp(), table.ChangedAfter(0) },
                      aNow);
  }

  std::vector<ReplicaTable> tables_{ ReplicaTable(kTimeToLive),
                                     ReplicaTable(kTimeToLive) };
  std::vector<std::uint64_t> runs_{ 1, 1 };
  bool isSecondSilent_ = false;
  ReplicaView view_;
};

} // namespace

// Guards against work for a draining replica whose last announcement is
// forgotten while an earlier one arrives late at another control process.
BOOST_DATA_TEST_CASE(A_late_announcement_never_undoes_what_followed_it,
                     data::make(kDrainCases))
{
  SplitFleet fleet;
  TimePoint now = kStart;
  fleet.Second().Announce(MakeReplica("r", 1, 4), now);
  fleet.Report(now);
  BOOST_TEST(fleet.IsInUse(now));
  if (sample.isLeave_) {
    fleet.Second().Leave("r", 1, now);
  } else {
    fleet.Second().Announce(MakeReplica("r", 1, 5, ReplicaState::Draining),
                            now);
  }
  fleet.Report(now);
  BOOST_TEST(!fleet.IsInUse(now));
  fleet.Lose(sample.loss_);
  constexpr int kSeconds = 20;
  constexpr int kArrival = 5;
  for (int second = 1; second <= kSeconds; ++second) {
    now += 1s;
    if (second == kArrival) {
      fleet.First().Announce(MakeReplica("r", 1, 3), now);
    }
    fleet.Report(now);
    BOOST_TEST(!fleet.IsInUse(now), "in use after " << second << " s");
  }
  // A new run under the id is used at once.
  fleet.First().Announce(MakeReplica("r", 2, 1), now);
  fleet.Report(now);
  BOOST_TEST(fleet.IsInUse(now));
}

// The same at a control process: it knows what the replica told another one.
BOOST_AUTO_TEST_CASE(A_drain_that_another_process_reports_outlasts_a_late_call)
{
  ReplicaTable first(kTimeToLive);
  first.Announce(MakeReplica("r", 1, 5, ReplicaState::Draining), kStart);
  ReplicaTable other(kTimeToLive);
  for (const auto& replica : first.ChangedAfter(0)) {
    other.AdoptReport(replica, kStart);
  }
  BOOST_TEST(!other.Announce(MakeReplica("r", 1, 4), kStart + 5s));
  BOOST_TEST(other.Ready().empty());
  BOOST_TEST(other.Announce(MakeReplica("r", 2, 1), kStart + 6s));
  BOOST_TEST(other.Ready().size() == 1);
}

// Guards against work for a replica that restarted under its id and leaves at a
// control process that knows its earlier run only.
BOOST_AUTO_TEST_CASE(A_departure_ends_the_run_that_sent_it)
{
  SplitFleet fleet;
  fleet.Second().Announce(MakeReplica("r", 1, 4), kStart);
  fleet.First().Announce(MakeReplica("r", 2, 1), kStart + 1s);
  fleet.Report(kStart + 1s);
  BOOST_TEST(fleet.IsInUse(kStart + 1s));
  fleet.Second().Leave("r", 2, kStart + 2s);
  fleet.Report(kStart + 2s);
  BOOST_TEST(!fleet.IsInUse(kStart + 2s));
}

namespace {

struct DepartureCase
{
  const char* name_;
  DepartureFacts facts_;
  std::optional<std::uint64_t> run_;
};

std::ostream&
operator<<(std::ostream& aOut, const DepartureCase& aCase)
{
  return aOut << aCase.name_;
}

constexpr ReportedRun kRun4{ 4, true };
constexpr ReportedRun kRun6{ 6, true };
constexpr ReportedRun kExpiredRun6{ 6, false };

const std::vector<DepartureCase> kDepartures{
  { "start time sent", { 7, 5, kRun6, 1h, kTimeToLive }, 7 },
  { "start time of an earlier run sent", { 4, 5, kRun6, 1h, kTimeToLive }, 4 },
  { "start time sent, just started", { 7, {}, {}, 1s, kTimeToLive }, 7 },
  { "known here", { 0, 5, {}, 1h, kTimeToLive }, 5 },
  { "known here, just started", { 0, 5, {}, 1s, kTimeToLive }, 5 },
  { "an earlier run known elsewhere", { 0, 5, kRun4, 1h, kTimeToLive }, 5 },
  { "a later run known elsewhere", { 0, 5, kRun6, 1h, kTimeToLive }, 6 },
  { "a later run expired elsewhere",
    { 0, 5, kExpiredRun6, 1h, kTimeToLive },
    {} },
  { "expired here, heard elsewhere", { 0, {}, kRun6, 1h, kTimeToLive }, 6 },
  { "expired everywhere", { 0, {}, kExpiredRun6, 1h, kTimeToLive }, {} },
  { "known elsewhere, just started", { 0, {}, kRun6, 1s, kTimeToLive }, {} },
  { "it never sends a start time", { 0, 0, {}, 1h, kTimeToLive }, 0 },
  { "known nowhere", { 0, {}, {}, 1h, kTimeToLive }, {} },
};

} // namespace

// Guards against a departure without a start time that a restarted control
// process acknowledges and attaches to no run.
BOOST_DATA_TEST_CASE(A_departure_without_a_start_time_ends_the_newest_run,
                     data::make(kDepartures))
{
  BOOST_TEST((FindDepartedRun(sample.facts_) == sample.run_));
}
