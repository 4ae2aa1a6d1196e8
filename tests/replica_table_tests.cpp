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
constexpr Duration kSilentAfter = 5s;

Replica
MakeReplica(const std::string& aId,
            std::uint64_t aBorn,
            std::uint64_t aSequence,
            ReplicaStanding aStanding = ReplicaStanding::Ready,
            const std::string& aAddress = "10.0.0.1:80")
{
  Replica replica;
  replica.id_ = aId;
  replica.service_ = "model";
  replica.address_ = aAddress;
  replica.failureDomain_ = "a";
  replica.bornMs_ = aBorn;
  replica.sequence_ = aSequence;
  replica.standing_ = aStanding;
  return replica;
}

/// One thing that a control process hears of a replica.
struct Word
{
  Replica replica_;
  bool isLeave_ = false;
};

struct TableCase
{
  const char* name_;
  std::vector<Word> words_;
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
      { MakeReplica("r1", 1, 2, ReplicaStanding::Draining) } },
    {} },
  { "a late word doesn't take draining back",
    { { MakeReplica("r1", 1, 5, ReplicaStanding::Draining) },
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

BOOST_DATA_TEST_CASE(A_control_process_knows_who_is_ready,
                     data::make(kTableCases))
{
  ReplicaTable table(kSilentAfter);
  TimePoint now = kStart;
  for (const auto& word : sample.words_) {
    now += 100ms;
    if (word.isLeave_) {
      table.Leave(word.replica_.id_, word.replica_.bornMs_, now);
    } else {
      table.Announce(word.replica_, now);
    }
  }
  std::vector<std::string> ready;
  for (const auto& replica : table.Ready()) {
    ready.push_back(replica.id_);
  }
  BOOST_TEST(ready == sample.ready_, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(A_replica_that_stays_silent_is_no_longer_ready)
{
  ReplicaTable table(kSilentAfter);
  table.Announce(MakeReplica("r1", 1, 1), kStart);
  table.Tick(kStart + kSilentAfter);
  BOOST_TEST(table.Ready().size() == 1);
  auto stamp = table.Stamp();
  table.Tick(kStart + kSilentAfter + 1ms);
  BOOST_TEST(table.Ready().empty());
  BOOST_TEST(table.ChangedAfter(stamp).size() == 1);
}

BOOST_AUTO_TEST_CASE(A_renewal_alone_is_no_change)
{
  ReplicaTable table(kSilentAfter);
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
  std::vector<std::pair<const char*, Replica>> said_;
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
    { { "c1", MakeReplica("r", 1, 3, ReplicaStanding::Silent) },
      { "c2", MakeReplica("r", 1, 4) } },
    true },
  { "silent at one that heard it last",
    { { "c1", MakeReplica("r", 1, 9, ReplicaStanding::Silent) },
      { "c2", MakeReplica("r", 1, 4) } },
    true },
  { "silent at both",
    { { "c1", MakeReplica("r", 1, 3, ReplicaStanding::Silent) },
      { "c2", MakeReplica("r", 1, 4, ReplicaStanding::Silent) } },
    false },
  { "draining at the one that heard it last",
    { { "c1", MakeReplica("r", 1, 3) },
      { "c2", MakeReplica("r", 1, 4, ReplicaStanding::Draining) } },
    false },
  { "gone at one that heard it earlier",
    { { "c1", MakeReplica("r", 1, 3, ReplicaStanding::Gone) },
      { "c2", MakeReplica("r", 1, 4) } },
    false },
  { "gone, and a new run at the other",
    { { "c1", MakeReplica("r", 1, 3, ReplicaStanding::Gone) },
      { "c2", MakeReplica("r", 2, 1) } },
    true },
};

} // namespace

BOOST_DATA_TEST_CASE(An_entry_merges_what_control_processes_know,
                     data::make(kViewCases))
{
  for (bool isReversed : { false, true }) {
    ReplicaView view;
    auto said = sample.said_;
    if (isReversed) {
      std::reverse(said.begin(), said.end());
    }
    for (const auto& [control, replica] : said) {
      view.Take(control, { 1, 1, { replica } }, kStart);
    }
    auto present = view.Present(kStart + 1s);
    BOOST_TEST(present->contains("model") == sample.isPresent_);
  }
}

BOOST_AUTO_TEST_CASE(A_control_process_that_started_again_is_given_time)
{
  ReplicaView view;
  view.Take("c1", { 1, 5, { MakeReplica("r", 1, 1) } }, kStart);
  view.Take("c1", { 2, 0, {} }, kStart + 1s);
  BOOST_TEST(view.Present(kStart + 2s)->contains("model"));
  view.Take("c1", { 2, 0, {} }, kStart + 20s);
  BOOST_TEST(!view.Present(kStart + 20s)->contains("model"));
}

BOOST_AUTO_TEST_CASE(Without_any_control_process_the_last_word_stands)
{
  ReplicaView view;
  view.Take("c1", { 1, 5, { MakeReplica("r", 1, 1) } }, kStart);
  view.Take("c2", { 1, 5, {} }, kStart);
  BOOST_TEST(view.Present(kStart + 1h)->contains("model"));
  view.Take("c2", { 1, 5, {} }, kStart + 1h);
  BOOST_TEST(!view.Present(kStart + 1h)->contains("model"));
}
