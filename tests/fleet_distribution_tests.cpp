// The distribution of replicas from control processes to entries: bytes,
// messages and answers of each process as the fleet grows.
#define BOOST_TEST_MODULE fleet_distribution
#include "tanagerstall_distribution_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <iomanip>
#include <sstream>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace tanagerstall {

std::ostream&
operator<<(std::ostream& aOut, const DistributionFleet& aFleet)
{
  return aOut << aFleet.entries_ << " entries, " << aFleet.replicas_
              << " replicas";
}

} // namespace tanagerstall

namespace {

const std::vector<DistributionFleet> kFleets{ { 24, 270 },
                                              { 65, 735 },
                                              { 191, 2'160 },
                                              { 380, 4'300 } };

constexpr Duration kMeasured = 4s;
/// Within this time a replica that has left gets no new work.
constexpr Duration kMaxDeparture = 3s;

constexpr double kMaxAnswersOfChanges = 420.0;

/// Returns payload, messages, answers and changes of one process in a second.
std::string
Describe(const char* aRole, const TrafficRate& aRate)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "; " << aRole << " "
      << aRate.bytes_ / 1000 << " kB/s, " << aRate.messages_ << " messages, "
      << aRate.answers_ << " answers, " << aRate.changes_ << " changes";
  return out.str();
}

void
Print(const DistributionFleet& aFleet, const DistributionSimulation& aRun)
{
  BOOST_TEST_MESSAGE(aFleet
                     << Describe("entry", aRun.EntryRate())
                     << Describe("control", aRun.FollowerRate())
                     << Describe("leader", aRun.LeaderRate()) << "; departure "
                     << InMilliseconds(aRun.SlowestDeparture()) << " ms");
}

} // namespace

// Guards against entries that go on using a replica that has left because
// changes are held back in a large fleet.
BOOST_TEST_DECORATOR(*boost::unit_test::label("distribution"))
BOOST_DATA_TEST_CASE(Entries_learn_of_all_replicas_in_time,
                     data::make(kFleets),
                     fleet)
{
  DistributionSimulation run(fleet);
  run.RunFor(kMeasured);
  Print(fleet, run);
  BOOST_TEST(run.KnowsAll());
  BOOST_TEST(InMilliseconds(run.SlowestDeparture()) <=
             InMilliseconds(kMaxDeparture));
}

// Guards against changes of replicas that wake each entry so often that a
// control process has no time for anything else.
BOOST_TEST_DECORATOR(*boost::unit_test::label("distribution"))
BOOST_DATA_TEST_CASE(Replacing_half_of_the_replicas_causes_few_answers,
                     data::make(kFleets),
                     fleet)
{
  DistributionSimulation run(fleet);
  constexpr Duration kReplacement = 5s;
  run.Replace(fleet.replicas_ / 2, kReplacement);
  run.RunFor(kReplacement);
  Print(fleet, run);
  // Beyond one answer each 0.8 s to each entry, and those to brief reports.
  double idle = fleet.entries_ * 1.25;
  BOOST_TEST(run.FollowerRate().answers_ <= idle + kMaxAnswersOfChanges);
  run.RunFor(3s);
  BOOST_TEST(run.KnowsAll());
  BOOST_TEST(InMilliseconds(run.SlowestDeparture()) <=
             InMilliseconds(kMaxDeparture));
}

// Guards against small fleets whose entries wait for changes.
BOOST_TEST_DECORATOR(*boost::unit_test::label("distribution"))
BOOST_AUTO_TEST_CASE(Few_entries_get_changes_at_once)
{
  ReplicaBatches batches;
  TimePoint now{ 1h };
  for (int i = 0; i < 8; ++i) {
    batches.RecordFollower("entry-" + std::to_string(i), now);
  }
  BOOST_TEST(InMilliseconds(batches.Interval()) <= 20.0);
  batches.RecordPublication(now);
  // Entries that have left count no more after a while.
  batches.RecordFollower("entry-0", now + 4s);
  batches.RecordFollower("entry-0", now + 8s);
  BOOST_TEST(batches.Followers() == 1U);
}
