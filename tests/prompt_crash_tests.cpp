// Prompt parts that crash each replica that begins to answer them, and crashes
// that have other causes.
#define BOOST_TEST_MODULE prompt_crash
#include "tanagerstall_prompt_crash_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

using namespace tanagerstall;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace {

struct DeadlyCase
{
  const char* name_;
  CrashingFleet fleet_;
  double share_;
};

std::ostream&
operator<<(std::ostream& aOut, const DeadlyCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<DeadlyCase> kDeadly = {
  { "7 entries, 1 in 50", { 7, 18, 160.0, 40, 2 }, 0.02 },
  { "7 entries, 1 in 50, part in the middle", { 7, 18, 160.0, 40, 1 }, 0.02 },
  { "7 entries, 1 in 50, first part", { 7, 18, 160.0, 40, 0 }, 0.02 },
  { "7 entries, 1 in 200", { 7, 18, 160.0, 40, 2 }, 0.005 },
  { "7 entries, 1 in 8", { 7, 18, 160.0, 400, 2 }, 0.12 },
  { "7 entries, 1 in 50, with one subject",
    { 7, 18, 160.0, 40, 2, true },
    0.02 },
  { "54 entries, 1 in 50", { 54, 72, 600.0, 200, 2 }, 0.02 },
  { "191 entries, 1 in 50", { 191, 63, 500.0, 200, 2 }, 0.02 },
  { "191 entries, 1 in 500", { 191, 63, 500.0, 200, 2 }, 0.002 },
};

constexpr unsigned kSeeds = 3;
constexpr seconds kBefore{ 10 };
constexpr seconds kDuring{ 30 };
/// The time that control has to find a part after its fifth crash, and until
/// sound requests are served again.
constexpr seconds kMaxDetection{ 4 };
constexpr seconds kMaxRecovery{ 8 };
constexpr std::size_t kMaxLateSends = 3;
constexpr double kMinBegunRatio = 0.5;

} // namespace

// Guards against requests of one kind that crash one replica after the other.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(Requests_with_a_deadly_part_are_soon_kept_from_replicas,
                     data::make(kDeadly),
                     row)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      TimePoint start = simulation.Now();
      simulation.SetDeadlyShare(row.share_);
      simulation.RunFor(kDuring);
      auto fifth = simulation.DeadlyCrash(5);
      auto last = fifth.value_or(start);
      if (fifth) {
        BOOST_TEST(simulation.DeadlySendsSince(*fifth + kMaxDetection) <=
                   kMaxLateSends);
      }
      double before =
        simulation.TallyBetween(start - kBefore, start).BegunShare();
      double after =
        simulation.TallyBetween(last + kMaxRecovery, simulation.Now())
          .BegunShare();
      BOOST_TEST(after >= kMinBegunRatio * before);
      auto others = simulation.Quarantined();
      others.erase(PromptCrashSimulation::kDeadlyPart);
      BOOST_TEST(others.empty());
    }
  }
}

namespace {

struct CrashCase
{
  const char* name_;
  CrashingFleet fleet_;
  double share_;
  int times_;
  std::chrono::milliseconds interval_;
};

std::ostream&
operator<<(std::ostream& aOut, const CrashCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<CrashCase> kCrashes = {
  { "all replicas once", { 7, 18, 160.0, 40, 2 }, 1.0, 1, {} },
  { "all replicas, again and again",
    { 7, 18, 160.0, 40, 2 },
    1.0,
    4,
    std::chrono::milliseconds(5000) },
  { "half, again and again",
    { 7, 18, 160.0, 400, 2 },
    0.5,
    8,
    std::chrono::milliseconds(4200) },
  { "half of 72", { 54, 72, 600.0, 2000, 2 }, 0.5, 1, {} },
  { "all of 63 twice",
    { 191, 63, 500.0, 2000, 2 },
    1.0,
    2,
    std::chrono::milliseconds(4500) },
};

} // namespace

// Guards against sound requests that are refused because replicas crashed for
// other reasons.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(Crashes_with_other_causes_put_no_part_in_quarantine,
                     data::make(kCrashes),
                     row)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      for (int i = 0; i < row.times_; ++i) {
        simulation.CrashReplicas(row.share_);
        simulation.RunFor(row.interval_);
      }
      simulation.RunFor(kBefore);
      BOOST_TEST(simulation.Quarantined().empty());
    }
  }
}

namespace {

struct TurnCase
{
  const char* name_;
  CrashingFleet fleet_;
  std::chrono::milliseconds pause_;
};

std::ostream&
operator<<(std::ostream& aOut, const TurnCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<TurnCase> kTurns = {
  { "18 replicas", { 7, 18, 160.0, 400, 2 }, std::chrono::milliseconds(100) },
  { "72 replicas", { 54, 72, 600.0, 200, 2 }, std::chrono::milliseconds(60) },
  { "72 replicas, slower",
    { 54, 72, 600.0, 200, 2 },
    std::chrono::milliseconds(100) },
  { "63 replicas", { 191, 63, 500.0, 200, 2 }, std::chrono::milliseconds(60) },
  { "63 replicas, slower",
    { 191, 63, 500.0, 200, 2 },
    std::chrono::milliseconds(100) },
};

constexpr unsigned kTurnSeeds = 6;

} // namespace

// Guards against a frequent part that is suspected because one of many parts is
// always lost several times in a row by chance.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(Replicas_that_crash_in_turn_put_no_part_in_quarantine,
                     data::make(kTurns),
                     row)
{
  for (unsigned seed = 1; seed <= kTurnSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      PromptCrashSimulation simulation(row.fleet_, seed);
      simulation.RunFor(kBefore);
      simulation.CrashReplicasInTurn(row.pause_);
      simulation.RunFor(kBefore);
      BOOST_TEST(simulation.Quarantined().empty());
    }
  }
}

namespace {

struct ChangeCase
{
  const char* name_;
  bool replacesLeader_;
  bool restartsEntry_;
};

std::ostream&
operator<<(std::ostream& aOut, const ChangeCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ChangeCase> kChanges = {
  { "another leader", true, false },
  { "an entry restarts", false, true },
  { "an entry restarts under another leader", true, true },
};

} // namespace

// Guards against a quarantine that is forgotten with the process that knew it.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(A_quarantine_outlives_processes, data::make(kChanges), row)
{
  PromptCrashSimulation simulation({ 7, 18, 160.0, 40, 2 }, 1);
  simulation.SetDeadlyShare(0.05);
  simulation.RunFor(kBefore);
  BOOST_REQUIRE(!simulation.Quarantined().empty());
  TimePoint now = simulation.Now();
  if (row.replacesLeader_) {
    simulation.ReplaceLeader();
    simulation.RunFor(seconds(1));
  }
  if (row.restartsEntry_) {
    simulation.RestartEntry(0);
    // A starting entry serves once control has answered it.
    simulation.RunFor(seconds(1));
    now = simulation.Now();
  }
  simulation.RunFor(kDuring);
  BOOST_TEST(simulation.DeadlySendsSince(now) == 0U);
}

namespace {

struct CompanionCase
{
  const char* name_;
  /// The part that comes along with the deadly one from this crash on.
  std::uint64_t firstCrash_;
};

std::ostream&
operator<<(std::ostream& aOut, const CompanionCase& aCase)
{
  return aOut << aCase.name_;
}

constexpr std::uint64_t kDeadlyPart = PromptCrashSimulation::kDeadlyPart;
constexpr std::uint64_t kCompanion = 7;
constexpr std::uint64_t kCrashCount = 14;

/// Reports crashes of one replica each to a leader, among many answers, and
/// returns what it has put in quarantine then. `aAddRequests` adds the requests
/// that were lost at a crash, by its number from 1, which is also its replica.
std::vector<QuarantinedCause>
QuarantinedAfterCrashes(
  const std::function<void(LossEvidence&, std::uint64_t)>& aAddRequests)
{
  CrashDetector detector(1);
  TimePoint now{ std::chrono::hours(1) };
  CrashReport report;
  LossEvidence& evidence = report.prompts_;
  detector.RecordReport("entry", report, now);
  for (std::uint64_t crash = 1; crash <= kCrashCount; ++crash) {
    now += std::chrono::milliseconds(300);
    evidence.answered_ += 100;
    evidence.crashes_.clear();
    aAddRequests(evidence, crash);
    detector.RecordReport("entry", report, now);
    detector.Update(now);
  }
  return detector.Verdicts(now).quarantined_;
}

const std::vector<CompanionCase> kCompanions = {
  { "from the third crash on", 3 },
  { "only after the deadly part was found", 8 },
};

} // namespace

// Guards against a part that is refused because requests with it were sent
// before another one was found.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(Crashes_that_are_explained_accuse_no_other_part,
                     data::make(kCompanions),
                     row)
{
  auto quarantined =
    QuarantinedAfterCrashes([&](LossEvidence& aTo, std::uint64_t aCrash) {
      aTo.lost_ = aCrash;
      aTo.crashes_.push_back({ kDeadlyPart, aCrash, aCrash, {} });
      if (aCrash >= row.firstCrash_) {
        aTo.crashes_.push_back({ kCompanion, aCrash, aCrash, {} });
      }
    });
  BOOST_REQUIRE(quarantined.size() == 1U);
  BOOST_TEST(quarantined.front().cause_ == kDeadlyPart);
}

namespace {

struct SubjectCase
{
  const char* name_;
  /// Lost requests per crash that have the subject but not the deadly part.
  std::uint64_t others_;
  bool wasAnswered_;
  std::uint64_t quarantined_;
};

std::ostream&
operator<<(std::ostream& aOut, const SubjectCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<SubjectCase> kSubjects = {
  { "answered earlier", 0, true, kDeadlyPart },
  { "answered earlier, in more of the lost requests", 1, true, kDeadlyPart },
  { "never answered, in more of the lost requests", 1, false, kCompanion },
};

} // namespace

// Guards against a sound subject that is refused in place of the deadly part
// that always comes with it.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(Of_parts_that_crash_together_the_answered_one_is_spared,
                     data::make(kSubjects),
                     row)
{
  auto quarantined =
    QuarantinedAfterCrashes([&](LossEvidence& aTo, std::uint64_t aCrash) {
      for (std::uint64_t request = 0; request <= row.others_; ++request) {
        ++aTo.lost_;
        aTo.crashes_.push_back(
          { kCompanion, aTo.lost_, aCrash, {}, row.wasAnswered_ });
      }
      aTo.crashes_.push_back({ kDeadlyPart, aTo.lost_, aCrash, {}, false });
    });
  BOOST_REQUIRE(quarantined.size() == 1U);
  BOOST_TEST(quarantined.front().cause_ == row.quarantined_);
}
