// Plain requests that crash each replica that runs them and come again at any
// entry, and crashes of plain replicas that have other causes.
#define BOOST_TEST_MODULE request_crash
#include "tanagerstall_prompt_crash_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace {

CrashingFleet
Plain(std::size_t aEntries,
      std::size_t aReplicas,
      double aPerSecond,
      std::size_t aMaxRuns = 2)
{
  constexpr std::size_t kLookups = 20;
  return {
    aEntries, aReplicas, aPerSecond, kLookups, 0, false, true, aMaxRuns
  };
}

struct DeadlyCase
{
  const char* name_;
  CrashingFleet fleet_;
  double perSecond_;
};

std::ostream&
operator<<(std::ostream& aOut, const DeadlyCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<DeadlyCase> kDeadly = {
  { "3 replicas, once in 2 s", Plain(7, 3, 45.0), 0.5 },
  { "3 replicas, once a second", Plain(7, 3, 45.0), 1.0 },
  { "3 replicas, 10 a second", Plain(7, 3, 45.0), 10.0 },
  { "3 replicas, unsafe, once a second", Plain(7, 3, 45.0, 1), 1.0 },
  { "3 replicas, few other requests", Plain(7, 3, 10.0), 1.0 },
  { "12 replicas, once a second", Plain(8, 12, 180.0), 1.0 },
  { "12 replicas, 10 a second", Plain(54, 12, 180.0), 10.0 },
  { "200 replicas, 5 a second", Plain(191, 200, 800.0), 5.0 },
};

constexpr unsigned kSeeds = 4;
constexpr seconds kBefore{ 10 };
constexpr seconds kDuring{ 30 };
/// The time in which entries learn of a request after its third crash, and how
/// often it may be sent later.
constexpr milliseconds kMaxDetection{ 4000 };
constexpr std::size_t kMaxLateSends = 3;
constexpr seconds kMaxRecovery{ 16 };
constexpr double kMinBegunRatio = 0.9;

} // namespace

// Guards against a request that is sent to one replica after the other although
// it has crashed each that ran it, since each time it has a new id.
BOOST_TEST_DECORATOR(*boost::unit_test::label("request crash"))
BOOST_DATA_TEST_CASE(A_request_that_crashes_replicas_is_soon_kept_from_them,
                     data::make(kDeadly),
                     row)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      TimePoint start = simulation.Now();
      simulation.SetDeadlyShare(row.perSecond_ / row.fleet_.requestsPerSecond_);
      simulation.RunFor(kDuring);
      auto third = simulation.DeadlyCrash(3);
      BOOST_REQUIRE(third);
      BOOST_TEST(simulation.DeadlySendsSince(*third + kMaxDetection) <=
                 kMaxLateSends);
      double before =
        simulation.TallyBetween(start - kBefore, start).BegunShare();
      double after =
        simulation.TallyBetween(*third + kMaxRecovery, simulation.Now())
          .BegunShare();
      BOOST_TEST(after >= kMinBegunRatio * before);
      auto others = simulation.Quarantined();
      others.erase(PromptCrashSimulation::kDeadlyRequest);
      BOOST_TEST(others.empty());
    }
  }
}

namespace {

struct CrashCase
{
  const char* name_;
  CrashingFleet fleet_;
  /// How many crashes there are, one replica at a time by turns.
  std::size_t crashes_;
  milliseconds interval_;
};

std::ostream&
operator<<(std::ostream& aOut, const CrashCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<CrashCase> kCrashes = {
  { "3 replicas at once", Plain(7, 3, 45.0), 3, milliseconds(0) },
  { "3 replicas in turn", Plain(7, 3, 45.0), 3, milliseconds(100) },
  { "3 replicas by turns", Plain(7, 3, 45.0), 24, milliseconds(1400) },
  { "3 replicas by turns, faster", Plain(7, 3, 90.0), 60, milliseconds(600) },
  { "12 replicas by turns", Plain(8, 12, 180.0), 60, milliseconds(400) },
  { "12 replicas by turns, faster",
    Plain(8, 12, 600.0),
    90,
    milliseconds(150) },
  { "200 replicas by turns", Plain(16, 200, 800.0), 100, milliseconds(60) },
};

constexpr unsigned kCrashSeeds = 6;

} // namespace

// Guards against a lookup that comes often and is taken for the cause because
// replicas crash for another reason.
BOOST_TEST_DECORATOR(*boost::unit_test::label("request crash"))
BOOST_DATA_TEST_CASE(Crashes_with_other_causes_put_no_request_in_quarantine,
                     data::make(kCrashes),
                     row)
{
  for (unsigned seed = 1; seed <= kCrashSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      simulation.CrashReplicasByTurns(row.interval_, row.crashes_);
      simulation.RunFor(row.interval_ * row.crashes_ + kBefore);
      BOOST_TEST(simulation.Quarantined().empty());
    }
  }
}

// Guards against a request that is forgotten because a client sends many
// different ones that are lost with replicas.
BOOST_TEST_DECORATOR(*boost::unit_test::label("request crash"))
BOOST_AUTO_TEST_CASE(Many_different_requests_hide_no_deadly_one)
{
  constexpr std::uint64_t kDeadly = 1;
  constexpr std::uint64_t kOthersPerCrash = 1500;
  CrashDetector detector(1);
  TimePoint now{ std::chrono::hours(1) };
  CrashReport report;
  LossEvidence& evidence = report.services_["s"];
  evidence.answered_ = 100000;
  detector.RecordReport("entry", report, now);
  for (std::uint64_t crash = 1; crash <= 8; ++crash) {
    now += seconds(1);
    evidence.answered_ += 10;
    evidence.crashes_.clear();
    evidence.crashes_.push_back({ kDeadly, ++evidence.lost_, crash, {} });
    for (std::uint64_t i = 0; i < kOthersPerCrash; ++i) {
      std::uint64_t loss = ++evidence.lost_;
      evidence.crashes_.push_back({ kDeadly + loss, loss, crash, {} });
    }
    detector.RecordReport("entry", report, now);
    detector.Update(now);
  }
  auto quarantined = detector.Verdicts(now).quarantined_;
  BOOST_REQUIRE(quarantined.size() == 1U);
  BOOST_TEST(quarantined.front().cause_ == kDeadly);
}

// Guards against a sound prompt part that is suspected because answers to many
// different requests have taken the place of its own.
BOOST_TEST_DECORATOR(*boost::unit_test::label("request crash"))
BOOST_AUTO_TEST_CASE(Many_different_answers_leave_parts_known)
{
  CrashQuarantine quarantine;
  const PromptParts parts{ 7 };
  TimePoint now{ std::chrono::hours(1) };
  quarantine.RecordSuccess({ parts, 1, "s" }, now);
  for (std::uint64_t request = 2; request < 100000; ++request) {
    quarantine.RecordSuccess({ {}, request, "s" }, now + seconds(1));
  }
  quarantine.RecordLoss({ parts, 1, "s" }, Replica(), std::nullopt, now);
  auto report = quarantine.Report(now);
  BOOST_REQUIRE(report.prompts_.crashes_.size() == 1U);
  BOOST_TEST(report.prompts_.crashes_.front().wasAnswered_);
}
