// Tests of the scheduler with explicit times.
#define BOOST_TEST_MODULE scheduler
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace tanagerstall;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

struct Fixture
{
  explicit Fixture(PolicyOptions aOptions = {})
    : scheduler_(std::move(aOptions))
  {
    snapshot_.entries_.resize(1);
  }

  void AddUpstream(const std::string& aId,
                   std::uint32_t aCapacity,
                   const std::string& aRegion = "one",
                   double aReportedLoad = -1)
  {
    UpstreamInfo info;
    info.id_ = aId;
    info.service_ = "model";
    info.region_ = aRegion;
    info.capacity_ = aCapacity;
    info.reportedLoad_ = aReportedLoad;
    snapshot_.upstreams_["model"].push_back({ info, TimePoint::max() });
  }

  std::uint64_t Submit(const std::string& aOrganisation,
                       std::uint64_t aMaxTokens,
                       Duration aDeadline = std::chrono::hours(1))
  {
    RequestTraits traits;
    traits.service_ = "model";
    traits.organisation_ = aOrganisation;
    traits.maxTokens_ = aMaxTokens;
    traits.prefixHash_ = prefix_;
    traits.deadline_ = now_ + aDeadline;
    traits.avoid_ = avoid_;
    return scheduler_.Enqueue(std::move(traits), now_);
  }

  /// Runs the scheduler and records what was started and what was refused.
  void Decide()
  {
    for (const auto& decision : scheduler_.Decide(snapshot_, now_)) {
      if (decision.result_) {
        started_[decision.ticket_] = *decision.result_;
      } else {
        refused_[decision.ticket_] = decision.result_.error();
      }
    }
  }

  std::string UpstreamOf(std::uint64_t aTicket)
  {
    auto it = started_.find(aTicket);
    return it == started_.end() ? "" : it->second.upstream_.id_;
  }

  RoutingSnapshot snapshot_;
  Scheduler scheduler_;
  TimePoint now_ = kStart;
  std::uint64_t prefix_ = 0;
  std::vector<std::string> avoid_;
  std::map<std::uint64_t, Dispatch> started_;
  std::map<std::uint64_t, Refusal> refused_;
};

constexpr std::uint64_t kShort = 100;
constexpr std::uint64_t kLong = 3000;

/// Whether short work starts at once while long work is backlogged.
bool
StartsShortBehindLong(const PolicyOptions& aOptions)
{
  Fixture fixture(aOptions);
  fixture.AddUpstream("u1", 8);
  for (int i = 0; i < 60; ++i) {
    fixture.Submit("a", kLong);
  }
  fixture.Decide();
  auto ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  return fixture.started_.contains(ticket);
}

/// How many requests of a large organisation end before the request of a small
/// organisation that arrived last starts.
int
CountEndedBeforeSmall(const PolicyOptions& aOptions)
{
  Fixture fixture(aOptions);
  fixture.AddUpstream("u1", 1);
  for (int i = 0; i < 50; ++i) {
    fixture.Submit("large", kLong);
  }
  fixture.Decide();
  auto ticket = fixture.Submit("small", kLong);
  int before = 0;
  while (!fixture.started_.contains(ticket) && before < 100) {
    ++before;
    Dispatch first = fixture.started_.begin()->second;
    fixture.started_.erase(fixture.started_.begin());
    fixture.now_ += seconds(3);
    fixture.scheduler_.OnProgress(first.attempt_, 10, fixture.now_);
    fixture.scheduler_.Finish(
      first.attempt_, AttemptEnd::Completed, fixture.now_);
    fixture.Decide();
  }
  return before;
}

} // namespace

BOOST_AUTO_TEST_CASE(Without_an_upstream_the_request_is_refused,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  auto ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  BOOST_TEST(
    (fixture.refused_.at(ticket).reason_ == RefusalReason::NoUpstream));
  BOOST_TEST(fixture.refused_.at(ticket).retryAfter_.count() > 0);
}

BOOST_AUTO_TEST_CASE(An_upstream_with_expired_presence_gets_no_requests,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("gone", 8);
  fixture.AddUpstream("here", 8);
  fixture.snapshot_.upstreams_["model"][0].presentUntil_ = kStart;
  for (int i = 0; i < 6; ++i) {
    auto ticket = fixture.Submit("a", kShort);
    fixture.Decide();
    BOOST_TEST(fixture.UpstreamOf(ticket) == "here");
  }
}

BOOST_AUTO_TEST_CASE(A_retry_avoids_tried_upstreams_unless_no_other_exists,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 8);
  fixture.AddUpstream("u2", 8);
  fixture.avoid_ = { "u1" };
  auto ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  BOOST_TEST(fixture.UpstreamOf(ticket) == "u2");
  fixture.avoid_ = { "u1", "u2" };
  ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  BOOST_TEST(fixture.UpstreamOf(ticket) != "");
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(Requests_wait_in_the_entry_once_its_share_is_used,
                     data::make({ 1, 2, 8 }) ^ data::make({ 12, 6, 2 }),
                     entries,
                     expected)
{
  Fixture fixture;
  fixture.snapshot_.entries_.resize(static_cast<std::size_t>(entries));
  fixture.AddUpstream("u1", 8);
  for (int i = 0; i < 100; ++i) {
    fixture.Submit("a", kShort);
  }
  fixture.Decide();
  BOOST_TEST(fixture.started_.size() == static_cast<std::size_t>(expected));
}

BOOST_AUTO_TEST_CASE(Short_work_is_not_held_up_behind_long_work,
                     *boost::unit_test::label("policy"))
{
  BOOST_TEST(StartsShortBehindLong({}));
  PolicyOptions without;
  without.hasShortReservation_ = false;
  BOOST_TEST(!StartsShortBehindLong(without));
}

BOOST_AUTO_TEST_CASE(A_large_backlog_does_not_starve_a_small_organisation,
                     *boost::unit_test::label("policy"))
{
  BOOST_TEST(CountEndedBeforeSmall({}) <= 3);
  PolicyOptions without;
  without.hasFairQueueing_ = false;
  BOOST_TEST(CountEndedBeforeSmall(without) > 10);
}

BOOST_AUTO_TEST_CASE(Long_work_is_not_starved_by_short_work,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 8);
  for (int i = 0; i < 200; ++i) {
    fixture.Submit("a", kShort);
  }
  auto ticket = fixture.Submit("a", kLong);
  int ended = 0;
  fixture.Decide();
  while (!fixture.started_.contains(ticket) && ended < 200) {
    Dispatch first = fixture.started_.begin()->second;
    fixture.started_.erase(fixture.started_.begin());
    fixture.scheduler_.Finish(
      first.attempt_, AttemptEnd::Cancelled, fixture.now_);
    fixture.Decide();
    ++ended;
  }
  BOOST_TEST(ended < 200);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(A_request_is_refused_once_it_cannot_meet_its_deadline,
                     data::make({ 100, 5000, 61000, 61000 }) ^
                       data::make({ 99, 4000, 100, 60000 }) ^
                       data::make({ true, true, false, true }),
                     deadline,
                     waited,
                     isRefused)
{
  // The request takes at least 1.5 s: half of 150 tokens at 20 ms each.
  Fixture fixture;
  fixture.AddUpstream("u1", 1);
  for (int i = 0; i < 20; ++i) {
    fixture.Submit("a", 150);
  }
  fixture.Decide();
  auto ticket = fixture.Submit("a", 150, milliseconds(deadline));
  fixture.now_ += milliseconds(waited);
  fixture.Decide();
  BOOST_TEST(fixture.refused_.contains(ticket) == isRefused);
  BOOST_TEST(!fixture.started_.contains(ticket));
}

BOOST_AUTO_TEST_CASE(A_refused_request_is_never_started,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 1);
  for (int i = 0; i < 30; ++i) {
    fixture.Submit("a", kShort, seconds(2 + i % 5));
  }
  for (int step = 0; step < 100; ++step) {
    fixture.Decide();
    fixture.now_ += milliseconds(100);
    if (step % 10 == 0 && !fixture.started_.empty()) {
      auto attempt = fixture.started_.rbegin()->second.attempt_;
      fixture.scheduler_.Finish(attempt, AttemptEnd::Completed, fixture.now_);
    }
  }
  for (const auto& [ticket, refusal] : fixture.refused_) {
    BOOST_TEST(!fixture.started_.contains(ticket));
    BOOST_TEST(refusal.retryAfter_.count() > 0);
  }
  BOOST_TEST(fixture.refused_.size() + fixture.started_.size() == 30U);
}

BOOST_AUTO_TEST_CASE(A_cancelled_request_leaves_the_queue,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 1);
  for (int i = 0; i < 10; ++i) {
    fixture.Submit("a", kShort);
  }
  fixture.Decide();
  auto waiting = fixture.scheduler_.WaitingCount();
  BOOST_REQUIRE(waiting > 0U);
  fixture.scheduler_.Cancel(10);
  fixture.scheduler_.Cancel(10);
  BOOST_TEST(fixture.scheduler_.WaitingCount() == waiting - 1);
  fixture.now_ += std::chrono::hours(2);
  fixture.Decide();
  BOOST_TEST(!fixture.refused_.contains(10));
}

BOOST_AUTO_TEST_CASE(
  A_stalled_upstream_gets_no_requests_until_it_makes_progress,
  *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 8);
  fixture.AddUpstream("u2", 8);
  fixture.avoid_ = { "u2" };
  auto first = fixture.Submit("a", kShort);
  fixture.Decide();
  fixture.avoid_.clear();
  auto attempt = fixture.started_.at(first).attempt_;
  fixture.scheduler_.OnProgress(attempt, 1, fixture.now_);
  fixture.now_ += milliseconds(700);
  for (int i = 0; i < 4; ++i) {
    auto ticket = fixture.Submit("a", kShort);
    fixture.Decide();
    BOOST_TEST(fixture.UpstreamOf(ticket) == "u2");
  }
  for (int i = 0; i < 12; ++i) {
    fixture.now_ += milliseconds(50);
    fixture.scheduler_.OnProgress(attempt, 1, fixture.now_);
  }
  fixture.avoid_ = { "u2" };
  auto ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  BOOST_TEST(fixture.UpstreamOf(ticket) == "u1");
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("policy"))
BOOST_DATA_TEST_CASE(Requests_with_a_common_prefix_never_overload_one_upstream,
                     data::make({ 4, 40 }) ^ data::make({ 4, 24 }),
                     requests,
                     mostAtOne)
{
  Fixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.AddUpstream("u" + std::to_string(i), 16);
  }
  fixture.prefix_ = 7;
  std::map<std::string, int> counts;
  for (int i = 0; i < requests; ++i) {
    auto ticket = fixture.Submit("a", kShort);
    fixture.Decide();
    ++counts[fixture.UpstreamOf(ticket)];
  }
  int most = 0;
  for (const auto& [id, count] : counts) {
    most = std::max(most, count);
  }
  BOOST_TEST(most <= mostAtOne);
}

BOOST_AUTO_TEST_CASE(The_own_region_is_preferred_while_it_has_capacity,
                     *boost::unit_test::label("policy"))
{
  PolicyOptions options;
  options.region_ = "one";
  Fixture fixture(options);
  fixture.AddUpstream("near", 2, "one");
  fixture.AddUpstream("far", 2, "two");
  std::vector<std::string> order;
  for (int i = 0; i < 4; ++i) {
    auto ticket = fixture.Submit("a", kShort);
    fixture.Decide();
    order.push_back(fixture.UpstreamOf(ticket));
  }
  BOOST_TEST(order.front() == "near");
  BOOST_TEST(std::count(order.begin(), order.end(), "far") > 0);
}

BOOST_AUTO_TEST_CASE(Moves_need_another_upstream_and_a_budget,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 8);
  auto ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  auto attempt = fixture.started_.at(ticket).attempt_;
  BOOST_TEST(
    !fixture.scheduler_.TakeMove(attempt, fixture.snapshot_, fixture.now_));
  fixture.AddUpstream("u2", 8);
  int moves = 0;
  while (moves < 100 && fixture.scheduler_.TakeMove(
                          attempt, fixture.snapshot_, fixture.now_)) {
    ++moves;
  }
  BOOST_TEST(moves == 10);
  BOOST_TEST(!fixture.scheduler_.TakeRetry());
}

BOOST_AUTO_TEST_CASE(Only_attempts_without_a_first_token_time_out_early,
                     *boost::unit_test::label("policy"))
{
  Fixture fixture;
  fixture.AddUpstream("u1", 8);
  auto ticket = fixture.Submit("a", kShort);
  fixture.Decide();
  auto attempt = fixture.started_.at(ticket).attempt_;
  BOOST_TEST((fixture.scheduler_.ProgressTimeout(attempt) <= seconds(4)));
  fixture.scheduler_.OnProgress(attempt, 1, fixture.now_);
  BOOST_TEST((fixture.scheduler_.ProgressTimeout(attempt) == seconds(10)));
}

BOOST_AUTO_TEST_CASE(Load_reports_change_no_decision,
                     *boost::unit_test::label("policy"))
{
  std::vector<std::vector<std::string>> orders;
  for (double report : { -1.0, 0.0, 1.0, 1e9 }) {
    Fixture fixture;
    fixture.AddUpstream("u1", 8, "one", report);
    fixture.AddUpstream("u2", 8);
    std::vector<std::string> order;
    for (int i = 0; i < 8; ++i) {
      auto ticket = fixture.Submit("a", kShort);
      fixture.Decide();
      order.push_back(fixture.UpstreamOf(ticket));
    }
    orders.push_back(order);
  }
  for (const auto& order : orders) {
    BOOST_TEST(order == orders.front(), boost::test_tools::per_element());
  }
}
