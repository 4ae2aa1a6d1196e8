// Tests that CheckHistory() reports each kind of violation and accepts valid
// histories.
#define BOOST_TEST_MODULE caller_history
#include "tanagerstall/process/experiment/tanagerstall_caller_history.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

const std::string kBody = "body";
const std::string kAnswer = R"({"echo":"body","executions":1})";

struct HistoryCase
{
  std::string name_;
  std::vector<std::pair<ObservedOutcome, std::string>> observed_;
  unsigned executions_;
  std::size_t violations_;
};

std::ostream&
operator<<(std::ostream& aOut, const HistoryCase& aCase)
{
  return aOut << aCase.name_;
}

using enum ObservedOutcome;

const std::vector<HistoryCase> kCases{
  { "answered", { { Answered, kAnswer } }, 1, 0 },
  { "no answer, then answered",
    { { NoAnswer, "" }, { Answered, kAnswer } },
    1,
    0 },
  { "not run, then answered", { { NotRun, "" }, { Answered, kAnswer } }, 1, 0 },
  { "unknown and run", { { Unknown, "" } }, 1, 0 },
  { "unknown and not run", { { Unknown, "" } }, 0, 0 },
  { "accepted, then unknown", { { Accepted, "" }, { Unknown, "" } }, 1, 0 },
  { "ran twice", { { Answered, kAnswer } }, 2, 1 },
  { "reported as not run and ran", { { NotRun, "" } }, 1, 1 },
  { "answered without a run", { { Answered, kAnswer } }, 0, 1 },
  { "accepted and lost", { { Accepted, "" } }, 0, 1 },
  { "truncated answer", { { Answered, kAnswer.substr(0, 9) } }, 1, 1 },
  { "answer to another request",
    { { Answered, R"({"echo":"other"})" } },
    1,
    1 },
  { "different answers",
    { { Answered, kAnswer }, { Answered, R"({"echo":"body"})" } },
    1,
    1 }
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("caller_history"))
BOOST_DATA_TEST_CASE(Violations_of_a_history_are_counted,
                     data::make(kCases),
                     row)
{
  CallerHistory history;
  for (const auto& [outcome, answer] : row.observed_) {
    history.submissions_.push_back({ "key", outcome, answer, kBody });
  }
  history.executions_["key"] = row.executions_;
  BOOST_TEST(CheckHistory(history).size() == row.violations_);
}
