#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"

#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/process/raft/tanagerstall_membership_reconciler.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <random>

namespace tanagerstall {

namespace {

constexpr auto kTickInterval = 30 * kj::MILLISECONDS;
constexpr auto kRetryDelay = 100 * kj::MILLISECONDS;
constexpr auto kJoinInterval = 300 * kj::MILLISECONDS;
constexpr Duration kReconcileInterval = std::chrono::milliseconds(300);
/// After this time without a leader a member sends requests to join, as it may
/// have been removed.
constexpr Duration kLeaderlessTimeout = std::chrono::seconds(1);
/// How long a call is retried until a leader accepts it.
constexpr Duration kLeaderSearchTimeout = std::chrono::milliseconds(2500);

/// Runs a function that may access the disk and ends the process if it throws.
/// A member must not continue after a disk failure or an incomplete flush.
template<class Function>
void
RunOrExit(Function aFunction)
{
  try {
    aFunction();
  } catch (const std::exception& error) {
    LogEvent(Severity::Error, "stopped", { { "error", error.what() } });
    EndProcess(1);
  }
}

} // namespace

struct RaftMember::State
{
  State(ControlLoop& aLoop, Clock aClock, MemberSettings aSettings)
    : loop_(aLoop)
    , timer_(aLoop.Io().provider->getTimer())
    , clock_(std::move(aClock))
    , settings_(std::move(aSettings))
    , folder_(OpenMemberFolder(settings_))
    , link_(loop_, MakeHooks())
    , tasks_(Severity::Error, "member task failed")
  {
  }

  MemberHooks MakeHooks()
  {
    return { [this]() -> const MemberIdentity& { return folder_.identity_; },
             [this](GroupName aGroup,
                    const std::string& aCluster,
                    const std::string& aSender,
                    const RaftMessage& aMessage) {
               Receive(aGroup, aCluster, aSender, aMessage);
             },
             [this](MemberCall aCall,
                    GroupName aGroup,
                    BytesView aBytes,
                    const GroupCallback& aDone) {
               CallLocally(aCall, aGroup, aBytes, aDone);
             } };
  }

  void Listen(const Address& aControlAddress)
  {
    Address wanted = settings_.memberAddress_;
    auto previous = ParseAddress(folder_.identity_.member_.memberAddress_);
    if (wanted.port_ == 0 && previous && previous->host_ == wanted.host_) {
      wanted = *previous;
    }
    try {
      wanted = link_.Listen(wanted);
    } catch (const kj::Exception&) {
      if (settings_.memberAddress_.port_ != 0) {
        throw;
      }
      wanted = link_.Listen(settings_.memberAddress_);
    }
    folder_.identity_.member_.memberAddress_ = wanted.ToString();
    folder_.identity_.member_.controlAddress_ = aControlAddress.ToString();
  }

  void Open(const std::vector<StateMachine>& aMachines)
  {
    if (folder_.isBootstrap_) {
      folder_.identity_.cluster_ = NewClusterName(settings_);
    }
    for (std::size_t i = 0; i < aMachines.size(); ++i) {
      const std::string name = kGroupNames.at(i);
      if (!folder_.isFresh_ && !folder_.disk_.read_(name + ".log")) {
        throw DiskError(name + ".log is missing; replace this member");
      }
      LogStorage storage(folder_.disk_, name);
      if (folder_.isBootstrap_) {
        RaftGroup::Bootstrap(
          storage, FirstMembers(settings_, folder_.identity_), aMachines.at(i));
      }
      auto group = static_cast<GroupName>(i);
      groups_.at(i) = std::make_unique<RaftGroup>(
        folder_.identity_.member_.key_,
        settings_.raft_,
        std::move(storage),
        aMachines.at(i),
        std::random_device()(),
        clock_.Now(),
        RaftGroup::Hooks{
          [this, group](const RaftMessage& aMessage) { Send(group, aMessage); },
          [this, group] { FlushSoon(group); } });
    }
    openGroups_ = aMachines.size();
    // Written last, so that a folder with an identity file has the groups'
    // files too.
    WriteIdentity(folder_.disk_, folder_.identity_);
    LogEvent(Severity::Info,
             folder_.identity_.cluster_.empty() ? "waiting to be added"
                                                : "member started",
             { { "cluster", folder_.identity_.cluster_ },
               { "members", folder_.identity_.member_.memberAddress_ } });
  }

  /// Returns whether the groups have started. Calls can arrive earlier, as the
  /// ports open first.
  bool IsOpen() const { return openGroups_ > 0; }

  static GroupResult StartingError()
  {
    return tl::make_unexpected(
      GroupError{ GroupFault::NotLeader, "the member has not started yet" });
  }

  RaftGroup& GroupOf(GroupName aGroup)
  {
    return *groups_.at(static_cast<std::size_t>(aGroup));
  }

  kj::Promise<void> TickPeriodically()
  {
    return timer_.afterDelay(kTickInterval).then([this] {
      for (std::size_t i = 0; i < openGroups_; ++i) {
        groups_.at(i)->Tick(clock_.Now());
        LogRoleChange(i);
        ReconcileMembers(i);
      }
      return TickPeriodically();
    });
  }

  /// Starts the next membership change towards the wanted number of voters, if
  /// this member is the leader.
  void ReconcileMembers(std::size_t aGroup)
  {
    TimePoint now = clock_.Now();
    if (settings_.voters_.wanted_ == 0 || now < nextReconcileAt_.at(aGroup)) {
      return;
    }
    nextReconcileAt_.at(aGroup) = now + kReconcileInterval;
    RaftGroup& group = *groups_.at(aGroup);
    if (group.Core().Role() != RaftRole::Leader) {
      reconcilers_.at(aGroup) = MembershipReconciler();
      return;
    }
    auto step = reconcilers_.at(aGroup).Next(group.Core().Log().Members(),
                                             group.Core().Progress(now),
                                             group.Core().CommitIndex(),
                                             settings_.voters_,
                                             now);
    if (!step) {
      return;
    }
    LogEvent(Severity::Info,
             "members change",
             { { "group", kGroupNames.at(aGroup) },
               { "step", step->reason_ },
               { "member", step->member_ } });
    group.ChangeMembers(step->members_, [](const GroupResult&) {});
  }

  /// Returns whether this member is in no group, or has seen no leader for so
  /// long that it may have been removed.
  bool IsJoinNeeded(std::size_t aGroup, TimePoint aNow)
  {
    const Raft& core = groups_.at(aGroup)->Core();
    const Membership& members = core.Log().Members();
    bool isMember =
      std::any_of(members.begin(), members.end(), [this](const Member& aIt) {
        return aIt.key_ == folder_.identity_.member_.key_;
      });
    if (core.Leader() != 0) {
      leaderSeenAt_ = aNow;
    }
    return !isMember || aNow - leaderSeenAt_ > kLeaderlessTimeout;
  }

  /// Sends requests to join to the contacts in turn until the leader adds this
  /// member as a learner.
  kj::Promise<void> JoinPeriodically()
  {
    return timer_.afterDelay(kJoinInterval).then([this] {
      if (!settings_.contacts_.empty() && IsJoinNeeded(0, clock_.Now())) {
        if (leaderHint_.empty()) {
          RequestJoin(
            settings_.contacts_.at(nextContact_++ % settings_.contacts_.size())
              .ToString());
        } else {
          RequestJoin(std::exchange(leaderHint_, ""));
        }
      }
      return JoinPeriodically();
    });
  }

  /// Stores the cluster of a member that belongs to none yet. Returns false if
  /// the disk is full, so that it has to be tried again.
  bool AdoptCluster(const std::string& aCluster)
  {
    if (!folder_.identity_.cluster_.empty()) {
      return true;
    }
    MemberIdentity identity = folder_.identity_;
    identity.cluster_ = aCluster;
    bool isStored = true;
    RunOrExit([&] {
      try {
        WriteIdentity(folder_.disk_, identity);
      } catch (const DiskFullError&) {
        isStored = false;
      }
    });
    if (isStored) {
      folder_.identity_ = identity;
      LogEvent(Severity::Info, "cluster known", { { "cluster", aCluster } });
    }
    return isStored;
  }

  void RequestJoin(const std::string& aAddress)
  {
    if (aAddress == folder_.identity_.member_.memberAddress_) {
      return;
    }
    link_.Identify(
      aAddress,
      [this, aAddress](tl::expected<MemberIdentity, std::string> aIdentity) {
        if (!aIdentity || aIdentity->cluster_.empty()) {
          return;
        }
        if (!AdoptCluster(aIdentity->cluster_)) {
          return;
        }
        RepairGoal goal;
        goal.add_ = folder_.identity_.member_;
        link_.Call(
          aAddress,
          MemberCall::Advance,
          GroupName::Configuration,
          EncodeGoal(goal),
          [this](const GroupResult& aResult) { OnJoinReply(aResult); });
      });
  }

  /// Stores the leader's address from the reply of a member that is not the
  /// leader; the next request goes there.
  void OnJoinReply(const GroupResult& aResult)
  {
    if (aResult || aResult.error().detail_.empty()) {
      return;
    }
    auto leader = ParseAddress(aResult.error().detail_);
    auto self = ParseAddress(folder_.identity_.member_.memberAddress_);
    if (aResult.error().fault_ == GroupFault::NotLeader && leader && self) {
      // The reply names the leader's address for entries. All members listen
      // for each other on the same port.
      leaderHint_ = Address{ leader->host_, self->port_ }.ToString();
    }
  }

  void LogRoleChange(std::size_t aGroup)
  {
    bool isLeader = groups_.at(aGroup)->Core().Role() == RaftRole::Leader;
    if (isLeader != wasLeader_.at(aGroup)) {
      wasLeader_.at(aGroup) = isLeader;
      LogEvent(Severity::Info,
               isLeader ? "leads" : "no longer leads",
               { { "group", kGroupNames.at(aGroup) },
                 { "term", groups_.at(aGroup)->Core().CurrentTerm() } });
    }
  }

  /// Schedules a flush after all events that are already pending, so that they
  /// share one sync.
  void FlushSoon(GroupName aGroup)
  {
    bool& isDue = isFlushDue_.at(static_cast<std::size_t>(aGroup));
    if (std::exchange(isDue, true)) {
      return;
    }
    tasks_.Add(kj::evalLast([this, aGroup, &isDue] {
      isDue = false;
      RunOrExit([&] { GroupOf(aGroup).Flush(); });
    }));
  }

  void Receive(GroupName aGroup,
               const std::string& aCluster,
               const std::string& aSender,
               const RaftMessage& aMessage)
  {
    KJ_REQUIRE(IsOpen(), "the member has not started yet");
    KJ_REQUIRE(aMessage.to_ == folder_.identity_.member_.key_,
               "the message is to another member");
    KJ_REQUIRE(AdoptCluster(aCluster), "the disk is full");
    KJ_REQUIRE(aCluster == folder_.identity_.cluster_,
               "the message is from another cluster");
    addresses_[aMessage.from_] = aSender;
    GroupOf(aGroup).Receive(aMessage, clock_.Now());
  }

  /// Returns a member's address. The one that it sent itself takes precedence
  /// over the one in the membership, which may be outdated.
  std::string AddressOf(GroupName aGroup, MemberKey aKey)
  {
    auto it = addresses_.find(aKey);
    if (it != addresses_.end()) {
      return it->second;
    }
    for (const auto& member : GroupOf(aGroup).Core().Log().Members()) {
      if (member.key_ == aKey) {
        return member.memberAddress_;
      }
    }
    return "";
  }

  void Send(GroupName aGroup, const RaftMessage& aMessage)
  {
    std::string address = AddressOf(aGroup, aMessage.to_);
    if (!address.empty()) {
      link_.Send(address, aGroup, aMessage);
    }
  }

  void CallLocally(MemberCall aCall,
                   GroupName aGroup,
                   BytesView aBytes,
                   const GroupCallback& aDone)
  {
    if (!IsOpen()) {
      aDone(StartingError());
      return;
    }
    RaftGroup& group = GroupOf(aGroup);
    switch (aCall) {
      case MemberCall::Propose:
        group.Propose(aBytes, aDone);
        return;
      case MemberCall::Query:
        group.Query(aBytes, aDone);
        return;
      case MemberCall::Advance:
        break;
    }
    RepairGoal goal = DecodeGoal(aBytes);
    if (settings_.voters_.wanted_ > 0) {
      // The reconciler decides which members vote.
      goal = RestrictToLearner(goal, group.Core().Log().Members());
    }
    auto status = AdvanceRepair(group, goal, clock_.Now());
    if (status) {
      aDone(EncodeStatus(*status));
    } else {
      aDone(tl::make_unexpected(status.error()));
    }
  }

  /// Forwards a call to the leader. NotLeader means that a proposal was not
  /// appended; only then may it be retried without the risk of applying it
  /// twice.
  void CallLeader(MemberCall aCall,
                  GroupName aGroup,
                  Bytes aBytes,
                  GroupCallback aDone,
                  TimePoint aUntil)
  {
    auto retry = [=, this](GroupResult aResult) {
      // A query has no effect, so it may be retried after any failure.
      bool canRetry =
        !aResult && (aResult.error().fault_ == GroupFault::NotLeader ||
                     (aCall == MemberCall::Query &&
                      aResult.error().fault_ == GroupFault::Unavailable));
      if (!canRetry || clock_.Now() >= aUntil) {
        aDone(std::move(aResult));
        return;
      }
      tasks_.Add(timer_.afterDelay(kRetryDelay).then([=, this] {
        CallLeader(aCall, aGroup, aBytes, aDone, aUntil);
      }));
    };
    auto leader = IsOpen() ? GroupOf(aGroup).Leader() : std::nullopt;
    if (!leader || leader->key_ == folder_.identity_.member_.key_) {
      CallLocally(aCall, aGroup, aBytes, retry);
    } else {
      link_.Call(AddressOf(aGroup, leader->key_), aCall, aGroup, aBytes, retry);
    }
  }

  ControlLoop& loop_;
  kj::Timer& timer_;
  Clock clock_;
  MemberSettings settings_;
  MemberFolder folder_;
  std::map<MemberKey, std::string> addresses_;
  std::array<std::unique_ptr<RaftGroup>, 2> groups_;
  std::size_t openGroups_ = 0;
  std::array<MembershipReconciler, 2> reconcilers_;
  std::array<TimePoint, 2> nextReconcileAt_{};
  std::size_t nextContact_ = 0;
  std::string leaderHint_;
  TimePoint leaderSeenAt_;
  std::array<bool, 2> isFlushDue_{};
  std::array<bool, 2> wasLeader_{};
  MemberLink link_;
  LoggedTasks tasks_;
};

RaftMember::RaftMember(ControlLoop& aLoop,
                       Clock aClock,
                       MemberSettings aSettings)
  : state_(
      std::make_unique<State>(aLoop, std::move(aClock), std::move(aSettings)))
{
}

RaftMember::~RaftMember() = default;

std::optional<Address>
RaftMember::PreviousControlAddress() const
{
  auto previous =
    ParseAddress(state_->folder_.identity_.member_.controlAddress_);
  return previous ? std::optional(*previous) : std::nullopt;
}

void
RaftMember::Start(const Address& aControlAddress,
                  const std::vector<StateMachine>& aMachines)
{
  state_->Listen(aControlAddress);
  state_->Open(aMachines);
  state_->tasks_.Add(state_->TickPeriodically());
  state_->tasks_.Add(state_->JoinPeriodically());
}

void
RaftMember::Propose(GroupName aGroup, BytesView aCommand, GroupCallback aDone)
{
  state_->CallLeader(MemberCall::Propose,
                     aGroup,
                     { aCommand.begin(), aCommand.end() },
                     std::move(aDone),
                     state_->clock_.Now() + kLeaderSearchTimeout);
}

void
RaftMember::Query(GroupName aGroup, BytesView aQuery, GroupCallback aDone)
{
  state_->CallLeader(MemberCall::Query,
                     aGroup,
                     { aQuery.begin(), aQuery.end() },
                     std::move(aDone),
                     state_->clock_.Now() + kLeaderSearchTimeout);
}

void
RaftMember::Advance(GroupName aGroup,
                    const RepairGoal& aGoal,
                    const StatusCallback& aDone)
{
  state_->CallLeader(
    MemberCall::Advance,
    aGroup,
    EncodeGoal(aGoal),
    [aDone](GroupResult aResult) {
      aDone(aResult.map([](const Bytes& aIt) { return DecodeStatus(aIt); }));
    },
    state_->clock_.Now() + kLeaderSearchTimeout);
}

void
RaftMember::Identify(const std::string& aAddress,
                     MemberLink::IdentityCallback aDone)
{
  state_->link_.Identify(aAddress, std::move(aDone));
}

void
RaftMember::SetContacts(std::vector<Address> aContacts)
{
  state_->settings_.contacts_ = std::move(aContacts);
}

const RaftGroup&
RaftMember::Group(GroupName aGroup) const
{
  return *state_->groups_.at(static_cast<std::size_t>(aGroup));
}

const MemberIdentity&
RaftMember::Identity() const
{
  return state_->folder_.identity_;
}

} // namespace tanagerstall
