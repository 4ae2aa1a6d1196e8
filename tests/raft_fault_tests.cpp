// Guards against lost acknowledged writes, stale reads and groups that stay
// unavailable: injects every fault and every pair of faults at every step of
// replication and of a membership change, and random faults in long runs.
#define BOOST_TEST_MODULE raft_faults
#include "tanagerstall_raft_faults.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace tanagerstall;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace tanagerstall {

std::ostream&
operator<<(std::ostream& aOut, Step aStep)
{
  constexpr const char* kNames[] = { "propose",      "append",   "sync",
                                     "replicate",    "commit",   "apply",
                                     "answer",       "snapshot", "install",
                                     "member change" };
  return aOut << kNames[static_cast<int>(aStep)];
}

} // namespace tanagerstall

namespace {

const std::vector<Step> kSteps{ Step::Propose, Step::Append,
                                Step::Sync,    Step::Replicate,
                                Step::Commit,  Step::Apply,
                                Step::Answer,  Step::Snapshot,
                                Step::Install, Step::MemberChange };

const std::vector<Fault> kFaults{ Fault::Kill,          Fault::Freeze,
                                  Fault::BlockBoth,     Fault::BlockIncoming,
                                  Fault::BlockOutgoing, Fault::Loss,
                                  Fault::Duplication,   Fault::Reordering,
                                  Fault::DiskLoss,      Fault::TornWrite,
                                  Fault::FailedSync };

/// Injects the faults when a step is reached while the group replaces its third
/// member, ends them and checks that no invariant is violated and that the
/// group works again.
void
RunFaultCase(Step aStep, const std::vector<Fault>& aFaults, std::uint64_t aSeed)
{
  Simulation sim(aSeed, 3, SmallSnapshots());
  FaultInjector faults(sim);
  sim.Run(seconds(4));
  std::uint64_t hitsLeft = aSeed % 4;
  bool isInjected = false;
  sim.onStep_ = [&](SimulatedMember& aMember, Step aReached) {
    if (isInjected || aReached != aStep ||
        (aStep < Step::Snapshot && hitsLeft-- > 0)) {
      return;
    }
    isInjected = true;
    if (aFaults.size() > 1) {
      MemberKey other = aMember.key_ % 3 + 1;
      faults.Inject(sim.members_[other], aFaults[1]);
    }
    faults.InjectInCall(aMember, aFaults[0]);
  };
  sim.wanted_ = { 1, 2, 4 };
  sim.Start(4);
  sim.Run(seconds(4));
  BOOST_TEST(isInjected);
  faults.ClearFaults();
  bool isWorking = sim.HealAndCheck(seconds(8));
  for (const auto& violation : sim.checker_.violations_) {
    BOOST_ERROR(violation);
  }
  // Without two of three disks there is no quorum: the group can't work again,
  // but it must not return wrong results either.
  if (faults.LostDiskCount() < 2) {
    BOOST_TEST(isWorking);
  }
}

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("raft"))
BOOST_DATA_TEST_CASE(A_fault_at_a_step_loses_nothing,
                     data::make(kSteps) * data::make(kFaults) *
                       data::make({ 1, 2, 3, 4 }),
                     step,
                     fault,
                     seed)
{
  RunFaultCase(step, { fault }, seed);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("raft"))
BOOST_DATA_TEST_CASE(Two_faults_at_a_step_lose_nothing,
                     data::make(kSteps) * data::make(kFaults) *
                       data::make(kFaults),
                     step,
                     first,
                     second)
{
  RunFaultCase(step, { first, second }, 5);
}

// Guards against an acknowledged write that is on one disk only: the process of
// the other member ended before its sync, and the next one confirmed the entry
// that it found.
BOOST_AUTO_TEST_CASE(A_write_found_by_a_restarted_process_survives_power_loss,
                     *boost::unit_test::label("raft"))
{
  struct ProcessEnd
  {};
  Simulation sim(1, 3, SmallSnapshots());
  sim.hasClients_ = false;
  sim.Run(seconds(4));
  auto& leader = *sim.LeaderOfNewestTerm();
  auto& follower = sim.members_[leader.key_ % 3 + 1];
  MemberKey absent = follower.key_ % 3 + 1;
  sim.BlockLinks(absent, true, true);
  sim.onStep_ = [&](SimulatedMember& aMember, Step aStep) {
    if (&aMember == &follower && aStep == Step::Sync) {
      throw ProcessEnd();
    }
  };
  sim.Write(leader, "k");
  BOOST_CHECK_THROW(sim.Run(seconds(1)), ProcessEnd);
  sim.onStep_ = [](SimulatedMember&, Step) {};
  sim.KillProcess(follower.key_);
  sim.Start(follower.key_);
  sim.Run(milliseconds(500));
  BOOST_TEST_REQUIRE(sim.acknowledged_ == 1U);
  sim.Kill(leader.key_, { false, true });
  for (MemberKey key : { follower.key_, absent }) {
    sim.Kill(key, { false, false });
    sim.Start(key);
  }
  BOOST_TEST(sim.HealAndCheck(seconds(8)));
  for (const auto& violation : sim.checker_.violations_) {
    BOOST_ERROR(violation);
  }
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("raft"))
BOOST_DATA_TEST_CASE(Long_runs_under_random_faults_lose_nothing,
                     data::xrange(1, 41),
                     seed)
{
  Simulation sim(static_cast<std::uint64_t>(seed), 5, SmallSnapshots());
  std::mt19937_64 random(static_cast<std::uint64_t>(seed) * 1000);
  FaultInjector faults(sim);
  sim.Run(seconds(3));
  for (int round = 0; round < 12; ++round) {
    for (int i = 0; i < 2; ++i) {
      auto at =
        std::next(sim.members_.begin(),
                  static_cast<std::ptrdiff_t>(random() % sim.members_.size()));
      auto fault = kFaults[random() % kFaults.size()];
      bool isLast = fault == Fault::DiskLoss && faults.LostDiskCount() > 0;
      if (at->second.group_ && !isLast) {
        faults.Inject(at->second, fault);
      }
    }
    sim.Run(seconds(2));
    faults.ClearFaults();
    sim.Run(seconds(1));
  }
  BOOST_TEST(sim.HealAndCheck(seconds(8)));
  for (const auto& violation : sim.checker_.violations_) {
    BOOST_ERROR(violation);
  }
}
