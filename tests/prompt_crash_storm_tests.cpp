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

struct StormCase
{
  const char* name_;
  CrashingFleet fleet_;
  double share_;
  std::vector<unsigned> seeds_;
};

std::ostream&
operator<<(std::ostream& aOut, const StormCase& aCase)
{
  return aOut << aCase.name_;
}

constexpr CrashingFleet kEighteen{ 7, 18, 160.0, 400, 2 };
constexpr CrashingFleet kTwelve{ 8, 12, 180.0, 200, 2 };

const std::vector<StormCase> kStorms = {
  { "18 replicas, 1 in 8", kEighteen, 0.12, { 9, 10, 13, 15 } },
  { "18 replicas, 1 in 2", kEighteen, 0.5, { 1, 2, 3 } },
  { "12 replicas, 1 in 12", kTwelve, 0.08, { 1, 2, 3 } },
  { "12 replicas, 1 in 5", kTwelve, 0.2, { 3, 12 } },
  { "12 replicas, 3 in 10", kTwelve, 0.3, { 3, 6, 7, 8 } },
};

constexpr seconds kBefore{ 10 };
constexpr seconds kDuring{ 30 };
/// The time that control has to find a part after its fifth crash.
constexpr seconds kMaxDetection{ 4 };
constexpr std::size_t kMaxLateSends = 3;

} // namespace

// Guards against a part that is found late because hardly any request is
// answered meanwhile.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(A_deadly_part_is_found_though_all_replicas_are_down,
                     data::make(kStorms),
                     row)
{
  for (unsigned seed : row.seeds_) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      simulation.SetDeadlyShare(row.share_);
      simulation.RunFor(kDuring);
      auto fifth = simulation.DeadlyCrash(5);
      BOOST_REQUIRE(fifth);
      BOOST_TEST(simulation.DeadlySendsSince(*fifth + kMaxDetection) <=
                 kMaxLateSends);
      auto others = simulation.Quarantined();
      others.erase(PromptCrashSimulation::kDeadlyPart);
      BOOST_TEST(others.empty());
    }
  }
}

namespace {

struct NewPartCase
{
  const char* name_;
  CrashingFleet fleet_;
  double share_;
  std::chrono::milliseconds pause_;
};

std::ostream&
operator<<(std::ostream& aOut, const NewPartCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<NewPartCase> kNewParts = {
  { "18 replicas at once, 2 in 5", kEighteen, 0.4, {} },
  { "18 replicas in turn, 1 in 10",
    kEighteen,
    0.1,
    std::chrono::milliseconds(60) },
  { "12 replicas in turn, 1 in 20",
    kTwelve,
    0.05,
    std::chrono::milliseconds(60) },
};

} // namespace

// Guards against a sound part that is refused because it appeared when all
// replicas crashed for another reason.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(A_sound_part_that_appears_with_crashes_is_not_quarantined,
                     data::make(kNewParts),
                     row)
{
  for (unsigned seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      simulation.SetNewPartShare(row.share_);
      simulation.CrashReplicasInTurn(row.pause_);
      simulation.RunFor(seconds(15));
      BOOST_TEST(simulation.Quarantined().empty());
    }
  }
}
