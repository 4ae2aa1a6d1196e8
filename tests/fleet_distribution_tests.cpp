// The distribution of replicas from control processes to entries: bytes,
// messages and answers of each process as the fleet grows.
#define BOOST_TEST_MODULE fleet_distribution
#include "tanagerstall_distribution_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

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

void
Print(const char* aRole, const TrafficRate& aRate)
{
  BOOST_TEST_MESSAGE("  " << aRole << ": " << aRate.bytes_ / 1000
                          << " kB/s, messages " << aRate.messages_
                          << ", answers " << aRate.answers_ << ", changes "
                          << aRate.changes_);
}

void
Print(const DistributionFleet& aFleet, const DistributionSimulation& aRun)
{
  BOOST_TEST_MESSAGE(aFleet);
  Print("entry", aRun.EntryRate());
  Print("control process", aRun.FollowerRate());
  Print("leader", aRun.LeaderRate());
  BOOST_TEST_MESSAGE("  departure after "
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
