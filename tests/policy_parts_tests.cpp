// Tests of the parts of the routing policy with explicit times.
#define BOOST_TEST_MODULE policy_parts
#include "tanagerstall/request/tanagerstall_attempt_budget.hpp"
#include "tanagerstall/request/tanagerstall_fair_queue.hpp"
#include "tanagerstall/request/tanagerstall_length_estimates.hpp"
#include "tanagerstall/request/tanagerstall_upstream_health.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace tanagerstall;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr double kBurst = 10;

/// Whether extra attempts stay within the ratio while every attempt fails.
bool
StaysWithinRatio(const std::function<void()>& aOnRequest,
                 const std::function<bool()>& aTake,
                 double aRatio,
                 int aRequests)
{
  double extra = 0;
  for (int i = 0; i < aRequests; ++i) {
    aOnRequest();
    while (extra <= aRequests * 10.0 && aTake()) {
      ++extra;
    }
  }
  return extra <= kBurst + aRatio * aRequests + 1e-6;
}

/// How many of `aPops` items the small flow gets while both are backlogged.
int
CountServedOfSmall(double aSmallWeight, double aLargeWeight, int aPops)
{
  FairQueue queue;
  FairQueue::FlowKey small{ "model", "small", true };
  FairQueue::FlowKey large{ "model", "large", true };
  constexpr int kBacklog = 1000;
  for (std::uint64_t i = 0; i < kBacklog; ++i) {
    queue.Push(large, aLargeWeight, { 1000 + i, 50 }, false);
    queue.Push(small, aSmallWeight, { i, 50 }, false);
  }
  int served = 0;
  for (int i = 0; i < aPops; ++i) {
    auto item = queue.Pop([](const auto&, const auto&) { return true; });
    served += item->ticket_ < kBacklog ? 1 : 0;
  }
  return served;
}

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(Extra_attempts_never_amplify_an_overload,
                     data::make({ 0.0, 0.05, 0.2, 1.0 }) *
                       data::make({ 1, 100, 10000 }),
                     ratio,
                     requests)
{
  AttemptBudget budget(ratio);
  BOOST_TEST(StaysWithinRatio([&] { budget.OnRequest(); },
                              [&] { return budget.Take(); },
                              ratio,
                              requests));
}

BOOST_AUTO_TEST_CASE(The_ratio_check_detects_an_unlimited_budget,
                     *boost::unit_test::label("policy"))
{
  BOOST_TEST(!StaysWithinRatio([] {}, [] { return true; }, 0.2, 100));
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(Backlogged_flows_share_by_weight,
                     data::make({ 1.0, 1.0, 3.0, 1.0 }) ^
                       data::make({ 1.0, 3.0, 1.0, 9.0 }) ^
                       data::make({ 50, 25, 75, 10 }),
                     smallWeight,
                     largeWeight,
                     expected)
{
  int served = CountServedOfSmall(smallWeight, largeWeight, 100);
  BOOST_TEST(served >= expected - 1);
  BOOST_TEST(served <= expected + 1);
}

BOOST_AUTO_TEST_CASE(A_new_flow_waits_for_at_most_one_item_of_a_long_backlog,
                     *boost::unit_test::label("policy"))
{
  FairQueue queue;
  FairQueue::FlowKey large{ "model", "large", true };
  auto any = [](const auto&, const auto&) { return true; };
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.Push(large, 1, { i, 50 }, false);
  }
  for (int i = 0; i < 20; ++i) {
    queue.Pop(any);
  }
  queue.Push({ "model", "small", true }, 1, { 777, 50 }, false);
  auto first = queue.Pop(any);
  auto second = queue.Pop(any);
  BOOST_TEST((first->ticket_ == 777 || second->ticket_ == 777));
}

BOOST_AUTO_TEST_CASE(A_removed_item_is_not_served,
                     *boost::unit_test::label("policy"))
{
  FairQueue queue;
  FairQueue::FlowKey flow{ "model", "a", true };
  queue.Push(flow, 1, { 1, 1 }, false);
  queue.Push(flow, 1, { 2, 1 }, false);
  BOOST_TEST(queue.Remove(flow, 1));
  BOOST_TEST(!queue.Remove(flow, 1));
  auto any = [](const auto&, const auto&) { return true; };
  BOOST_TEST(queue.Pop(any)->ticket_ == 2U);
  BOOST_TEST(!queue.Pop(any).has_value());
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(An_upstream_is_ejected_after_its_stall_timeout,
                     data::make({ true, true, false, false }) ^
                       data::make({ 500, 501, 2500, 2501 }) ^
                       data::make({ true, false, true, false }),
                     hasStream,
                     idleMs,
                     canReceive)
{
  UpstreamHealth health;
  health.OnSent(kStart);
  if (hasStream) {
    health.OnProgress(true, kStart);
  }
  BOOST_TEST(health.CanReceive(kStart + milliseconds(idleMs)) == canReceive);
}

BOOST_AUTO_TEST_CASE(An_idle_upstream_is_never_ejected,
                     *boost::unit_test::label("policy"))
{
  UpstreamHealth health;
  BOOST_TEST(health.CanReceive(kStart + std::chrono::hours(10)));
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(Only_steady_progress_ends_an_ejection,
                     data::make({ 100, 400, 500, 600 }) ^
                       data::make({ false, false, true, true }),
                     steadyFor,
                     canReceive)
{
  UpstreamHealth health;
  health.OnSent(kStart);
  health.OnProgress(true, kStart);
  TimePoint now = kStart + milliseconds(800);
  BOOST_TEST(!health.CanReceive(now));
  for (int at = 0; at <= steadyFor; at += 50) {
    health.OnProgress(false, now + milliseconds(at));
  }
  BOOST_TEST(health.CanReceive(now + milliseconds(steadyFor)) == canReceive);
}

BOOST_AUTO_TEST_CASE(An_upstream_with_pauses_does_not_flap,
                     *boost::unit_test::label("policy"))
{
  UpstreamHealth health;
  health.OnSent(kStart);
  health.OnProgress(true, kStart);
  int changes = 0;
  bool before = true;
  for (int at = 50; at < 60000; at += 50) {
    TimePoint now = kStart + milliseconds(at);
    if (at % 600 == 0) {
      health.OnProgress(false, now);
    }
    bool canReceive = health.CanReceive(now);
    changes += canReceive != before ? 1 : 0;
    before = canReceive;
  }
  BOOST_TEST(changes == 1);
}

BOOST_AUTO_TEST_CASE(A_failed_upstream_gets_one_probe_after_a_growing_pause,
                     *boost::unit_test::label("policy"))
{
  UpstreamHealth health;
  TimePoint now = kStart;
  for (int seconds : { 2, 4, 8, 16, 16 }) {
    health.OnSent(now);
    health.OnEnd(false, true, now);
    BOOST_TEST(!health.CanReceive(now + std::chrono::seconds(seconds) -
                                  milliseconds(1)));
    now += std::chrono::seconds(seconds);
    BOOST_TEST(health.CanReceive(now));
  }
  health.OnSent(now);
  BOOST_TEST(!health.CanReceive(now));
  health.OnProgress(true, now + milliseconds(100));
  health.OnEnd(true, false, now + milliseconds(200));
  BOOST_TEST(health.CanReceive(now + milliseconds(200)));
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(A_length_is_estimated_from_history_or_the_request,
                     data::make({ 0, 4, 5, 50 }) ^
                       data::make({ 2048.0, 2048.0, 40.0, 40.0 }),
                     samples,
                     expected)
{
  LengthEstimates lengths;
  for (int i = 0; i < samples; ++i) {
    lengths.Learn("model", "a", 500, 4096, 40);
  }
  BOOST_TEST(lengths.Estimate("model", "a", 500, 4096) == expected,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(lengths.Estimate("model", "a", 500, 30) <= 30);
}

BOOST_AUTO_TEST_CASE(One_straggler_hardly_shifts_an_estimate,
                     *boost::unit_test::label("policy"))
{
  LengthEstimates lengths;
  for (int i = 0; i < 20; ++i) {
    lengths.Learn("model", "a", 500, 4096, 40);
  }
  lengths.Learn("model", "a", 500, 4096, 3000);
  BOOST_TEST(lengths.Estimate("model", "a", 500, 4096) < 60);
}
