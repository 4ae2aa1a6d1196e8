// The leader's work for an organisation's limit, measured in processor time of
// this thread.
#define BOOST_TEST_MODULE leader_cost
#include "tanagerstall/request/tanagerstall_cost_leases.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <string>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// The entries that request grants; the others report now and then.
constexpr std::uint32_t kRequesting = 30;
constexpr int kOrganisations = 19;
/// The organisations for which one report requests a grant.
constexpr int kRequested = 4;
/// The interval between two requests for grants from any entry.
constexpr Duration kInterval = Duration(1s) / 300;
constexpr Duration kStandbyInterval = 1800ms;
constexpr Duration kLength = 6s;
/// Measurements, of which the least counts: other processes disturb the rest.
constexpr int kRuns = 5;
/// The processor time that control may use in a second.
constexpr double kMostPerSecond = 0.016;
const TimePoint kStart{ 1h };

/// Processor time that this thread has used, in seconds.
double
ProcessorTime()
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string
EntryName(std::uint32_t aEntry)
{
  return "entry-" + std::to_string(aEntry);
}

/// Returns the processor time that the leader's limits use in a second while
/// some entries request grants and all are in touch.
double
MeasureSecond(std::uint32_t aEntries)
{
  CostLeases leases;
  leases.StartLeading(kStart - 1min);
  CostGrantRequests holds;
  CostGrantRequests needs;
  for (int i = 0; i < kOrganisations; ++i) {
    std::string name = "organisation-" + std::to_string(i);
    leases.SetLimit(name, { 400'000, 400'000 }, 50'000);
    holds[name] = { 1'000, 0, 0, 0, 0 };
    if (i % (kOrganisations / kRequested) == 0) {
      needs[name] = { 1'000, 9'000, 12'000, 0, 0 };
    }
  }
  for (std::uint32_t i = 0; i < aEntries; ++i) {
    leases.RecordReport(EntryName(i), aEntries, holds, kStart);
  }
  Duration standbyInterval = kStandbyInterval / aEntries;
  TimePoint standbyAt = kStart;
  std::uint32_t standby = 0;
  std::uint32_t requesting = 0;
  double begin = ProcessorTime();
  for (TimePoint now = kStart; now < kStart + kLength; now += kInterval) {
    for (; standbyAt < now; standbyAt += standbyInterval) {
      leases.RecordReport(
        EntryName(standby++ % aEntries), aEntries, {}, standbyAt);
    }
    std::string entry = EntryName(requesting++ % kRequesting);
    leases.RecordReport(entry, aEntries, needs, now);
    leases.Grant(entry, needs, now);
  }
  return (ProcessorTime() - begin) / InSeconds(kLength);
}

} // namespace

// Guards against a leader whose work for each grant grows with the number of
// entries, so that its answers come too late for the requests that wait.
BOOST_DATA_TEST_CASE(Grants_take_no_more_of_the_processor_than_control_may_use,
                     data::make(std::vector<std::uint32_t>{ 54, 191, 380 }),
                     entries)
{
  double least = MeasureSecond(entries);
  for (int i = 1; i < kRuns; ++i) {
    least = std::min(least, MeasureSecond(entries));
  }
  BOOST_TEST_MESSAGE(entries << " entries: " << least);
  BOOST_TEST(least <= kMostPerSecond);
}
