// The replicas that the replica placement counts while a service has a
// roll-out, and after it.
#define BOOST_TEST_MODULE placement_input
#include "tanagerstall/process/tanagerstall_entry_loads.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint64_t kEndedAtMs = 1'700'000'012'000;
constexpr std::uint32_t kOldSlots = 64;
constexpr std::uint32_t kNewSlots = 16;

Replica
MakeReplica(const char* aVersion, std::uint32_t aSlots, std::uint64_t aStartMs)
{
  Replica replica;
  replica.id_ = aVersion + std::to_string(aStartMs);
  replica.service_ = "s";
  replica.failureDomain_ = "a";
  replica.startTimeMs_ = aStartMs;
  replica.slots_ = aSlots;
  replica.version_ = aVersion;
  return replica;
}

struct SideCase
{
  const char* name_;
  /// Not set without a roll-out.
  std::optional<RolloutState> state_;
  std::uint32_t old_;
  std::uint32_t new_;
  /// The replicas and the least slots that count; no input without replicas.
  std::uint32_t counted_;
  std::uint32_t slots_;
};

std::ostream&
operator<<(std::ostream& aOut, const SideCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<SideCase> kSides{
  { "no roll-out", std::nullopt, 3, 2, 5, kNewSlots },
  { "running", RolloutState::Running, 3, 2, 3, kOldSlots },
  { "running, new side only", RolloutState::Running, 0, 2, 0, 0 },
  { "completed", RolloutState::Completed, 3, 2, 2, kNewSlots },
  { "completed, old side only", RolloutState::Completed, 3, 0, 0, 0 },
  { "rolled back", RolloutState::RolledBack, 3, 2, 3, kOldSlots },
  { "rolled back, new side only", RolloutState::RolledBack, 0, 2, 0, 0 },
};

std::vector<PlacementInput>
InputsOf(const ReplicasByService& aPresent,
         const std::map<std::string, Rollout>& aRollouts)
{
  TrafficPlan plan;
  plan.services_["s"].name_ = "s";
  plan.services_["s"].scaling_ = ScalingBounds{ 1, 9, 10s, 0.0, {} };
  EntryLoads loads;
  return MakePlacementInputs(
    plan, aPresent, aRollouts, {}, loads, TimePoint{ 1h });
}

std::map<std::string, Rollout>
MakeRollouts(std::optional<RolloutState> aState)
{
  std::map<std::string, Rollout> rollouts;
  if (aState) {
    rollouts["s"] = {
      1,
      { "s", "v2", 12s, WallTime(std::chrono::milliseconds(kEndedAtMs) - 12s) },
      *aState,
      WallTime(std::chrono::milliseconds(kEndedAtMs))
    };
  }
  return rollouts;
}

} // namespace

// Guards against a placement that takes replicas without load for capacity, so
// that it orders too few replicas for the side that serves, or removes some.
BOOST_DATA_TEST_CASE(Only_replicas_of_the_serving_side_count,
                     data::make(kSides),
                     sample)
{
  ReplicasByService present;
  for (std::uint32_t i = 0; i < sample.old_; ++i) {
    present["s"].push_back(MakeReplica("v1", kOldSlots, kEndedAtMs - 1 - i));
  }
  for (std::uint32_t i = 0; i < sample.new_; ++i) {
    present["s"].push_back(MakeReplica("v2", kNewSlots, kEndedAtMs - 1 - i));
  }
  auto inputs = InputsOf(present, MakeRollouts(sample.state_));
  BOOST_TEST_REQUIRE(inputs.size() == (sample.counted_ > 0 ? 1U : 0U));
  if (!inputs.empty()) {
    BOOST_TEST(inputs[0].domains_["a"].onDemand_ == sample.counted_);
    BOOST_TEST(inputs[0].slots_ == sample.slots_);
  }
}

// Guards against a completed roll-out that keeps the replicas of later
// versions, which serve, out of the count.
BOOST_AUTO_TEST_CASE(A_replica_that_started_after_the_completion_counts)
{
  ReplicasByService present;
  present["s"] = { MakeReplica("v1", kOldSlots, kEndedAtMs - 1),
                   MakeReplica("v2", kNewSlots, kEndedAtMs - 1),
                   MakeReplica("v3", kOldSlots, kEndedAtMs) };
  auto inputs = InputsOf(present, MakeRollouts(RolloutState::Completed));
  BOOST_TEST_REQUIRE(inputs.size() == 1U);
  BOOST_TEST(inputs[0].domains_["a"].onDemand_ == 2U);
}
