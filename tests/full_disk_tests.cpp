// Guards against a group that refuses calls or leaves them unanswered after the
// disks of its members were full one after another and have room again.
#define BOOST_TEST_MODULE full_disk
#include "tanagerstall_raft_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <ostream>

using namespace tanagerstall;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace {

constexpr milliseconds kCallInterval(50);
/// Time between the end of one full disk and the start of the next.
constexpr milliseconds kGap(200);
/// The group has to commit again within this time: a step-down and an election.
constexpr milliseconds kRecoveryLimit(4000);

enum class DiskOrder
{
  ByKey,
  LeaderFirst,
  LeaderLast
};

std::ostream&
operator<<(std::ostream& aOut, DiskOrder aOrder)
{
  constexpr const char* kNames[] = { "by key", "leader first", "leader last" };
  return aOut << kNames[static_cast<int>(aOrder)];
}

struct DiskCase
{
  unsigned members_ = 3;
  milliseconds full_{ 3000 };
  std::size_t snapshotEntries_ = 1;
  bool hasCalls_ = true;
  unsigned lostPercent_ = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const DiskCase& aCase)
{
  return aOut << aCase.members_ << " members, full for " << aCase.full_.count()
              << " ms, a snapshot after " << aCase.snapshotEntries_
              << " entries, calls " << aCase.hasCalls_ << ", messages lost "
              << aCase.lostPercent_ << " %";
}

RaftSettings
SettingsOf(const DiskCase& aCase)
{
  RaftSettings settings;
  settings.snapshotEntries_ = aCase.snapshotEntries_;
  settings.keptEntries_ = 3;
  settings.snapshotChunkBytes_ = 64;
  return settings;
}

struct Call
{
  unsigned answers_ = 0;
  bool isSuccessful_ = false;
};

/// Fills the disks of a simulated group one after another while callers call
/// every member, and keeps the calls' answers.
class DisksInTurn
{
public:
  DisksInTurn(const DiskCase& aCase, std::uint64_t aSeed)
    : case_(aCase)
    , sim_(aSeed, aCase.members_, SettingsOf(aCase))
  {
    sim_.hasClients_ = aCase.hasCalls_;
    sim_.Run(seconds(4));
    for (const auto& [key, member] : sim_.members_) {
      sim_.faults_[key].lostPercent_ = aCase.lostPercent_;
    }
  }

  void FillAll(DiskOrder aOrder)
  {
    while (filled_.size() < sim_.members_.size()) {
      SimulatedMember& member = NextMember(aOrder);
      filled_.insert(member.key_);
      member.disk_.isFull_ = true;
      Run(case_.full_, member);
      member.disk_.isFull_ = false;
      Run(kGap, member);
    }
    sim_.faults_.clear();
  }

  /// Proposes to the leader that a member knows, until a proposal is committed.
  bool IsCommittedThrough(MemberKey aKey)
  {
    TimePoint end = sim_.clock_.Now() + kRecoveryLimit;
    while (sim_.clock_.Now() < end) {
      auto leader = sim_.members_[aKey].group_->Leader();
      const Call& call = Propose(sim_.members_[leader ? leader->key_ : aKey]);
      while (call.answers_ == 0 && sim_.clock_.Now() < end) {
        sim_.Run(milliseconds(10));
      }
      if (call.isSuccessful_) {
        return true;
      }
      sim_.Run(milliseconds(100));
    }
    return false;
  }

  /// Runs until the members are equal, and checks them and the calls.
  void CheckEnd()
  {
    sim_.hasClients_ = false;
    sim_.Run(seconds(2));
    auto unanswered =
      std::count_if(calls_.begin(), calls_.end(), [](const Call& aIt) {
        return aIt.answers_ != 1;
      });
    BOOST_TEST(unanswered == 0);
    const SimulatedMember& first = sim_.members_.begin()->second;
    for (const auto& [key, member] : sim_.members_) {
      BOOST_TEST(!member.group_->IsDiskFull());
      BOOST_TEST(member.group_->Core().CommitIndex() ==
                 first.group_->Core().CommitIndex());
      BOOST_TEST((member.values_ == first.values_));
    }
    sim_.history_.Check(sim_.checker_.violations_);
    for (const auto& violation : sim_.checker_.violations_) {
      BOOST_ERROR(violation);
    }
  }

  std::set<MemberKey> paused_;

private:
  SimulatedMember& NextMember(DiskOrder aOrder)
  {
    SimulatedMember* leader = sim_.LeaderOfNewestTerm();
    SimulatedMember* other = nullptr;
    for (auto& [key, member] : sim_.members_) {
      bool isLeader = &member == leader;
      if (filled_.contains(key)) {
        continue;
      }
      if (aOrder == DiskOrder::ByKey ||
          isLeader == (aOrder == DiskOrder::LeaderFirst)) {
        return member;
      }
      other = &member;
    }
    return *other;
  }

  void Run(milliseconds aFor, const SimulatedMember& aFilled)
  {
    for (TimePoint end = sim_.clock_.Now() + aFor; sim_.clock_.Now() < end;) {
      sim_.Run(kCallInterval);
      if (case_.hasCalls_) {
        for (auto& [key, member] : sim_.members_) {
          Propose(member);
          Query(member);
        }
      }
      if (aFilled.group_->IsDiskFull()) {
        paused_.insert(aFilled.key_);
      }
    }
  }

  const Call& Propose(SimulatedMember& aMember)
  {
    Call& call = calls_.emplace_back();
    sim_.Deliver(aMember, [&aMember, &call] {
      aMember.group_->Propose(ViewOf("call=1"), AnswerTo(call));
    });
    return call;
  }

  void Query(SimulatedMember& aMember)
  {
    Call& call = calls_.emplace_back();
    sim_.Deliver(aMember, [&aMember, &call] {
      aMember.group_->Query(ViewOf("call"), AnswerTo(call));
    });
  }

  static GroupCallback AnswerTo(Call& aCall)
  {
    return [&aCall](const GroupResult& aIt) {
      ++aCall.answers_;
      aCall.isSuccessful_ = aIt.has_value();
    };
  }

  DiskCase case_;
  /// A deque, so that references to calls stay valid.
  std::deque<Call> calls_;
  Simulation sim_;
  std::set<MemberKey> filled_;
};

const std::vector<DiskCase> kCases{
  { 3, milliseconds(3000), 1, true, 0 },
  { 3, milliseconds(3000), 1, false, 0 },
  { 3, milliseconds(700), 1, true, 0 },
  { 3, milliseconds(5000), 25, true, 10 },
  { 5, milliseconds(3000), 1, true, 0 },
  { 5, milliseconds(700), 25, true, 10 },
  { 5, milliseconds(5000), 10'000, true, 0 },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("raft"))
BOOST_DATA_TEST_CASE(A_group_serves_again_after_all_disks_were_full_in_turn,
                     data::make(kCases) *
                       data::make({ DiskOrder::ByKey,
                                    DiskOrder::LeaderFirst,
                                    DiskOrder::LeaderLast }) *
                       data::xrange(1, 6),
                     disks,
                     order,
                     seed)
{
  DisksInTurn group(disks, static_cast<std::uint64_t>(seed));
  group.FillAll(order);
  for (MemberKey key = 1; key <= disks.members_; ++key) {
    BOOST_TEST(group.IsCommittedThrough(key));
  }
  group.CheckEnd();
  // Every member must have had something to write while its disk was full.
  BOOST_TEST((!disks.hasCalls_ || group.paused_.size() == disks.members_));
}

// Guards against a snapshot that finds no room and leaves none for the log, so
// that the member pauses although there is room for its changes.
BOOST_AUTO_TEST_CASE(A_member_without_room_for_a_snapshot_takes_changes,
                     *boost::unit_test::label("raft"))
{
  constexpr std::size_t kSnapshotBytes = 100'000;
  RaftSettings settings;
  settings.snapshotEntries_ = 1;
  Simulation sim(1, 1, settings);
  sim.hasClients_ = false;
  sim.Run(seconds(4));
  SimulatedMember& member = *sim.LeaderOfNewestTerm();
  unsigned committed = 0;
  auto propose = [&](const std::string& aCommand) {
    sim.Deliver(member, [&] {
      member.group_->Propose(ViewOf(aCommand), [&](const GroupResult& aIt) {
        committed += aIt ? 1 : 0;
      });
    });
    sim.Run(milliseconds(20));
  };
  propose("large=" + std::string(kSnapshotBytes, 'x'));
  member.disk_.capacity_ = member.disk_.UsedBytes() + kSnapshotBytes / 2;
  for (int i = 0; i < 10; ++i) {
    propose("small=" + std::to_string(i));
  }
  BOOST_TEST(committed == 11U);
  BOOST_TEST(!member.group_->IsDiskFull());
  member.disk_.capacity_ += 4 * kSnapshotBytes;
  propose("small=last");
  LogIndex last = member.group_->Core().Log().LastIndex();
  sim.Kill(member.key_, {});
  sim.Start(member.key_);
  BOOST_TEST(member.group_->Core().Log().Snapshot()->index_ == last);
}
