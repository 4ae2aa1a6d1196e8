// What the replicated state keeps of replicas that leave, and in how many
// proposals it gets there.
#define BOOST_TEST_MODULE replica_leaves
#include "tanagerstall/process/presence/tanagerstall_leave_recorder.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr WallTime kRecordedAt{ 1'000'000s };
constexpr TimePoint kStart{ 1h };

Replica
MakeReplica(std::uint64_t aRun, std::uint64_t aSequence, ReplicaState aState)
{
  Replica replica;
  replica.id_ = "r";
  replica.startTimeMs_ = aRun;
  replica.sequence_ = aSequence;
  replica.state_ = aState;
  return replica;
}

constexpr auto kDraining = ReplicaState::Draining;
constexpr auto kDeparted = ReplicaState::Departed;

struct LeaveCase
{
  const char* name_;
  std::vector<Replica> recorded_;
  Replica asked_;
  bool isHeld_;
};

std::ostream&
operator<<(std::ostream& aOut, const LeaveCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<LeaveCase> kLeaveCases{
  { "nothing recorded", {}, MakeReplica(1, 1, kDraining), false },
  { "the drain itself",
    { MakeReplica(1, 5, kDraining) },
    MakeReplica(1, 5, kDraining),
    true },
  { "an earlier announcement of the run",
    { MakeReplica(1, 5, kDraining) },
    MakeReplica(1, 4, ReplicaState::Ready),
    true },
  { "a departure after a drain",
    { MakeReplica(1, 5, kDraining) },
    MakeReplica(1, 0, kDeparted),
    false },
  { "a drain that arrives after the departure",
    { MakeReplica(1, 0, kDeparted), MakeReplica(1, 5, kDraining) },
    MakeReplica(1, 0, kDeparted),
    true },
  { "a later run",
    { MakeReplica(1, 0, kDeparted) },
    MakeReplica(2, 1, kDraining),
    false },
};

} // namespace

// Guards against a leave that a control process forgets when it restarts from
// its snapshot.
BOOST_DATA_TEST_CASE(A_snapshot_keeps_what_replicas_that_leave_said,
                     data::make(kLeaveCases))
{
  FleetState state;
  for (const auto& replica : sample.recorded_) {
    state.AsStateMachine().apply_(
      FleetState::EncodeLeaves({ replica }, kRecordedAt));
  }
  FleetState restored;
  restored.AsStateMachine().installSnapshot_(
    state.AsStateMachine().takeSnapshot_());
  BOOST_TEST(state.Leaves().Holds(sample.asked_) == sample.isHeld_);
  BOOST_TEST(restored.Leaves().Holds(sample.asked_) == sample.isHeld_);
  BOOST_TEST((restored.Leaves().All() == state.Leaves().All()));
}

// Guards against leaves that are kept for ever, and against one that is
// forgotten while an earlier announcement may still arrive.
BOOST_AUTO_TEST_CASE(A_leave_is_forgotten_long_after_it)
{
  ReplicaLeaves leaves;
  Replica other = MakeReplica(1, 1, kDeparted);
  other.id_ = "other";
  leaves.Record(MakeReplica(1, 1, kDeparted), kRecordedAt);
  leaves.Record(other, kRecordedAt + 60s);
  BOOST_TEST(leaves.All().size() == 2U);
  leaves.Record(other, kRecordedAt + 1h);
  BOOST_TEST(leaves.All().size() == 1U);
}

// Guards against a sync for each replica of a release, and against leaves that
// wait for a proposal that is never decided.
BOOST_AUTO_TEST_CASE(Leaves_that_arrive_during_a_proposal_share_the_next_one)
{
  std::vector<std::size_t> sizes;
  std::vector<LeaveRecorder::Done> pending;
  LeaveRecorder recorder(
    [&](const std::vector<Replica>& aReplicas, LeaveRecorder::Done aDone) {
      sizes.push_back(aReplicas.size());
      pending.push_back(std::move(aDone));
    });
  for (int i = 0; i < 4; ++i) {
    recorder.Record(MakeReplica(1, 1, kDraining), kStart);
  }
  BOOST_TEST(sizes == (std::vector<std::size_t>{ 1 }),
             boost::test_tools::per_element());
  pending.front()(kStart + 50ms);
  BOOST_TEST(sizes == (std::vector<std::size_t>{ 1, 3 }),
             boost::test_tools::per_element());
  recorder.Record(MakeReplica(1, 1, kDraining), kStart + 60ms);
  recorder.Tick(kStart + 1s);
  // An answer to the first one that comes once more starts nothing.
  pending.front()(kStart + 1s);
  BOOST_TEST(sizes == (std::vector<std::size_t>{ 1, 3, 1 }),
             boost::test_tools::per_element());
}
