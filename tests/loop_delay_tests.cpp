// Tests of the detection of a control thread that falls behind.
#define BOOST_TEST_MODULE loop_delay
#include "tanagerstall/process/tanagerstall_loop_delay.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart{ 1h };
constexpr Duration kInterval = 100ms;
constexpr Duration kSuspendedBefore = 7s;

struct LagCase
{
  const char* name_;
  /// From the first run of the task to the second.
  Duration after_;
  /// For how long the machine was suspended between them.
  Duration suspended_;
  std::uint32_t reports_;
  bool isLag_;
};

std::ostream&
operator<<(std::ostream& aOut, const LagCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<LagCase> kLagCases{
  { "on time", 100ms, 0ms, 3, false },
  { "slightly late", 140ms, 0ms, 3, false },
  { "late", 160ms, 0ms, 3, true },
  { "very late without reports", 3s, 0ms, 0, true },
  { "suspended, by a clock that doesn't count it", 100ms, 3s, 0, true },
  { "suspended, by a clock that counts it", 3100ms, 3s, 0, true },
};

} // namespace

BOOST_DATA_TEST_CASE(A_late_task_is_a_lag, data::make(kLagCases))
{
  LoopDelay delay(kInterval);
  BOOST_TEST(!delay.Observe(kStart, kSuspendedBefore));
  for (std::uint32_t i = 0; i < sample.reports_; ++i) {
    delay.CountReport();
  }
  auto lag =
    delay.Observe(kStart + sample.after_, kSuspendedBefore + sample.suspended_);
  BOOST_TEST(lag.has_value() == sample.isLag_);
  if (lag) {
    BOOST_TEST((lag->delay_ == sample.after_ - kInterval));
    BOOST_TEST((lag->suspended_ == sample.suspended_));
    BOOST_TEST(lag->reports_ == sample.reports_);
  }
}

BOOST_AUTO_TEST_CASE(Reports_count_once)
{
  LoopDelay delay(kInterval);
  delay.Observe(kStart, kSuspendedBefore);
  delay.CountReport();
  BOOST_TEST(delay.Observe(kStart + 1s, kSuspendedBefore)->reports_ == 1);
  BOOST_TEST(delay.Observe(kStart + 2s, kSuspendedBefore)->reports_ == 0);
}
