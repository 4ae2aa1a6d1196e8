// Injects every fault, and every pair of faults, at every step of a
// non-idempotent request in virtual time, and checks that each request runs at
// most once and that no caller gets a wrong outcome. Simulations with a
// deliberate defect show that the checker detects such violations.
#define BOOST_TEST_MODULE request_matrix
#include "tanagerstall_request_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace tanagerstall::matrix;
namespace data = boost::unit_test::data;

namespace tanagerstall::matrix {

std::ostream&
operator<<(std::ostream& aOut, Defect aDefect)
{
  return aOut << static_cast<int>(aDefect);
}

} // namespace tanagerstall::matrix

namespace {

constexpr unsigned kSeedsPerKind = 24;

/// All combinations of request and caller that each injection is run with.
std::vector<SimulationSettings>
RequestKinds()
{
  std::vector<SimulationSettings> kinds;
  for (unsigned i = 0; i < 8; ++i) {
    SimulationSettings kind;
    kind.isAsync_ = (i & 1U) != 0;
    kind.resendsAfterRefusal_ = (i & 2U) != 0;
    kind.deduplicates_ = (i & 4U) != 0;
    kinds.push_back(kind);
  }
  return kinds;
}

std::string
Describe(const SimulationSettings& aSettings)
{
  std::string text = "seed " + std::to_string(aSettings.seed_) + " async " +
                     std::to_string(aSettings.isAsync_) + " resends " +
                     std::to_string(aSettings.resendsAfterRefusal_) +
                     " deduplicates " + std::to_string(aSettings.deduplicates_);
  for (const auto& injection : aSettings.injections_) {
    text += " step " + std::to_string(static_cast<int>(injection.step_)) +
            " fault " + std::to_string(static_cast<int>(injection.fault_));
  }
  return text;
}

/// Returns the violations of one run, each with the settings that reproduce
/// it.
std::vector<std::string>
RunAndFindViolations(const SimulationSettings& aSettings)
{
  auto found = FindViolations(RequestSimulation(aSettings).Run());
  for (auto& violation : found) {
    violation += ": " + Describe(aSettings);
  }
  return found;
}

void
CheckNoViolations(const SimulationSettings& aSettings)
{
  for (const auto& violation : RunAndFindViolations(aSettings)) {
    BOOST_ERROR(violation);
  }
}

Injection
MakeInjection(int aStep, int aFault)
{
  return { static_cast<Step>(aStep), static_cast<Fault>(aFault) };
}

} // namespace

BOOST_AUTO_TEST_CASE(Without_a_fault_every_request_is_answered,
                     *boost::unit_test::label("request_matrix"))
{
  for (auto kind : RequestKinds()) {
    for (kind.seed_ = 1; kind.seed_ <= kSeedsPerKind; ++kind.seed_) {
      History history = RequestSimulation(kind).Run();
      CheckNoViolations(kind);
      for (const auto& [key, state] : history.states_) {
        BOOST_TEST((state == RequestState::Answered));
        BOOST_TEST(history.executions_[key] == 1U);
      }
    }
  }
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("request_matrix"))
BOOST_DATA_TEST_CASE(One_fault_at_any_step_leaves_every_outcome_correct,
                     data::xrange(kSteps) * data::xrange(kFaults),
                     step,
                     fault)
{
  for (auto kind : RequestKinds()) {
    kind.injections_ = { MakeInjection(step, fault) };
    for (kind.seed_ = 1; kind.seed_ <= kSeedsPerKind; ++kind.seed_) {
      CheckNoViolations(kind);
    }
  }
}

BOOST_AUTO_TEST_CASE(The_matrix_covers_every_step_fault_and_outcome,
                     *boost::unit_test::label("request_matrix"))
{
  std::map<AtMostOnceOutcome, std::size_t> outcomes;
  for (int cell = 0; cell < kSteps * kFaults; ++cell) {
    std::size_t injectionCount = 0;
    for (auto kind : RequestKinds()) {
      kind.injections_ = { MakeInjection(cell / kFaults, cell % kFaults) };
      History history = RequestSimulation(kind).Run();
      injectionCount += history.injectionCount_;
      for (const auto& call : history.calls_) {
        outcomes[call.outcome_.value_or(AtMostOnceOutcome::LedgerFull)] += 1;
      }
    }
    BOOST_TEST(injectionCount == RequestKinds().size());
  }
  for (auto outcome : { AtMostOnceOutcome::Answered,
                        AtMostOnceOutcome::NotRun,
                        AtMostOnceOutcome::Unknown,
                        AtMostOnceOutcome::Pending }) {
    BOOST_TEST(outcomes[outcome] > 0U);
  }
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("request_matrix"))
BOOST_DATA_TEST_CASE(Two_faults_at_any_steps_leave_every_outcome_correct,
                     data::xrange(kSteps) * data::xrange(kFaults),
                     step,
                     fault)
{
  for (int second = 0; second < kSteps * kFaults; ++second) {
    for (auto kind : RequestKinds()) {
      kind.injections_ = { MakeInjection(step, fault),
                           MakeInjection(second / kFaults, second % kFaults) };
      kind.seed_ = static_cast<unsigned>(second + 100);
      CheckNoViolations(kind);
    }
  }
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("request_matrix"))
BOOST_DATA_TEST_CASE(The_checker_detects_each_defect,
                     data::make({ Defect::GrantGivenTwice,
                                  Defect::SentWithoutGrant,
                                  Defect::ReleasedAfterSending,
                                  Defect::RefusedWithoutWithdrawal,
                                  Defect::WrongAnswer,
                                  Defect::NoRecovery }),
                     defect)
{
  std::size_t found = 0;
  for (int cell = 0; cell < kSteps * kFaults; ++cell) {
    for (auto kind : RequestKinds()) {
      kind.injections_ = { MakeInjection(cell / kFaults, cell % kFaults) };
      kind.defect_ = defect;
      found += RunAndFindViolations(kind).size();
    }
  }
  BOOST_TEST(found > 0U);
}
