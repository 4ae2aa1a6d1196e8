// Tests the automatic membership changes, which must never cost the group its
// quorum, and the leader lease, which two members must never hold at once.
#define BOOST_TEST_MODULE membership_reconciler
#include "tanagerstall/process/raft/tanagerstall_leader_lease.hpp"
#include "tanagerstall/process/raft/tanagerstall_membership_reconciler.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart{ 1h };
constexpr LogIndex kCommit = 10;
constexpr VoterTarget kTarget{ 3, 3 };

/// A member and its progress as seen by the leader.
struct MemberView
{
  MemberKey key_;
  bool isVoter_;
  bool isResponsive_;
  LogIndex match_;
  const char* address_;
};

struct ReconcilerCase
{
  const char* name_;
  std::vector<MemberView> members_;
  /// How long the members have been in this state.
  Duration duration_;
  /// The voters after the change; empty if no change is expected.
  std::vector<MemberKey> voters_;
};

std::ostream&
operator<<(std::ostream& aOut, const ReconcilerCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ReconcilerCase> kReconcilerCases{
  { "all voters respond",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, true, 10, "c" } },
    1h,
    {} },
  { "a caught-up learner while voters are missing",
    { { 1, true, true, 10, "a" }, { 2, false, true, 10, "b" } },
    1s,
    { 1, 2 } },
  { "a learner that lags behind while voters are missing",
    { { 1, true, true, 10, "a" }, { 2, false, true, 9, "b" } },
    1s,
    {} },
  { "a learner while no voter is missing",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, true, 10, "c" },
      { 4, false, true, 10, "d" } },
    1h,
    {} },
  { "a voter unresponsive for a short time",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, false, 5, "c" },
      { 4, false, true, 10, "d" } },
    2s,
    {} },
  { "a voter lost, a caught-up learner available",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, false, 5, "c" },
      { 4, false, true, 10, "d" } },
    10s,
    { 1, 2, 3, 4 } },
  { "a voter lost, no learner available",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, false, 5, "c" } },
    1h,
    {} },
  { "a lost voter that has been replaced",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, false, 5, "c" },
      { 4, true, true, 10, "d" } },
    10s,
    { 1, 2, 4 } },
  { "a voter that restarted with an empty disk",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, false, 5, "c" },
      { 4, false, true, 0, "c" } },
    1s,
    { 1, 2 } },
  { "a restart with an empty disk before the old key is unresponsive",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 10, "b" },
      { 3, true, true, 10, "c" },
      { 4, false, true, 10, "c" } },
    1s,
    { 1, 2 } },
  { "no caught-up quorum after the removal",
    { { 1, true, true, 10, "a" },
      { 2, true, true, 3, "b" },
      { 3, true, false, 5, "c" },
      { 4, false, true, 0, "c" } },
    1h,
    {} },
};

} // namespace

BOOST_DATA_TEST_CASE(The_leader_makes_one_safe_membership_change_at_a_time,
                     data::make(kReconcilerCases))
{
  Membership members;
  std::vector<MemberProgress> progress;
  for (const auto& view : sample.members_) {
    Member member;
    member.key_ = view.key_;
    member.memberAddress_ = view.address_;
    member.isVoter_ = view.isVoter_;
    members.push_back(member);
    progress.push_back({ member, view.match_, view.isResponsive_ });
  }
  MembershipReconciler reconciler;
  reconciler.Next(members, progress, kCommit, kTarget, kStart);
  auto step = reconciler.Next(
    members, progress, kCommit, kTarget, kStart + sample.duration_);
  BOOST_TEST(step.has_value() == !sample.voters_.empty());
  std::vector<MemberKey> voters;
  for (const auto& member : step ? step->members_ : Membership()) {
    if (member.isVoter_) {
      voters.push_back(member.key_);
    }
  }
  BOOST_TEST(voters == sample.voters_, boost::test_tools::per_element());
}

namespace {

constexpr Duration kLease = 3s;
constexpr Duration kTick = 100ms;

/// Reports the member's role to the lease every tick until `aUntil`, inclusive.
void
Observe(LeaderLease& aLease,
        bool aIsLeader,
        Term aTerm,
        TimePoint aFrom,
        TimePoint aUntil)
{
  for (TimePoint now = aFrom; now <= aUntil; now += kTick) {
    aLease.Observe(aIsLeader, aTerm, now);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(A_new_leader_waits_until_an_earlier_lease_has_expired)
{
  LeaderLease lease(kLease);
  Observe(lease, true, 7, kStart, kStart + 2900ms);
  lease.Confirm(7, kStart + 2900ms);
  BOOST_TEST(!lease.Token(kStart + 2900ms).has_value());
  Observe(lease, true, 7, kStart + 3s, kStart + 3s);
  lease.Confirm(7, kStart + 3s);
  BOOST_TEST(lease.Token(kStart + 3s).value() == 7U);
}

BOOST_AUTO_TEST_CASE(A_token_requires_a_recent_confirmation_by_a_quorum)
{
  LeaderLease lease(kLease);
  Observe(lease, true, 7, kStart, kStart + 4s);
  BOOST_TEST(!lease.Token(kStart + 4s).has_value());
  lease.Confirm(6, kStart + 4s);
  BOOST_TEST(!lease.Token(kStart + 4s).has_value());
  lease.Confirm(7, kStart + 3s);
  BOOST_TEST(!lease.Token(kStart + 4s).has_value());
}

BOOST_AUTO_TEST_CASE(A_leader_that_was_paused_loses_the_lease)
{
  LeaderLease lease(kLease);
  Observe(lease, true, 7, kStart, kStart + 10s);
  BOOST_TEST(lease.IsSteadyLeader(kStart + 10s));
  TimePoint woken = kStart + 17s;
  BOOST_TEST(!lease.IsSteadyLeader(woken));
  lease.Observe(true, 7, woken);
  BOOST_TEST(!lease.IsSteadyLeader(woken));
  lease.Confirm(7, woken);
  BOOST_TEST(!lease.Token(woken).has_value());
  lease.Observe(false, 8, woken + kTick);
  BOOST_TEST(!lease.IsSteadyLeader(woken + 1s));
}
