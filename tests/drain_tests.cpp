// Guards against a drain that ends while callers still use the entry, or after
// the instance is reclaimed.
#define BOOST_TEST_MODULE drain
#include "tanagerstall/process/tanagerstall_drain.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct DrainCase
{
  const char* name_;
  std::optional<Duration> notice_;
  Duration after_;
  std::size_t requests_;
  DrainStep step_;
  bool canAcceptRequests_;
};

std::ostream&
operator<<(std::ostream& aOut, const DrainCase& aCase)
{
  return aOut << aCase.name_;
}

// The discovery time to live is 3 s.
const std::vector<DrainCase> kCases{
  { "just started", {}, 0s, 0, DrainStep::ServeLateCallers, true },
  { "discovery answer still valid",
    {},
    3s,
    0,
    DrainStep::ServeLateCallers,
    true },
  { "discovery answers expired", {}, 4s, 0, DrainStep::End, true },
  { "request in progress", {}, 1h, 1, DrainStep::FinishRequests, true },
  { "long notice", 60s, 4s, 1, DrainStep::FinishRequests, true },
  { "notice almost expired",
    60s,
    59500ms,
    1,
    DrainStep::FinishRequests,
    false },
  { "requests are answered before the notice expires",
    60s,
    59800ms,
    1,
    DrainStep::EndRequests,
    false },
  { "the last request has been answered",
    60s,
    59800ms,
    0,
    DrainStep::End,
    false },
  { "notice expired", 60s, 60s, 1, DrainStep::End, false },
  { "short notice", 2s, 1500ms, 0, DrainStep::ServeLateCallers, false },
  { "short notice, requests are answered",
    2s,
    1800ms,
    1,
    DrainStep::EndRequests,
    false },
  { "short notice expired", 2s, 2s, 5, DrainStep::End, false },
};

} // namespace

BOOST_DATA_TEST_CASE(A_drain_ends_neither_early_nor_after_the_notice,
                     data::make(kCases),
                     aCase)
{
  TimePoint now{ 1h };
  Drain drain;
  drain.Start(now, 3s, aCase.notice_);
  // The drain is asked all the time; it has seen no request since before.
  constexpr Duration kQuiet = 300ms;
  if (aCase.after_ > 3500ms + kQuiet && aCase.requests_ == 0) {
    drain.Next(now + aCase.after_ - kQuiet, 0);
  }
  BOOST_TEST((drain.Next(now + aCase.after_, aCase.requests_) == aCase.step_));
  BOOST_TEST(drain.CanAcceptRequests(now + aCase.after_) ==
             aCase.canAcceptRequests_);
}

BOOST_AUTO_TEST_CASE(A_request_that_arrives_last_delays_the_end,
                     *boost::unit_test::label("drain"))
{
  TimePoint now{ 1h };
  Drain drain;
  drain.Start(now, 3s, 20s);
  BOOST_TEST((drain.Next(now + 4s, 0) == DrainStep::FinishRequests));
  BOOST_TEST((drain.Next(now + 4100ms, 1) == DrainStep::FinishRequests));
  BOOST_TEST((drain.Next(now + 5s, 0) == DrainStep::FinishRequests));
  BOOST_TEST((drain.Next(now + 5300ms, 0) == DrainStep::End));
}

BOOST_AUTO_TEST_CASE(A_later_notice_only_brings_the_end_nearer,
                     *boost::unit_test::label("drain"))
{
  TimePoint now{ 1h };
  Drain drain;
  BOOST_TEST((drain.Next(now, 0) == DrainStep::Serve));
  drain.Start(now, 3s, 20s);
  drain.Start(now + 1s, 3s, std::nullopt);
  drain.Start(now + 1s, 3s, 60s);
  BOOST_TEST((drain.Next(now + 20s, 1) == DrainStep::End));
  drain.Start(now + 2s, 3s, 3s);
  BOOST_TEST((drain.Next(now + 5s, 1) == DrainStep::End));
}
