#include "tanagerstall/process/tanagerstall_rollout_orders.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

tl::unexpected<RolloutError>
Unavailable(std::string aDetail)
{
  return tl::make_unexpected(
    RolloutError{ RolloutFault::Unavailable, std::move(aDetail) });
}

/// Whether the replica gets requests after the latest roll-out has ended.
bool
IsServing(const Replica& aReplica, const Rollout& aLatest)
{
  bool hasVersion = aReplica.version_ == aLatest.order_.version_;
  if (aLatest.state_ == RolloutState::RolledBack) {
    return !hasVersion;
  }
  auto endedAt =
    static_cast<std::uint64_t>(aLatest.endedAt_.time_since_epoch().count());
  return hasVersion || aReplica.startTimeMs_ > endedAt;
}

/// Whether the record of roll-outs alone decides about an order of this
/// version, which it does as long as one runs and for the version that the last
/// one moved the traffic to.
bool
IsDecidedByRecord(const std::string& aVersion, const RolloutFacts& aFacts)
{
  return aFacts.latest_ && (aFacts.latest_->state_ == RolloutState::Running ||
                            aFacts.latest_->order_.version_ == aVersion);
}

const char*
NameOf(const RolloutResult& aResult)
{
  if (!aResult) {
    return aResult.error().fault_ == RolloutFault::UnknownService
             ? "unknown service"
             : "unavailable";
  }
  switch (*aResult) {
    case RolloutReply::Accepted:
      return "accepted";
    case RolloutReply::Repeated:
      return "repeated";
    case RolloutReply::Conflict:
      return "another one is running";
    case RolloutReply::InForce:
      return "version in effect";
    case RolloutReply::Outdated:
      return "out of date";
  }
  return "unknown";
}

void
LogOrder(const RolloutOrder& aOrder, const RolloutResult& aResult)
{
  bool isAcknowledged = aResult && (*aResult == RolloutReply::Accepted ||
                                    *aResult == RolloutReply::Repeated);
  LogEvent(isAcknowledged ? Severity::Info : Severity::Warning,
           "rollout order",
           { { "service", aOrder.service_ },
             { "version", aOrder.version_ },
             { "duration_ms", aOrder.duration_.count() },
             { "acknowledged", isAcknowledged },
             { "result", NameOf(aResult) },
             { "error", aResult ? "" : aResult.error().detail_ } });
}

} // namespace

RolloutFacts
FactsOf(const std::string& aService,
        const FleetState& aState,
        const ReplicasByService& aReplicas)
{
  RolloutFacts facts;
  // A roll-out in the log shows that all members could apply its command.
  facts.canAllApply_ = !aState.Rollouts().empty();
  if (auto it = aReplicas.find(aService); it != aReplicas.end()) {
    facts.replicas_ = it->second;
  }
  if (const Rollout* latest = aState.FindRollout(aService)) {
    facts.latest_ = *latest;
  }
  return facts;
}

VersionUse
JudgeVersion(const std::string& aVersion, const RolloutFacts& aFacts)
{
  if (IsDecidedByRecord(aVersion, aFacts)) {
    return VersionUse::NotInEffect;
  }
  std::size_t serving = 0;
  for (const auto& replica : aFacts.replicas_) {
    if (aFacts.latest_ && !IsServing(replica, *aFacts.latest_)) {
      continue;
    }
    if (replica.version_ != aVersion) {
      return VersionUse::NotInEffect;
    }
    ++serving;
  }
  if (!aFacts.hasHeardAll_) {
    return VersionUse::Unknown;
  }
  return serving > 0 ? VersionUse::InEffect : VersionUse::NotInEffect;
}

RolloutOrders::RolloutOrders(RolloutOrderHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

RolloutResult
RolloutOrders::Start(const RolloutOrder& aOrder) const
{
  RolloutResult result = Decide(aOrder);
  LogOrder(aOrder, result);
  return result;
}

tl::expected<RolloutsByService, GroupError>
RolloutOrders::Read() const
{
  return hooks_.query_(FleetState::EncodeQuery(FleetQuery::Rollouts))
    .map([](const Bytes& aIt) { return FleetState::DecodeRollouts(aIt); });
}

RolloutResult
RolloutOrders::Decide(const RolloutOrder& aOrder) const
{
  RolloutFacts facts = hooks_.readFacts_(aOrder.service_);
  if (!facts.isServiceKnown_) {
    if (auto checked = CheckService(aOrder.service_, facts); !checked) {
      return tl::make_unexpected(checked.error());
    }
  }
  if (JudgeVersion(aOrder.version_, facts) != VersionUse::NotInEffect ||
      !facts.canAllApply_) {
    if (auto confirmed = ConfirmRecord(aOrder.service_, facts); !confirmed) {
      return tl::make_unexpected(confirmed.error());
    }
    VersionUse use = JudgeVersion(aOrder.version_, facts);
    if (use == VersionUse::InEffect) {
      return RolloutReply::InForce;
    }
    if (use == VersionUse::Unknown) {
      return Unavailable("the versions of the replicas aren't known here yet");
    }
  }
  if (!facts.canAllApply_) {
    return Unavailable("not all control processes are known to be of a build "
                       "with roll-outs");
  }
  auto reply = hooks_.propose_(FleetState::EncodeStartRollout(aOrder));
  if (!reply) {
    return Unavailable(reply.error().detail_);
  }
  auto decoded = FleetState::DecodeRolloutReply(*reply);
  if (!decoded) {
    return Unavailable("the leader's reply to the order is unknown here");
  }
  return *decoded;
}

RolloutOrders::Check
RolloutOrders::CheckService(const std::string& aService,
                            const RolloutFacts& aFacts) const
{
  auto unknown = tl::make_unexpected(RolloutError{
    RolloutFault::UnknownService, "unknown service \"" + aService + "\"" });
  // Documents are large, so only the number is requested first.
  auto brief = hooks_.query_(FleetState::EncodeQuery(FleetQuery::Rollouts));
  if (!brief) {
    return Unavailable(brief.error().detail_);
  }
  if (NumberOf(FleetState::DecodeDeclaration(*brief)) == aFacts.declaration_) {
    return unknown;
  }
  auto whole = hooks_.query_(FleetState::EncodeQuery(FleetQuery::All));
  if (!whole) {
    return Unavailable(whole.error().detail_);
  }
  auto declaration = FleetState::DecodeDeclaration(*whole);
  if (!declaration) {
    return unknown;
  }
  auto plan = hooks_.decodePlan_(declaration->document_);
  if (!plan) {
    return Unavailable(plan.error().message_);
  }
  return plan->services_.contains(aService) ? Check() : unknown;
}

RolloutOrders::Check
RolloutOrders::ConfirmRecord(const std::string& aService,
                             RolloutFacts& aFacts) const
{
  auto rollouts = Read();
  if (!rollouts) {
    return Unavailable(rollouts.error().detail_);
  }
  aFacts.canAllApply_ = aFacts.canAllApply_ || !rollouts->empty();
  auto latest = rollouts->find(aService);
  aFacts.latest_ =
    latest == rollouts->end() ? std::nullopt : std::optional(latest->second);
  return {};
}

} // namespace tanagerstall
