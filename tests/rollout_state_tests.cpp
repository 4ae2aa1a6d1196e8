// The replicated record of roll-outs must give every member the same answer to
// each order, whatever the sequence in which orders and ends are applied.
#define BOOST_TEST_MODULE rollout_state
#include "tanagerstall/internal/tanagerstall_fleet_wire.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr WallTime kStart{ 1'000'000s };

/// One command and what becomes of it.
struct Step
{
  RolloutOrder order_;
  /// The reply to the order.
  RolloutReply reply_ = RolloutReply::Accepted;
  /// If set, the command ends the roll-out `ends_` instead.
  std::uint64_t ends_ = 0;
  RolloutState state_ = RolloutState::Running;
};

RolloutOrder
Order(const char* aVersion,
      std::chrono::seconds aAfter = 0s,
      std::chrono::seconds aDuration = 12s,
      const char* aService = "s")
{
  return { aService, aVersion, aDuration, kStart + aAfter };
}

Step
End(std::uint64_t aId, RolloutState aState)
{
  return { {}, {}, aId, aState };
}

struct Case
{
  const char* name_;
  std::vector<Step> steps_;
  /// The latest roll-out of service "s".
  std::uint64_t id_;
  const char* version_;
  RolloutState state_;
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.name_;
}

constexpr auto kAccepted = RolloutReply::Accepted;
constexpr auto kRepeated = RolloutReply::Repeated;
constexpr auto kConflict = RolloutReply::Conflict;
constexpr auto kInForce = RolloutReply::InForce;
constexpr auto kOutdated = RolloutReply::Outdated;
constexpr auto kRunning = RolloutState::Running;
constexpr auto kCompleted = RolloutState::Completed;
constexpr auto kRolledBack = RolloutState::RolledBack;

const std::vector<Case> kCases{
  { "one order", { { Order("v2") } }, 1, "v2", kRunning },
  { "two versions at once",
    { { Order("v2") }, { Order("v3"), kConflict } },
    1,
    "v2",
    kRunning },
  { "another duration",
    { { Order("v2") }, { Order("v2", 1s, 13s), kConflict } },
    1,
    "v2",
    kRunning },
  { "another service",
    { { Order("v2") }, { Order("v3", 0s, 12s, "other") } },
    1,
    "v2",
    kRunning },
  { "the same again while it runs, even late",
    { { Order("v2") },
      { Order("v2", 1s), kRepeated },
      { Order("v2", 60s), kRepeated } },
    1,
    "v2",
    kRunning },
  { "the same again after completion",
    { { Order("v2") },
      End(1, kCompleted),
      { Order("v2", 20s), kRepeated },
      { Order("v2", 21s), kInForce } },
    1,
    "v2",
    kCompleted },
  { "the same again after the return to the old version",
    { { Order("v2") },
      End(1, kRolledBack),
      { Order("v2", 20s), kRepeated },
      { Order("v2", 21s) } },
    2,
    "v2",
    kRunning },
  { "the order that was received first is applied last",
    { { Order("v2", 20s) },
      End(1, kRolledBack),
      { Order("v2", 0s), kRepeated } },
    1,
    "v2",
    kRolledBack },
  { "a much older order of the same version is applied last",
    { { Order("v2", 21s) },
      End(1, kRolledBack),
      { Order("v2", 0s), kOutdated } },
    1,
    "v2",
    kRolledBack },
  { "a much older order of another version is applied last",
    { { Order("v2", 21s) },
      End(1, kCompleted),
      { Order("v3", 0s), kOutdated } },
    1,
    "v2",
    kCompleted },
  { "a somewhat older order of another version is applied last",
    { { Order("v2", 20s) }, End(1, kCompleted), { Order("v3", 0s) } },
    2,
    "v3",
    kRunning },
  { "the version in force with another duration",
    { { Order("v2") }, End(1, kCompleted), { Order("v2", 1s, 13s), kInForce } },
    1,
    "v2",
    kCompleted },
  { "a further version after completion",
    { { Order("v2") }, End(1, kCompleted), { Order("v3", 1s) } },
    2,
    "v3",
    kRunning },
  { "back to the version before",
    { { Order("v2") },
      End(1, kCompleted),
      { Order("v3", 20s) },
      End(2, kCompleted),
      { Order("v2", 40s) } },
    3,
    "v2",
    kRunning },
  { "an end of an earlier roll-out",
    { { Order("v2") },
      End(1, kRolledBack),
      { Order("v2", 30s) },
      End(1, kCompleted) },
    2,
    "v2",
    kRunning },
  { "a second end",
    { { Order("v2") }, End(1, kRolledBack), End(1, kCompleted) },
    1,
    "v2",
    kRolledBack },
  { "an end that leaves it running",
    { { Order("v2") }, End(1, kRunning) },
    1,
    "v2",
    kRunning },
  { "an end of an unknown roll-out",
    { { Order("v2") }, End(7, kCompleted) },
    1,
    "v2",
    kRunning },
};

/// Applies a step and checks the reply to an order.
void
Apply(const StateMachine& aMachine, const Step& aStep)
{
  if (aStep.ends_ != 0) {
    aMachine.apply_(
      FleetState::EncodeEndRollout(aStep.ends_, aStep.state_, kStart + 9s));
    return;
  }
  auto reply = FleetState::DecodeRolloutReply(
    aMachine.apply_(FleetState::EncodeStartRollout(aStep.order_)));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((*reply == aStep.reply_));
}

} // namespace

// Guards against a second roll-out beside a running one, an accepted order that
// is refused when it is repeated, and an end that hits another roll-out.
BOOST_DATA_TEST_CASE(Orders_and_ends_take_effect_in_the_order_of_the_log,
                     data::make(kCases))
{
  FleetState state;
  for (const auto& step : sample.steps_) {
    Apply(state.AsStateMachine(), step);
  }
  const Rollout* latest = state.FindRollout("s");
  BOOST_REQUIRE(latest != nullptr);
  BOOST_TEST(latest->id_ == sample.id_);
  BOOST_TEST(latest->order_.version_ == sample.version_);
  BOOST_TEST((latest->state_ == sample.state_));
  bool hasEnd = latest->endedAt_ == kStart + 9s;
  BOOST_TEST(hasEnd == (sample.state_ != kRunning));
}

// Guards against a member that answers differently after it was restored from a
// snapshot.
BOOST_DATA_TEST_CASE(A_snapshot_after_any_command_changes_no_result,
                     data::make(kCases))
{
  // Another roll-out at the end shows the last id.
  auto steps = sample.steps_;
  steps.push_back({ Order("v9", 90s, 12s, "last") });
  FleetState uninterrupted;
  for (const auto& step : steps) {
    Apply(uninterrupted.AsStateMachine(), step);
  }
  for (std::size_t cut = 0; cut <= steps.size(); ++cut) {
    FleetState first;
    FleetState restored;
    auto machine = first.AsStateMachine();
    for (std::size_t i = 0; i <= steps.size(); ++i) {
      if (i == cut) {
        restored.AsStateMachine().installSnapshot_(machine.takeSnapshot_());
        machine = restored.AsStateMachine();
      }
      if (i < steps.size()) {
        Apply(machine, steps[i]);
      }
    }
    auto read = FleetState::DecodeRollouts(
      machine.query_(FleetState::EncodeQuery(FleetQuery::Rollouts)));
    BOOST_TEST((read == uninterrupted.Rollouts()));
    BOOST_TEST(read.at("s").id_ == sample.id_);
    BOOST_TEST((read.at("s").state_ == sample.state_));
  }
}

// Guards against a member that can't start from a snapshot of an earlier build,
// which has neither roll-outs nor a last id.
BOOST_AUTO_TEST_CASE(A_snapshot_without_rollouts_is_restored)
{
  capnp::MallocMessageBuilder message;
  auto snapshot = message.initRoot<wire::FleetSnapshot>();
  snapshot.setNumber(3);
  snapshot.setDocument(ToData(ViewOf("d")));
  FleetState state;
  state.AsStateMachine().apply_(FleetState::EncodeStartRollout(Order("v2")));
  state.AsStateMachine().installSnapshot_(Flatten(message));
  BOOST_TEST((NumberOf(state.Current()) == 3U));
  BOOST_TEST(state.Rollouts().empty());
  Apply(state.AsStateMachine(), { Order("v3") });
  BOOST_TEST(state.FindRollout("s")->id_ == 1U);
}

// Guards against queries that lack the declaration or the roll-outs, and
// against a copy of the whole declaration with every query of roll-outs.
BOOST_AUTO_TEST_CASE(A_query_returns_what_it_asks_for)
{
  FleetState state;
  auto machine = state.AsStateMachine();
  machine.apply_(FleetState::EncodeDeclare({ 4, "document" }));
  machine.apply_(FleetState::EncodeStartRollout(Order("v2")));
  auto all = machine.query_(FleetState::EncodeQuery(FleetQuery::All));
  BOOST_TEST(FleetState::DecodeDeclaration(all)->document_ == "document");
  BOOST_TEST((FleetState::DecodeRollouts(all) == state.Rollouts()));
  auto some = machine.query_(FleetState::EncodeQuery(FleetQuery::Rollouts));
  BOOST_TEST(FleetState::DecodeDeclaration(some)->document_.empty());
  BOOST_TEST((FleetState::DecodeRollouts(some) == state.Rollouts()));
}

// Guards against roll-outs that begin or end without notice to entries, and
// against notices without a change.
BOOST_AUTO_TEST_CASE(The_change_hook_runs_once_for_each_change)
{
  int changes = 0;
  FleetState state([&changes] { ++changes; });
  auto machine = state.AsStateMachine();
  Apply(machine, { Order("v2") });
  Apply(machine, { Order("v2"), kRepeated });
  BOOST_TEST(changes == 1);
  Apply(machine, End(1, kCompleted));
  Apply(machine, End(1, kCompleted));
  BOOST_TEST(changes == 2);
  machine.installSnapshot_(machine.takeSnapshot_());
  BOOST_TEST(changes == 3);
}
