// Tests that fibers wait in the dispatcher for a slot and can be cancelled.
#define BOOST_TEST_MODULE dispatcher
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace tanagerstall;

namespace {

using Result = tl::expected<Dispatch, Refusal>;

struct Fixture
{
  Fixture()
  {
    UpstreamInfo info;
    info.id_ = "u1";
    info.service_ = "model";
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->upstreams_["model"].push_back({ info, TimePoint::max() });
    snapshot_ = snapshot;
  }
  ~Fixture() { threads_.Stop(); }

  std::future<Result> Submit(AcquireCancel* aCancel = nullptr)
  {
    auto promise = std::make_shared<std::promise<Result>>();
    threads_.Spawn([this, promise, aCancel](Fiber& aFiber) {
      RequestTraits traits;
      traits.service_ = "model";
      traits.maxTokens_ = 1000;
      promise->set_value(dispatcher_.Acquire(aFiber, traits, aCancel));
    });
    return promise->get_future();
  }

  /// Uses all slots of the upstream, then submits one more request.
  std::future<Result> SubmitWhenFull(AcquireCancel* aCancel)
  {
    constexpr std::size_t kSlots = 2;
    while (held_.size() < kSlots) {
      held_.push_back(*Submit().get());
    }
    return Submit(aCancel);
  }

  PausedClock clock_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  Dispatcher dispatcher_{ clock_.View(), [this] { return snapshot_; } };
  TrafficThreads threads_{ 2 };
  std::vector<Dispatch> held_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(A_waiting_fiber_gets_the_released_slot,
                        Fixture,
                        *boost::unit_test::label("policy"))
{
  auto waiting = SubmitWhenFull(nullptr);
  dispatcher_.Release(held_.front(), AttemptEnd::Completed);
  auto result = waiting.get();
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->upstream_.id_ == "u1");
  BOOST_TEST(result->attempt_ > held_.back().attempt_);
}

BOOST_FIXTURE_TEST_CASE(A_watch_ends_without_a_move_after_the_first_part,
                        Fixture,
                        *boost::unit_test::label("policy"))
{
  auto watched = Submit().get();
  dispatcher_.OnProgress(*watched, 1);
  std::promise<void> started;
  bool hasMoved = false;
  threads_.Spawn([&](Fiber& aFiber) {
    dispatcher_.WatchFirstPart(aFiber, *watched, [&] { hasMoved = true; });
    started.set_value();
  });
  started.get_future().wait();
  threads_.Stop();
  BOOST_TEST(!hasMoved);
}

BOOST_FIXTURE_TEST_CASE(A_stalled_attempt_moves_to_another_upstream,
                        Fixture,
                        *boost::unit_test::label("policy"))
{
  auto more = std::make_shared<RoutingSnapshot>(*snapshot_);
  UpstreamInfo other = *more->upstreams_["model"].front().info_;
  other.id_ = "u2";
  auto watched = Submit().get();
  more->upstreams_["model"].push_back({ other, TimePoint::max() });
  snapshot_ = more;
  std::promise<void> moved;
  threads_.Spawn([&](Fiber& aFiber) {
    dispatcher_.WatchFirstPart(aFiber, *watched, [&] { moved.set_value(); });
  });
  moved.get_future().wait();
  dispatcher_.Release(*watched, AttemptEnd::Failed);
  BOOST_TEST(Submit().get()->upstream_.id_ == "u2");
}

BOOST_FIXTURE_TEST_CASE(A_disconnected_caller_leaves_the_queue,
                        Fixture,
                        *boost::unit_test::label("policy"))
{
  AcquireCancel cancel;
  auto waiting = SubmitWhenFull(&cancel);
  cancel.Cancel();
  cancel.Cancel();
  BOOST_TEST(!waiting.get().has_value());
  dispatcher_.Release(held_.front(), AttemptEnd::Completed);
  BOOST_TEST(Submit().get().has_value());
}
