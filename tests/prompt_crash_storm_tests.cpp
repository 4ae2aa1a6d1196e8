// Prompt parts that crash all replicas before others can be answered.
#define BOOST_TEST_MODULE prompt_crash_storm
#include "tanagerstall_prompt_crash_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace {

const std::vector<unsigned> kSeeds = { 9, 10, 13, 15 };
constexpr double kDeadlyShare = 0.12;
constexpr std::size_t kMaxLateSends = 3;

} // namespace

// Guards against a part that is found late because hardly any request is
// answered meanwhile.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(A_deadly_part_is_found_though_all_replicas_are_down,
                     data::make(kSeeds),
                     seed)
{
  PromptCrashSimulation simulation({ 7, 18, 160.0, 400, 2 }, seed);
  simulation.RunFor(seconds(10));
  simulation.SetDeadlyShare(kDeadlyShare);
  simulation.RunFor(seconds(30));
  auto fifth = simulation.DeadlyCrash(5);
  BOOST_REQUIRE(fifth);
  BOOST_TEST(simulation.DeadlySendsSince(*fifth + seconds(4)) <= kMaxLateSends);
}
