// The capacity that replicas withdraw by naming a rate, and the requests a
// second against which it is measured.
#define BOOST_TEST_MODULE withdrawn_capacity
#include "tanagerstall/process/tanagerstall_entry_loads.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr double kTolerance = 1e-9;

struct NamedCase
{
  const char* name_;
  NamedRates named_;
  /// Four replicas, r0 to r3 with the start time 5, get 40 requests a second.
  double withdrawn_;
};

std::ostream&
operator<<(std::ostream& aOut, const NamedCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<NamedCase> kNamed{
  { "nothing", {}, 0.0 },
  { "half of the equal part", { { "r0", 5, 5.0, 2s } }, 0.5 },
  { "more than the equal part", { { "r0", 5, 12.0, 2s } }, 0.0 },
  { "two replicas", { { "r0", 5, 5.0, 2s }, { "r1", 5, 2.5, 9s } }, 1.25 },
  { "a limit that has just begun", { { "r0", 5, 5.0, 500ms } }, 0.0 },
  { "a limit that ended", { { "r0", 5, std::nullopt, 2s } }, 0.0 },
  { "another incarnation", { { "r0", 4, 5.0, 2s } }, 0.0 },
  { "a replica that has left", { { "r9", 5, 5.0, 2s } }, 0.0 },
};

EntryReport
MakeReport(const std::string& aEntry, std::uint64_t aArrivals)
{
  EntryReport report;
  report.entry_.id_ = aEntry;
  report.services_["s"].arrivals_ = aArrivals;
  return report;
}

} // namespace

BOOST_DATA_TEST_CASE(A_named_rate_below_the_equal_part_withdraws_capacity,
                     data::make(kNamed),
                     sample)
{
  std::vector<Replica> present(4);
  for (std::size_t i = 0; i < present.size(); ++i) {
    present[i].id_ = "r" + std::to_string(i);
    present[i].startTimeMs_ = 5;
  }
  BOOST_TEST(WithdrawnCapacity(present, sample.named_, 40.0) ==
               sample.withdrawn_,
             boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(Arrivals_count_from_the_first_report_of_an_entry_on)
{
  EntryLoads loads;
  TimePoint now{ 1h };
  std::uint64_t arrivals = 1'000'000;
  for (int i = 0; i < 100; ++i) {
    loads.Record(MakeReport("a", arrivals));
    arrivals += 10;
    now += 500ms;
    loads.ArrivalRate("s", now);
  }
  double rate = loads.ArrivalRate("s", now);
  BOOST_TEST(rate > 19.0);
  BOOST_TEST(rate < 21.0);
  // A restarted entry counts from 0 again.
  loads.Record(MakeReport("a", 10));
  now += 500ms;
  BOOST_TEST(loads.ArrivalRate("s", now) < 21.0);
}
