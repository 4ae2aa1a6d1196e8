// Guards against checkers that detect nothing: violates each safety rule of
// Raft once and expects a detected violation, then runs the same events with
// the rule intact and expects none.
#define BOOST_TEST_MODULE raft_rule_violations
#include "tanagerstall_raft_simulation.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace tanagerstall;
using std::chrono::seconds;

namespace {

void
AllowElectionOnlyBy(Simulation& aSim, MemberKey aKey)
{
  for (auto& [key, member] : aSim.members_) {
    member.isElectionDisabled_ = key != aKey;
  }
}

/// Lets only one member start elections and runs until it leads, for at most
/// 20 s of simulated time. Returns whether it leads.
bool
RunUntilLeader(Simulation& aSim, MemberKey aKey)
{
  AllowElectionOnlyBy(aSim, aKey);
  for (int i = 0; i < 2000; ++i) {
    aSim.Run(milliseconds(10));
    auto& group = aSim.members_[aKey].group_;
    if (group && group->Core().Role() == RaftRole::Leader) {
      return true;
    }
  }
  return false;
}

void
VoteWithoutSync(Simulation& aSim, bool aIsBroken)
{
  aSim.members_[2].disk_.ignoresSyncs_ = aIsBroken;
  aSim.isDelivered_ = [](const RaftMessage& aMessage) {
    return aMessage.from_ != 3 && aMessage.to_ != 3 &&
           aMessage.kind_ != MessageKind::Append;
  };
  BOOST_TEST(RunUntilLeader(aSim, 1));
  aSim.Kill(2, {});
  aSim.Start(2);
  aSim.isDelivered_ = [](const RaftMessage& aMessage) {
    return aMessage.from_ != 1 && aMessage.to_ != 1;
  };
  BOOST_TEST(RunUntilLeader(aSim, 3));
}

void
StaleRead(Simulation& aSim, bool /*aIsBroken*/)
{
  BOOST_TEST(RunUntilLeader(aSim, 1));
  aSim.Write(aSim.members_[1], "x");
  aSim.Run(milliseconds(300));
  aSim.BlockLinks(1, true, true);
  aSim.members_[1].isFrozen_ = true;
  BOOST_TEST(RunUntilLeader(aSim, 2));
  aSim.Write(aSim.members_[2], "x");
  aSim.Run(milliseconds(300));
  BOOST_TEST(aSim.acknowledged_ == 2U);
  aSim.Read(aSim.members_[1], "x");
  aSim.Resume(1);
  aSim.Flush(1);
  aSim.Run(milliseconds(300));
  aSim.history_.Check(aSim.checker_.violations_);
}

void
EmptyDiskVotes(Simulation& aSim, bool aIsBroken)
{
  BOOST_TEST(RunUntilLeader(aSim, 1));
  aSim.Run(milliseconds(300));
  aSim.BlockLinks(3, true, true);
  aSim.Write(aSim.members_[1], "x");
  aSim.Run(milliseconds(300));
  BOOST_TEST(aSim.acknowledged_ == 1U);
  aSim.members_[1].isFrozen_ = true;
  aSim.Kill(2, { false, true });
  aSim.Start(aIsBroken ? 2 : 4);
  aSim.blockedLinks_.clear();
  BOOST_TEST(RunUntilLeader(aSim, 3) == aIsBroken);
}

void
EarlierTermByCount(Simulation& aSim, bool aIsBroken)
{
  BOOST_TEST(RunUntilLeader(aSim, 1));
  aSim.Run(seconds(1));
  aSim.isDelivered_ = [](const RaftMessage& aMessage) {
    return aMessage.kind_ != MessageKind::Append;
  };
  aSim.Write(aSim.members_[1], "x");
  aSim.Run(milliseconds(100));
  aSim.Kill(1, {});
  BOOST_TEST(RunUntilLeader(aSim, 5));
  aSim.Kill(5, {});
  aSim.Start(1);
  Term old = aSim.members_[1].group_->Core().CurrentTerm();
  aSim.isDelivered_ = [old](const RaftMessage& aMessage) {
    bool isNew =
      !aMessage.entries_.empty() && aMessage.entries_.front().term_ > old;
    return !isNew && (aMessage.kind_ != MessageKind::Append ||
                      aMessage.to_ == 2 || aMessage.to_ == 3);
  };
  BOOST_TEST(RunUntilLeader(aSim, 1));
  aSim.Run(milliseconds(600));
  BOOST_TEST((aSim.members_[1].group_->Core().CommitIndex() == 3U) ==
             aIsBroken);
  aSim.Kill(1, {});
  aSim.Start(5);
  aSim.isDelivered_ = [](const RaftMessage&) { return true; };
  BOOST_TEST(RunUntilLeader(aSim, 5));
}

struct RuleCase
{
  const char* name_;
  unsigned members_;
  RaftRules rules_;
  void (*run_)(Simulation&, bool);
};

std::ostream&
operator<<(std::ostream& aOut, const RuleCase& aCase)
{
  return aOut << aCase.name_;
}

RaftRules
ReadsAreNotConfirmed()
{
  RaftRules rules;
  rules.confirmsReads_ = [] { return false; };
  return rules;
}

RaftRules
EveryTermIsCounted()
{
  RaftRules rules;
  rules.commitsByCount_ = [](Term, Term) { return true; };
  return rules;
}

const std::vector<RuleCase> kRuleCases{
  { "vote without sync", 3, {}, VoteWithoutSync },
  { "stale read by a deposed leader", 3, ReadsAreNotConfirmed(), StaleRead },
  { "member with an empty disk votes under its old key",
    3,
    {},
    EmptyDiskVotes },
  { "commit of an earlier term's entry by counting replicas",
    5,
    EveryTermIsCounted(),
    EarlierTermByCount },
};

std::size_t
CountViolations(const RuleCase& aCase, bool aIsBroken)
{
  RaftSettings settings;
  settings.maxBatchBytes_ = 0;
  if (aIsBroken) {
    settings.rules_ = aCase.rules_;
  }
  Simulation sim(7, aCase.members_, settings);
  sim.hasClients_ = false;
  aCase.run_(sim, aIsBroken);
  for (const auto& violation : sim.checker_.violations_) {
    BOOST_TEST_MESSAGE(violation);
  }
  return sim.checker_.violations_.size();
}

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("raft"))
BOOST_DATA_TEST_CASE(A_violated_rule_is_detected, kRuleCases, broken)
{
  BOOST_TEST(CountViolations(broken, true) > 0U);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("raft"))
BOOST_DATA_TEST_CASE(The_intact_rule_passes_the_same_events, kRuleCases, kept)
{
  BOOST_TEST(CountViolations(kept, false) == 0U);
}
