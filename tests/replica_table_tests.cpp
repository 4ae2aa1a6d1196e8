// Which replicas take work, by what they and control processes said.
#define BOOST_TEST_MODULE replica_table
#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

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

/// One thing that a control process hears of a replica.
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
  { "a late word doesn't take draining back",
    { { MakeReplica("r1", 1, 5, ReplicaState::Draining) },
      { MakeReplica("r1", 1, 4) } },
    {} },
  { "left, and a late word",
    { { MakeReplica("r1", 1, 1) },
      { MakeReplica("r1", 1, 1), true },
      { MakeReplica("r1", 1, 9) } },
    {} },
  { "left and started again under its id",
    { { MakeReplica("r1", 1, 7) },
      { MakeReplica("r1", 1, 7), true },
      { MakeReplica("r1", 2, 1) } },
    { "r1" } },
  { "a word of the run before",
    { { MakeReplica("r1", 2, 1) }, { MakeReplica("r1", 1, 9) } },
    { "r1" } },
  { "leaving of the run before",
    { { MakeReplica("r1", 2, 1) }, { MakeReplica("r1", 1, 9), true } },
    { "r1" } },
  { "the address goes to a newer replica",
    { { MakeReplica("r1", 1, 1) }, { MakeReplica("r2", 2, 1) } },
    { "r2" } },
  { "a late word of the address's earlier holder",
    { { MakeReplica("r2", 2, 1) }, { MakeReplica("r1", 1, 9) } },
    { "r2" } },
  { "left before it was announced",
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

/// What two control processes say, in this order.
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
  { "one", { { "c1", MakeReplica("r", 1, 1) } }, true },
  { "silent at one, ready at the other",
    { { "c1", MakeReplica("r", 1, 3, ReplicaState::Expired) },
      { "c2", MakeReplica("r", 1, 4) } },
    true },
  { "silent at one that heard it last",
    { { "c1", MakeReplica("r", 1, 9, ReplicaState::Expired) },
      { "c2", MakeReplica("r", 1, 4) } },
    true },
  { "silent at both",
    { { "c1", MakeReplica("r", 1, 3, ReplicaState::Expired) },
      { "c2", MakeReplica("r", 1, 4, ReplicaState::Expired) } },
    false },
  { "draining at the one that heard it last",
    { { "c1", MakeReplica("r", 1, 3) },
      { "c2", MakeReplica("r", 1, 4, ReplicaState::Draining) } },
    false },
  { "gone at one that heard it earlier",
    { { "c1", MakeReplica("r", 1, 3, ReplicaState::Departed) },
      { "c2", MakeReplica("r", 1, 4) } },
    false },
  { "gone, and a new run at the other",
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
