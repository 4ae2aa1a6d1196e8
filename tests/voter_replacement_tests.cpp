// Visits every sequence of losses, of the length below, that a control cluster
// has to bear, and checks that a leader remains.
#define BOOST_TEST_MODULE voter_replacement
#include "tanagerstall/process/raft/tanagerstall_membership_reconciler.hpp"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t kFounders = 3;
constexpr int kMaxRounds = 8;
constexpr std::size_t kMaxMachines = 8;
constexpr Duration kStep = 300ms;
constexpr Duration kStartUp = 20s;
/// After this time without a reply a member counts as unresponsive.
constexpr Duration kSilence = 700ms;
constexpr Duration kElection = 1500ms;
/// From the start or return of a machine until it is a learner that has caught
/// up.
constexpr Duration kJoin = 1s;
/// The same for a machine that was removed while it was frozen and that has to
/// notice first that it has no leader.
constexpr Duration kRejoin = 3s;
constexpr Duration kCutLength = 10s;
constexpr Duration kSuccessorDelay = 1s;
/// From then on a machine that is back doesn't count as lost.
constexpr Duration kCatchUp = 4s;

enum class Loss
{
  /// Gone for good; an empty machine at another address comes instead.
  Replaced,
  /// Back at once at its address with an empty disk.
  Wiped,
  /// Out of reach for a while, then back with its disk.
  CutOff
};

struct Machine
{
  MemberKey key_;
  std::string address_;
  TimePoint upSince_;
  /// Set while the machine is out of reach.
  std::optional<TimePoint> downSince_;
  bool isGone_ = false;
};

/// A control cluster whose messages arrive at once; every entry is committed.
class Cluster
{
public:
  Cluster(std::size_t aMachines, std::size_t aTolerated)
    : target_{ 2 * aTolerated + 1, 2 * aTolerated + 3 }
  {
    for (std::size_t i = 0; i < aMachines; ++i) {
      const Machine& machine = Add("address " + std::to_string(i), now_);
      if (i < kFounders) {
        members_.push_back(MemberOf(machine, true));
      }
    }
    Run(kStartUp);
  }

  std::size_t Size() const { return machines_.size(); }

  /// Adds an empty machine at a new address.
  void Extend() { Add("address " + std::to_string(nextKey_), now_); }

  /// Loses these machines at one moment and runs until none counts as lost.
  void Lose(const std::vector<std::pair<std::size_t, Loss>>& aLosses)
  {
    TimePoint begun = now_;
    Duration longest = 0s;
    for (const auto& [index, loss] : aLosses) {
      Machine& lost = machines_.at(index);
      lost.downSince_ = begun;
      lost.isGone_ = loss != Loss::CutOff;
      bool isReplaced = loss == Loss::Replaced;
      Duration away = loss == Loss::CutOff ? kCutLength
                      : isReplaced         ? kSuccessorDelay
                                           : kStep;
      longest = std::max(longest, away);
      if (lost.isGone_) {
        // Also invalidates the reference above.
        Add(isReplaced ? "address " + std::to_string(nextKey_) : lost.address_,
            begun + away);
      } else {
        lost.upSince_ = begun + away;
      }
    }
    Run(longest + kCatchUp);
    std::erase_if(machines_, [this](const Machine& aIt) {
      return aIt.isGone_ && FindMember(aIt.key_) == members_.end();
    });
  }

  bool HasLeader() const { return leader_ != 0; }

  /// The machines that remain, alike for clusters that differ in names only.
  std::string Shape() const
  {
    std::string shape;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      shape += ClassOf(i);
    }
    std::sort(shape.begin(), shape.end());
    return shape;
  }

  /// Tells apart machines whose loss may have other effects.
  char ClassOf(std::size_t aIndex) const
  {
    const Machine& machine = machines_.at(aIndex);
    auto member = FindMember(machine.key_);
    if (machine.isGone_) {
      return 'x';
    }
    if (machine.key_ == leader_) {
      return 'L';
    }
    return member == members_.end() ? 'o' : member->isVoter_ ? 'v' : 'l';
  }

private:
  const Machine& Add(const std::string& aAddress, TimePoint aUpSince)
  {
    return machines_.emplace_back(
      Machine{ nextKey_++, aAddress, aUpSince, std::nullopt });
  }

  static Member MemberOf(const Machine& aMachine, bool aIsVoter)
  {
    Member member;
    member.key_ = aMachine.key_;
    member.memberAddress_ = aMachine.address_;
    member.isVoter_ = aIsVoter;
    return member;
  }

  Membership::const_iterator FindMember(MemberKey aKey) const
  {
    return std::find_if(members_.begin(),
                        members_.end(),
                        [&](const Member& aIt) { return aIt.key_ == aKey; });
  }

  bool IsUp(MemberKey aKey) const
  {
    return std::any_of(
      machines_.begin(), machines_.end(), [&](const Machine& aIt) {
        return aIt.key_ == aKey && !aIt.downSince_ && aIt.upSince_ <= now_;
      });
  }

  void Run(Duration aTime)
  {
    for (TimePoint end = now_ + aTime; now_ < end; now_ += kStep) {
      for (auto& machine : machines_) {
        if (machine.upSince_ <= now_ && !machine.isGone_) {
          machine.downSince_.reset();
        }
      }
      Elect();
      if (leader_ != 0) {
        AddLearner();
        Reconcile();
      }
    }
  }

  void Elect()
  {
    std::size_t voters = 0;
    std::vector<MemberKey> candidates;
    for (const auto& member : members_) {
      voters += member.isVoter_ ? 1 : 0;
      if (member.isVoter_ && IsUp(member.key_)) {
        candidates.push_back(member.key_);
      }
    }
    bool hasQuorum = candidates.size() > voters / 2;
    if (hasQuorum && leader_ != 0 && IsUp(leader_)) {
      return;
    }
    leader_ = 0;
    if (!hasQuorum) {
      electionAt_ = now_ + kElection;
    } else if (now_ >= electionAt_) {
      leader_ = candidates.front();
      leaderSince_ = now_;
      reconciler_ = MembershipReconciler();
      electionAt_ = now_ + kElection;
    }
  }

  /// Adds one machine that asks for it, if there is one.
  void AddLearner()
  {
    for (const auto& machine : machines_) {
      Duration wait = wasMember_.contains(machine.key_) ? kRejoin : kJoin;
      if (IsUp(machine.key_) && FindMember(machine.key_) == members_.end() &&
          now_ >= machine.upSince_ + wait) {
        members_.push_back(MemberOf(machine, false));
        return;
      }
    }
  }

  void Reconcile()
  {
    std::vector<MemberProgress> progress;
    for (const auto& member : members_) {
      wasMember_.insert(member.key_);
      auto machine = std::find_if(
        machines_.begin(), machines_.end(), [&](const Machine& aIt) {
          return aIt.key_ == member.key_;
        });
      bool isSilent =
        machine->downSince_ &&
        now_ - std::max(*machine->downSince_, leaderSince_) >= kSilence;
      progress.push_back({ member, IsUp(member.key_) ? 1U : 0U, !isSilent });
    }
    if (auto step = reconciler_.Next(members_, progress, 1, target_, now_)) {
      members_ = step->members_;
    }
  }

  VoterTarget target_;
  TimePoint now_{ 1h };
  std::vector<Machine> machines_;
  MemberKey nextKey_ = 1;
  Membership members_;
  std::set<MemberKey> wasMember_;
  MemberKey leader_ = 0;
  TimePoint leaderSince_;
  TimePoint electionAt_;
  MembershipReconciler reconciler_;
};

using Losses = std::vector<std::pair<std::size_t, Loss>>;

/// Returns all ways to lose up to this number of machines at one moment, those
/// alike only once.
std::vector<Losses>
LossesOf(const Cluster& aCluster, std::size_t aTolerated)
{
  std::vector<Losses> all;
  std::set<std::string> seen;
  std::vector<Losses> open{ {} };
  while (!open.empty()) {
    Losses losses = open.back();
    open.pop_back();
    std::size_t from = losses.empty() ? 0 : losses.back().first + 1;
    for (std::size_t i = from;
         i < aCluster.Size() && losses.size() < aTolerated;
         ++i) {
      for (auto loss : { Loss::Replaced, Loss::Wiped, Loss::CutOff }) {
        Losses next = losses;
        next.emplace_back(i, loss);
        std::vector<std::string> kinds;
        for (const auto& [index, kind] : next) {
          kinds.push_back(aCluster.ClassOf(index) +
                          std::to_string(static_cast<int>(kind)));
        }
        std::sort(kinds.begin(), kinds.end());
        std::string name;
        for (const auto& kind : kinds) {
          name += kind;
        }
        if (aCluster.ClassOf(i) != 'x' && seen.insert(name).second) {
          all.push_back(next);
          open.push_back(next);
        }
      }
    }
  }
  return all;
}

struct ClusterCase
{
  std::size_t machines_;
  std::size_t tolerated_;
};

std::ostream&
operator<<(std::ostream& aOut, const ClusterCase& aCase)
{
  return aOut << aCase.machines_ << " machines of which " << aCase.tolerated_
              << " may be lost";
}

const std::vector<ClusterCase> kClusters{
  { 3, 1 }, { 4, 1 }, { 5, 1 }, { 6, 1 }, { 7, 1 },
  { 5, 2 }, { 6, 2 }, { 7, 2 }, { 7, 3 },
};

const char*
NameOf(Loss aLoss)
{
  switch (aLoss) {
    case Loss::Replaced:
      return "replaced";
    case Loss::Wiped:
      return "wiped";
    case Loss::CutOff:
      return "cut off";
  }
  return "";
}

std::string
Describe(const Cluster& aCluster, const Losses& aLosses, bool aIsExtended)
{
  std::string text =
    aCluster.Shape() + (aIsExtended ? " is extended and loses" : " loses");
  for (const auto& [index, loss] : aLosses) {
    text += std::string(" ") + aCluster.ClassOf(index) + ":" + NameOf(loss);
  }
  return text + "; ";
}

} // namespace

// Guards against a voter that is gone for good and keeps its vote beside its
// successor: the next loss that the tolerance allows ended the last quorum.
BOOST_DATA_TEST_CASE(A_leader_remains_after_every_sequence_of_tolerated_losses,
                     data::make(kClusters))
{
  std::vector<std::pair<Cluster, std::string>> round{
    { Cluster(sample.machines_, sample.tolerated_), "" }
  };
  std::set<std::string> seen;
  std::set<std::string> failures;
  for (int i = 0; i < kMaxRounds; ++i) {
    std::vector<std::pair<Cluster, std::string>> next;
    for (const auto& [cluster, path] : round) {
      for (const auto& losses : LossesOf(cluster, sample.tolerated_)) {
        for (bool isExtended : { false, true }) {
          if (isExtended && cluster.Size() >= kMaxMachines) {
            continue;
          }
          Cluster after = cluster;
          if (isExtended) {
            after.Extend();
          }
          after.Lose(losses);
          std::string trace = path + Describe(cluster, losses, isExtended);
          if (!after.HasLeader()) {
            failures.insert(trace);
          } else if (seen.insert(after.Shape()).second) {
            next.emplace_back(after, trace);
          }
        }
      }
    }
    round = std::move(next);
  }
  BOOST_TEST(failures.size() == 0U,
             "no leader: " << (failures.empty() ? "" : *failures.begin()));
}
