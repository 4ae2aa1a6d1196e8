// A machine that is suspended while its process leads. CLOCK_MONOTONIC stands
// still meanwhile, CLOCK_BOOTTIME and CLOCK_REALTIME don't.
#define BOOST_TEST_MODULE suspended_machine
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/tanagerstall_leader_tasks.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <dlfcn.h>
#include <filesystem>
#include <kj/async-io.h>
#include <kj/timer.h>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// For how long the machine was suspended so far.
std::atomic<std::chrono::seconds> gSuspended{ 0s };

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime)
{
  // NOLINTNEXTLINE(performance-no-int-to-ptr)
  static auto next = reinterpret_cast<int (*)(clockid_t, timespec*)>(
    dlsym(RTLD_NEXT, "clock_gettime"));
  int result = next(aClock, aTime);
  if (result == 0 && (aClock == CLOCK_BOOTTIME || aClock == CLOCK_REALTIME)) {
    aTime->tv_sec += gSuspended.load().count();
  }
  return result;
}

namespace {

void
Suspend(std::chrono::seconds aFor)
{
  gSuspended = gSuspended.load() + aFor;
}

/// The leader of a cluster of one member, which confirms its lease by itself.
class SuspendedLeader
{
public:
  /// `aOnReport` is called when the leader may report usage and is about to.
  explicit SuspendedLeader(std::function<void(const CallPermit&)> aOnReport)
    : onReport_(std::move(aOnReport))
    , member_(loop_, clock_, MakeMemberSettings())
    , tasks_({ "control-1", kLease }, MakeHooks(), loop_, clock_, member_)
  {
  }

  ~SuspendedLeader() { std::filesystem::remove_all(folder_); }

  SuspendedLeader(const SuspendedLeader&) = delete;
  SuspendedLeader& operator=(const SuspendedLeader&) = delete;

  /// Runs until the leader has reported usage once.
  void Run()
  {
    member_.Start({ "127.0.0.1", 1 }, { state_.AsStateMachine() });
    auto ticks = Tick().eagerlyEvaluate(nullptr);
    threads_.Spawn([this](Fiber& aFiber) { tasks_.Run(aFiber); });
    loop_.Run();
    threads_.Stop();
  }

private:
  static constexpr Duration kLease = 1s;

  MemberSettings MakeMemberSettings() const
  {
    MemberSettings settings;
    settings.name_ = "control-1";
    settings.dataFolder_ = folder_;
    settings.memberAddress_ = { "127.0.0.1", 0 };
    settings.isBootstrap_ = true;
    return settings;
  }

  LeaderTaskHooks MakeHooks()
  {
    LeaderTaskHooks hooks;
    hooks.sumUsage_ = [](std::int64_t aWindow) {
      return UsageWindow{ aWindow, {} };
    };
    hooks.readServices_ = [] { return std::vector<PlacementInput>(); };
    hooks.cloud_.reportUsage_ =
      [this](Fiber&, const auto&, const auto&, const auto& aPermit) {
        if (!aPermit.canSend_()) {
          return CloudCalls::Result(CloudAnswer::TryLater);
        }
        onReport_(aPermit);
        loop_.Stop();
        return CloudCalls::Result(CloudAnswer::Accepted);
      };
    return hooks;
  }

  kj::Promise<void> Tick()
  {
    return loop_.Io()
      .provider->getTimer()
      .afterDelay(50 * kj::MILLISECONDS)
      .then([this] {
        tasks_.Observe(clock_.Now());
        return Tick();
      });
  }

  std::function<void(const CallPermit&)> onReport_;
  std::filesystem::path folder_ =
    std::filesystem::temp_directory_path() / ("tanagerstall-" + RandomHex(8));
  Clock clock_;
  ControlLoop loop_;
  FleetState state_;
  RaftMember member_;
  LeaderTasks tasks_;
  TrafficThreads threads_{ 1 };
};

struct SuspensionCase
{
  const char* name_;
  std::chrono::seconds suspended_;
  bool canAct_;
};

std::ostream&
operator<<(std::ostream& aOut, const SuspensionCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<SuspensionCase> kSuspensionCases{
  { "not suspended", 0s, true },
  { "for longer than a confirmation is valid", 2s, false },
  { "until a successor acts", 10s, false },
};

} // namespace

// Guards against leases and timeouts that stand still while the machine is
// suspended.
BOOST_AUTO_TEST_CASE(The_clock_counts_the_time_of_a_suspension)
{
  Clock clock;
  TimePoint before = clock.Now();
  Suspend(5s);
  BOOST_TEST((clock.Now() - before >= 5s));
}

// Guards against a leader that wakes from a suspension and acts beside its
// successor, since its lease still seems valid.
BOOST_DATA_TEST_CASE(A_leader_that_was_suspended_no_longer_acts,
                     data::make(kSuspensionCases))
{
  std::optional<bool> canAct;
  bool hasTimeLeft = false;
  SuspendedLeader leader([&](const CallPermit& aPermit) {
    Suspend(sample.suspended_);
    canAct = aPermit.canSend_();
    hasTimeLeft = aPermit.timeLeft_() > 0s;
  });
  leader.Run();
  BOOST_REQUIRE(canAct.has_value());
  BOOST_TEST(*canAct == sample.canAct_);
  BOOST_TEST(hasTimeLeft == sample.canAct_);
}
