#ifndef TANAGERSTALL_RAFT_SIMULATION_HPP_INCLUDED
#define TANAGERSTALL_RAFT_SIMULATION_HPP_INCLUDED

#include "tanagerstall_client_history.hpp"
#include "tanagerstall_raft_checker.hpp"

namespace tanagerstall {

using std::chrono::milliseconds;

/// Faults of the network for messages from and to a member.
struct LinkFaults
{
  unsigned lostPercent_ = 0;
  unsigned duplicatedPercent_ = 0;
  milliseconds extraDelay_{ 0 };
};

/// Simulates members, network, disks, clients and an operator deterministically
/// with a simulated clock, and checks the safety invariants after every event.
class Simulation
{
public:
  using Pair = std::pair<MemberKey, MemberKey>;

  Simulation(std::uint64_t aSeed, unsigned aMembers, RaftSettings aSettings)
    : random_(aSeed)
    , settings_(std::move(aSettings))
  {
    for (MemberKey key = 1; key <= aMembers; ++key) {
      founders_.push_back(MakeMember(key, true));
      wanted_.insert(key);
    }
    for (MemberKey key = 1; key <= aMembers; ++key) {
      CreateFounder(key);
      Start(key);
    }
  }

  PausedClock clock_;
  std::map<MemberKey, SimulatedMember> members_;
  std::set<Pair> blockedLinks_;
  std::map<MemberKey, LinkFaults> faults_;
  std::function<bool(const RaftMessage&)> isDelivered_ =
    [](const RaftMessage&) { return true; };
  std::function<void(SimulatedMember&, Step)> onStep_ = [](SimulatedMember&,
                                                           Step) {};
  /// The membership that the operator establishes.
  std::set<MemberKey> wanted_;
  bool hasClients_ = true;
  SafetyChecker checker_;
  ClientHistory history_;
  std::size_t acknowledged_ = 0;

  void Start(MemberKey aKey)
  {
    SimulatedMember& member = members_[aKey];
    member.key_ = aKey;
    member.isFrozen_ = false;
    member.inbox_.clear();
    member.values_.clear();
    member.checkedLast_ = 0;
    member.ledTerm_ = 0;
    member.disk_.onCall_ = [this, &member](const std::string& aCall,
                                           const std::string& aFile) {
      if (member.group_ && aFile == "group.log") {
        onStep_(member, aCall == "sync" ? Step::Sync : Step::Append);
      }
    };
    member.group_ = std::make_unique<RaftGroup>(
      aKey,
      settings_,
      LogStorage(member.disk_.Hooks(), "group"),
      MachineOf(member),
      random_(),
      TimeOf(member),
      RaftGroup::Hooks{ [this, &member](const RaftMessage& aMessage) {
                         SendMessage(member, aMessage);
                       },
                        [&member] { member.isFlushDue_ = true; } });
    member.checkedCommit_ = member.group_->Core().CommitIndex();
  }

  void Kill(MemberKey aKey, SimulatedCrash aHow)
  {
    SimulatedMember& member = members_[aKey];
    member.group_.reset();
    member.inbox_.clear();
    if (aHow.isDiskLost_) {
      member.disk_.Erase();
    } else {
      member.disk_.Crash(random_, aHow.isTorn_);
    }
  }

  /// Ends a member's process; the machine and its disk keep running.
  void KillProcess(MemberKey aKey)
  {
    members_[aKey].group_.reset();
    members_[aKey].inbox_.clear();
  }

  /// Freezes a member and stops its clock until Resume().
  void Suspend(MemberKey aKey)
  {
    members_[aKey].isFrozen_ = true;
    members_[aKey].suspendedAt_ = clock_.Now();
  }

  /// Returns the time on a member's clock.
  TimePoint TimeOf(const SimulatedMember& aMember) const
  {
    return aMember.suspendedAt_.value_or(clock_.Now()) - aMember.clockLag_;
  }

  void Resume(MemberKey aKey)
  {
    SimulatedMember& member = members_[aKey];
    member.clockLag_ +=
      clock_.Now() - member.suspendedAt_.value_or(clock_.Now());
    member.suspendedAt_.reset();
    member.isFrozen_ = false;
    auto inbox = std::exchange(member.inbox_, {});
    for (const auto& event : inbox) {
      Deliver(member, event);
    }
  }

  void BlockLinks(MemberKey aKey, bool aIsIn, bool aIsOut)
  {
    for (const auto& [other, member] : members_) {
      if (aIsIn) {
        blockedLinks_.insert({ other, aKey });
      }
      if (aIsOut) {
        blockedLinks_.insert({ aKey, other });
      }
    }
  }

  /// Runs an event at a member, then checks the invariants. A frozen member
  /// queues it; one that crashes is killed.
  void Deliver(SimulatedMember& aMember, const std::function<void()>& aEvent)
  {
    if (!aMember.group_) {
      return;
    }
    if (aMember.isFrozen_) {
      aMember.inbox_.push_back(aEvent);
      return;
    }
    try {
      aEvent();
      if (random_() % 2 == 0) {
        FlushNow(aMember);
      }
      if (checker_.Check(aMember)) {
        onStep_(aMember, Step::Commit);
      }
    } catch (const SimulatedCrash& crash) {
      Kill(aMember.key_, crash);
    } catch (const DiskError&) {
      Kill(aMember.key_, { true, false });
    }
  }

  void Flush(MemberKey aKey)
  {
    SimulatedMember& member = members_[aKey];
    Deliver(member, [this, &member] { FlushNow(member); });
  }

  void Run(Duration aFor)
  {
    for (TimePoint end = clock_.Now() + aFor; clock_.Now() < end;) {
      clock_.Advance(milliseconds(10));
      DeliverDueMessages();
      for (auto& [key, member] : members_) {
        SimulatedMember& it = member;
        if (it.isSlow_) {
          PauseSlowMember(it);
        }
        if (it.isFrozen_) {
          continue;
        }
        Deliver(it, [this, &it] {
          if (!it.isElectionDisabled_) {
            it.group_->Tick(TimeOf(it));
          }
          FlushNow(it);
        });
      }
      if (hasClients_) {
        RunClients();
        RunOperator();
      }
    }
  }

  SimulatedMember* LeaderOfNewestTerm()
  {
    SimulatedMember* leader = nullptr;
    for (auto& [key, member] : members_) {
      if (member.group_ && member.group_->Core().Role() == RaftRole::Leader &&
          (leader == nullptr || leader->group_->Core().CurrentTerm() <
                                  member.group_->Core().CurrentTerm())) {
        leader = &member;
      }
    }
    return leader;
  }

  void Write(SimulatedMember& aAt, const std::string& aKey)
  {
    std::size_t number = history_.CallWrite(aKey);
    Deliver(aAt, [this, &aAt, aKey, number] {
      onStep_(aAt, Step::Propose);
      std::string command = aKey + "=" + history_.ValueOf(aKey, number);
      aAt.group_->Propose(ViewOf(command), [=, this, &aAt](GroupResult aIt) {
        if (aIt) {
          onStep_(aAt, Step::Answer);
          ++acknowledged_;
          history_.Return(aKey, number);
        } else if (aIt.error().fault_ == GroupFault::NotLeader) {
          history_.MarkNotRun(aKey, number);
        }
      });
    });
  }

  void Read(SimulatedMember& aAt, const std::string& aKey)
  {
    std::size_t number = history_.CallRead(aKey);
    Deliver(aAt, [this, &aAt, aKey, number] {
      aAt.group_->Query(ViewOf(aKey), [=, this](GroupResult aIt) {
        if (aIt) {
          history_.ReturnRead(aKey, number, TextOf(*aIt));
        }
      });
    });
  }

  /// Ends all network faults and resumes frozen members, runs for a time, then
  /// writes once, reads every record and checks the histories. Returns whether
  /// a write succeeded.
  bool HealAndCheck(Duration aWithin)
  {
    blockedLinks_.clear();
    faults_.clear();
    isDelivered_ = [](const RaftMessage&) { return true; };
    for (auto& [key, member] : members_) {
      member.isElectionDisabled_ = false;
      if (member.isFrozen_) {
        Resume(key);
      }
    }
    Run(aWithin);
    hasClients_ = false;
    std::size_t before = acknowledged_;
    if (SimulatedMember* leader = LeaderOfNewestTerm()) {
      Write(*leader, "last");
      Run(milliseconds(500));
      for (const auto& key : history_.Keys()) {
        Read(*leader, key);
      }
      Run(milliseconds(500));
    }
    history_.Check(checker_.violations_);
    return acknowledged_ > before;
  }

private:
  struct InFlightMessage
  {
    TimePoint due_;
    RaftMessage message_;
  };

  Member MakeMember(MemberKey aKey, bool aIsVoter)
  {
    return { aKey, std::to_string(aKey), "", "", aIsVoter };
  }

  /// Writes the first snapshot, which is the same for every founder.
  void CreateFounder(MemberKey aKey)
  {
    auto snapshot =
      std::make_shared<RaftSnapshot>(RaftSnapshot{ 1, 1, founders_, {} });
    RaftStart fresh{ { 1, 0 }, snapshot, 1, 1, {} };
    LogStorage storage(members_[aKey].disk_.Hooks(), "group");
    storage.WriteSnapshot(fresh.hardState_, *snapshot, RaftLog(fresh));
  }

  StateMachine MachineOf(SimulatedMember& aMember)
  {
    return {
      [this, &aMember](BytesView aCommand) {
        onStep_(aMember, Step::Apply);
        std::string text = TextOf(aCommand);
        auto equals = text.find('=');
        aMember.values_[text.substr(0, equals)] = text.substr(equals + 1);
        return Bytes{};
      },
      [&aMember](BytesView aQuery) {
        auto it = aMember.values_.find(TextOf(aQuery));
        auto view =
          it == aMember.values_.end() ? BytesView() : ViewOf(it->second);
        return Bytes(view.begin(), view.end());
      },
      [this, &aMember] {
        onStep_(aMember, Step::Snapshot);
        std::string text;
        for (const auto& [key, value] : aMember.values_) {
          text.append(key).append("=").append(value).append("\n");
        }
        auto view = ViewOf(text);
        return Bytes(view.begin(), view.end());
      },
      [this, &aMember](BytesView aSnapshot) {
        if (aMember.group_) {
          onStep_(aMember, Step::Install);
        }
        aMember.values_.clear();
        std::string text = TextOf(aSnapshot);
        for (std::size_t at = 0; at < text.size();) {
          auto equals = text.find('=', at);
          auto end = text.find('\n', equals);
          aMember.values_[text.substr(at, equals - at)] =
            text.substr(equals + 1, end - equals - 1);
          at = end + 1;
        }
      },
    };
  }

  /// Lets a slow member run for 100 of every 400 ms.
  void PauseSlowMember(SimulatedMember& aMember)
  {
    constexpr Duration kPeriod = milliseconds(400);
    constexpr Duration kRunTime = milliseconds(100);
    Duration at = clock_.Now().time_since_epoch() % kPeriod;
    if (at >= kRunTime) {
      aMember.isFrozen_ = true;
    } else if (aMember.isFrozen_) {
      Resume(aMember.key_);
    }
  }

  void FlushNow(SimulatedMember& aMember)
  {
    if (std::exchange(aMember.isFlushDue_, false)) {
      aMember.group_->Flush();
    }
  }

  void SendMessage(SimulatedMember& aFrom, const RaftMessage& aMessage)
  {
    if (aMessage.kind_ == MessageKind::Append && !aMessage.entries_.empty()) {
      onStep_(aFrom, Step::Replicate);
    }
    if (!isDelivered_(aMessage)) {
      return;
    }
    LinkFaults faults = faults_[aMessage.from_];
    const LinkFaults& other = faults_[aMessage.to_];
    faults.lostPercent_ += other.lostPercent_;
    faults.duplicatedPercent_ += other.duplicatedPercent_;
    faults.extraDelay_ += other.extraDelay_;
    unsigned copies = random_() % 100 < faults.duplicatedPercent_ ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
      if (random_() % 100 >= faults.lostPercent_) {
        auto delay = 1 + random_() % (20 + faults.extraDelay_.count());
        inFlight_.push_back({ clock_.Now() + milliseconds(delay), aMessage });
      }
    }
  }

  void DeliverDueMessages()
  {
    std::stable_sort(
      inFlight_.begin(),
      inFlight_.end(),
      [](const auto& aOne, const auto& aTwo) { return aOne.due_ < aTwo.due_; });
    while (!inFlight_.empty() && inFlight_.front().due_ <= clock_.Now()) {
      RaftMessage message = inFlight_.front().message_;
      inFlight_.erase(inFlight_.begin());
      auto it = members_.find(message.to_);
      if (it == members_.end() ||
          blockedLinks_.contains({ message.from_, message.to_ })) {
        continue;
      }
      SimulatedMember& member = it->second;
      Deliver(member, [this, &member, message] {
        member.group_->Receive(message, TimeOf(member));
      });
    }
  }

  /// Issues a client call to a random member that considers itself the leader,
  /// which may be frozen.
  void RunClients()
  {
    ++ticks_;
    std::vector<SimulatedMember*> leaders;
    for (auto& [key, member] : members_) {
      if (member.group_ && member.group_->Core().Role() == RaftRole::Leader) {
        leaders.push_back(&member);
      }
    }
    if (leaders.empty() || ticks_ % 2 != 0) {
      return;
    }
    std::size_t number = calls_++;
    std::string key = "k" + std::to_string(number / 60 * 3 + number % 3);
    SimulatedMember& at = *leaders[random_() % leaders.size()];
    if (random_() % 3 == 0) {
      Read(at, key);
    } else {
      Write(at, key);
    }
  }

  /// Starts the operator's next membership change towards `wanted_`.
  void RunOperator()
  {
    SimulatedMember* leader = LeaderOfNewestTerm();
    if (ticks_ % 5 != 0 || leader == nullptr) {
      return;
    }
    Membership now = leader->group_->Core().Log().Members();
    Membership next = now;
    std::set<MemberKey> present;
    for (const auto& member : now) {
      present.insert(member.key_);
    }
    for (MemberKey key : wanted_) {
      if (!present.contains(key) && next.size() == now.size()) {
        next.push_back(MakeMember(key, false));
      }
    }
    MemberKey learner = leader->group_->Core().CaughtUpLearner(TimeOf(*leader));
    bool isComplete = true;
    for (auto& member : next) {
      member.isVoter_ |= next.size() == now.size() && member.key_ == learner;
      isComplete &= member.isVoter_ || !wanted_.contains(member.key_);
    }
    // A member is removed only once its replacements are voters.
    auto extra = std::find_if(next.begin(), next.end(), [&](const Member& aIt) {
      return !wanted_.contains(aIt.key_);
    });
    if (next == now && isComplete && extra != next.end()) {
      next.erase(extra);
    }
    if (next != now) {
      Deliver(*leader, [this, leader, next] {
        onStep_(*leader, Step::MemberChange);
        leader->group_->ChangeMembers(next, [](const GroupResult&) {});
      });
    }
  }

  std::mt19937_64 random_;
  RaftSettings settings_;
  Membership founders_;
  std::vector<InFlightMessage> inFlight_;
  std::uint64_t ticks_ = 0;
  std::size_t calls_ = 0;
};

} // namespace tanagerstall

#endif
