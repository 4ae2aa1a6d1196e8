#include "tanagerstall/process/tanagerstall_leader_tasks.hpp"

#include "tanagerstall/connection/tanagerstall_on_loop.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Time between two rounds of the leader tasks.
constexpr Duration kTaskInterval = std::chrono::milliseconds(500);
/// How long a confirmation by a quorum permits calls to the cloud. A successor
/// is elected after it was requested and waits for the whole lease.
constexpr Duration kPermitValidity = std::chrono::milliseconds(600);
/// The fraction of the lease in which nothing that was sent may arrive any
/// more. It covers the delay of the network and of a process that is late.
constexpr int kDeliveryMarginDivisor = 6;
/// Time from the end of a usage window until all entries have reported it.
constexpr std::chrono::milliseconds kUsageReportDelay{ 3000 };
/// The number of most recent ended windows that are still reported.
constexpr std::int64_t kMaxReportedWindows = 4;

/// Why a call got no answer; empty if it got one.
std::string
ErrorOf(const CloudCalls::Result& aResult)
{
  return aResult ? "" : aResult.error().detail_;
}

} // namespace

LeaderTasks::LeaderTasks(LeaderTaskSettings aSettings,
                         LeaderTaskHooks aHooks,
                         ControlLoop& aLoop,
                         Clock aClock,
                         RaftMember& aMember)
  : settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , loop_(aLoop)
  , clock_(std::move(aClock))
  , member_(aMember)
  , lease_(settings_.lease_)
{
}

const Raft&
LeaderTasks::Core() const
{
  return member_.Group(GroupName::Configuration).Core();
}

void
LeaderTasks::Observe(TimePoint aNow)
{
  // A leader that is paused by a full disk may have a successor already.
  bool isLeader = Core().Role() == RaftRole::Leader &&
                  !member_.Group(GroupName::Configuration).IsDiskFull();
  lease_.Observe(isLeader, Core().CurrentTerm(), aNow);
}

bool
LeaderTasks::IsSteadyLeader(TimePoint aNow) const
{
  return lease_.IsSteadyLeader(aNow);
}

bool
LeaderTasks::HasLease(TimePoint aNow) const
{
  return lease_.Token(aNow).has_value();
}

/// Has a quorum confirm that this member is still the leader, and updates the
/// lease and the fencing token.
void
LeaderTasks::ConfirmLease(const std::function<void(bool)>& aDone)
{
  if (Core().Role() != RaftRole::Leader) {
    aDone(false);
    return;
  }
  TimePoint requestedAt = clock_.Now();
  Term term = Core().CurrentTerm();
  auto confirm = [this, requestedAt, term, aDone](const GroupResult& aResult) {
    bool isLeader = aResult && Core().Role() == RaftRole::Leader &&
                    Core().CurrentTerm() == term;
    if (isLeader) {
      lease_.Confirm(term, requestedAt);
      confirmedAt_ = requestedAt;
    }
    auto token = lease_.Token(clock_.Now());
    token_ = isLeader && token == term ? term : 0;
    aDone(token_ != 0);
  };
  member_.Query(GroupName::Configuration,
                FleetState::EncodeQuery(FleetQuery::Rollouts),
                confirm);
}

bool
LeaderTasks::CanAct() const
{
  return token_ != 0 && clock_.Now() < confirmedAt_.load() + kPermitValidity;
}

CallPermit
LeaderTasks::Permit() const
{
  Duration deliveryTime =
    settings_.lease_ - settings_.lease_ / kDeliveryMarginDivisor;
  return { [this] { return CanAct(); },
           [this, deliveryTime] {
             return confirmedAt_.load() + deliveryTime - clock_.Now();
           } };
}

void
LeaderTasks::Run(Fiber& aFiber)
{
  while (true) {
    aFiber.Sleep(kTaskInterval);
    bool hasLease = aFiber.Await<bool>([&](std::function<void(bool)> aDone) {
      loop_.Post([this, aDone] { ConfirmLease(aDone); });
    });
    if (hasLease) {
      ReportUsage(aFiber);
      PlaceReplicas(aFiber);
    } else {
      // The next term as leader starts from the replicas that are ready then.
      placement_ = ReplicaPlacement();
    }
  }
}

void
LeaderTasks::PlaceReplicas(Fiber& aFiber)
{
  auto inputs = OnLoop<std::vector<PlacementInput>>(
    loop_, aFiber, [this] { return hooks_.readServices_(); });
  for (const auto& input : inputs) {
    for (const auto& order : placement_.Next(input, clock_.Now())) {
      if (!CanAct()) {
        return;
      }
      SendOrder(aFiber, order, input);
    }
  }
}

void
LeaderTasks::SendOrder(Fiber& aFiber,
                       const ReplicaOrder& aOrder,
                       const PlacementInput& aInput)
{
  FencingToken token{ settings_.id_, token_ };
  TimePoint begunAt = clock_.Now();
  Duration confirmed = begunAt - confirmedAt_.load();
  auto answer = hooks_.cloud_.orderReplicas_(aFiber, token, aOrder, Permit());
  const auto& domain = aInput.domains_.at(aOrder.failureDomain_);
  LogEvent(Severity::Info,
           "replicas ordered",
           { { "service", aOrder.service_ },
             { "failure_domain", aOrder.failureDomain_ },
             { "reclaimable", aOrder.isReclaimable_ },
             { "count", aOrder.count_ },
             { "ready",
               aOrder.isReclaimable_ ? domain.reclaimable_ : domain.onDemand_ },
             { "needed", placement_.Needed(aOrder.service_) },
             { "running", aInput.running_ },
             { "withdrawn", aInput.withdrawn_ },
             { "fence", token.fence_ },
             { "confirmed_ms", WholeMilliseconds(confirmed) },
             { "took_ms", WholeMilliseconds(clock_.Now() - begunAt) },
             { "answer", answer ? static_cast<int>(*answer) : -1 },
             { "error", ErrorOf(answer) } });
  placement_.OnAnswer(
    aOrder, answer.value_or(CloudAnswer::TryLater), clock_.Now());
}

/// Returns the oldest recent window that has ended and that this process has
/// not reported yet.
std::optional<std::int64_t>
LeaderTasks::NextWindow() const
{
  auto length = ToMilliseconds(settings_.usageWindow_);
  auto reportableUntil = ReadWallTime().time_since_epoch() - kUsageReportDelay;
  std::int64_t last = reportableUntil / length - 1;
  std::int64_t next =
    std::max(lastReportedWindow_ + 1, last - kMaxReportedWindows + 1);
  return next <= last ? std::optional(next) : std::nullopt;
}

/// Commits the usage of a window to the log before sending it, so that every
/// later report of this window, also by another leader, has the same content.
void
LeaderTasks::ReportUsage(Fiber& aFiber)
{
  auto window = NextWindow();
  if (!window) {
    return;
  }
  auto agreed = aFiber.Await<GroupResult>(
    [&](const std::function<void(GroupResult)>& aDone) {
      loop_.Post([this, window, aDone] {
        member_.Propose(GroupName::Configuration,
                        FleetState::EncodeUsage(hooks_.sumUsage_(*window)),
                        aDone);
      });
    });
  if (!agreed) {
    LogEvent(Severity::Warning,
             "usage not agreed",
             { { "window", *window }, { "error", agreed.error().detail_ } });
    return;
  }
  UsageWindow usage = FleetState::DecodeUsage(*agreed);
  FencingToken token{ settings_.id_, token_ };
  TimePoint begunAt = clock_.Now();
  Duration confirmed = begunAt - confirmedAt_.load();
  auto answer = hooks_.cloud_.reportUsage_(aFiber, token, usage, Permit());
  bool isAccepted = answer && *answer == CloudAnswer::Accepted;
  LogEvent(isAccepted ? Severity::Info : Severity::Warning,
           "usage reported",
           { { "window", *window },
             { "fence", token.fence_ },
             { "confirmed_ms", WholeMilliseconds(confirmed) },
             { "took_ms", WholeMilliseconds(clock_.Now() - begunAt) },
             { "accepted", isAccepted },
             { "error", ErrorOf(answer) } });
  if (isAccepted || (answer && *answer == CloudAnswer::Refused)) {
    lastReportedWindow_ = *window;
  }
}

} // namespace tanagerstall
