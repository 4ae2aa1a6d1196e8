// The time until a declaration is in force at all entries, over links of
// limited bandwidth.
#define BOOST_TEST_MODULE declaration_rollout
#include "tanagerstall_rollout_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
using std::chrono::milliseconds;
namespace data = boost::unit_test::data;

namespace {

struct Case
{
  const char* name_;
  RolloutFleet fleet_;
  std::size_t routesBefore_;
  /// The routes that each change adds, and the time between two changes.
  std::vector<std::size_t> added_;
  milliseconds interval_;
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.name_;
}

constexpr std::size_t kNarrow = 60'000'000 / 8;
constexpr std::size_t kSlowEntry = 10'000'000 / 8;

/// Time from the acknowledgement of a change until it must be in force.
constexpr milliseconds kMaxRollout(3000);

const std::vector<Case> kCases = {
  { "one route more", { 27, 9, kNarrow, kSlowEntry }, 50, { 1 }, {} },
  { "1,400 routes more", { 27, 9, kNarrow, kSlowEntry }, 1450, { 1400 }, {} },
  { "1,400 routes more, then one more",
    { 27, 9, kNarrow, kSlowEntry },
    2850,
    { 1400, 1 },
    milliseconds(50) },
  { "ten changes in quick succession",
    { 27, 9, kNarrow, kSlowEntry },
    4250,
    std::vector<std::size_t>(10, 1),
    milliseconds(300) },
  { "190 entries in a region",
    { 190, 9, kNarrow, kSlowEntry },
    4250,
    { 1400, 1 },
    milliseconds(50) },
};

} // namespace

// Guards against entries that answer 404 on routes of a large declaration
// because copies of it fill the link between the regions.
BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(A_change_is_in_force_everywhere_in_time,
                     data::make(kCases),
                     row)
{
  RolloutSimulation simulation(row.fleet_, row.routesBefore_);
  for (std::size_t added : row.added_) {
    simulation.AddRoutes(added);
    simulation.RunFor(row.interval_);
  }
  simulation.RunFor(std::chrono::seconds(20));
  for (const auto& change : simulation.Changes()) {
    BOOST_TEST_CONTEXT("declaration " << change.number_)
    {
      BOOST_REQUIRE(change.inForceAfter_.has_value());
      BOOST_TEST(InMilliseconds(*change.inForceAfter_) <=
                 InMilliseconds(kMaxRollout));
    }
  }
}

// Guards against a change whose cost grows with the size of the declaration
// instead of the size of the change.
BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_AUTO_TEST_CASE(A_small_change_of_a_large_declaration_sends_little)
{
  RolloutSimulation simulation({ 27, 9, kNarrow, kSlowEntry }, 4250);
  simulation.AddRoutes(1);
  simulation.RunFor(std::chrono::seconds(5));
  // 12 KB/s a node, at a change each 12.3 s.
  constexpr std::size_t kMaxBytesPerEntry = 148'000;
  BOOST_TEST(simulation.BytesPerEntry() < kMaxBytesPerEntry);
}
