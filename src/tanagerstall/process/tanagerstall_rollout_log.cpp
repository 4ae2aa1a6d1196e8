#include "tanagerstall/process/tanagerstall_rollout_log.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

namespace tanagerstall {

namespace {

const char*
EventOf(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Running:
      return "rollout step";
    case RolloutState::Completed:
      return "rollout completed";
    case RolloutState::RolledBack:
      return "rollout rolled back";
  }
  return "";
}

} // namespace

void
LogRolloutStep(const RolloutStep& aStep)
{
  const RolloutOrder& order = aStep.rollout_.order_;
  RolloutEvidence evidence = aStep.evidence_.value_or(RolloutEvidence());
  bool isBad = aStep.state_ == RolloutState::RolledBack;
  LogEvent(isBad ? Severity::Warning : Severity::Info,
           EventOf(aStep.state_),
           { { "service", order.service_ },
             { "version", order.version_ },
             { "id", aStep.rollout_.id_ },
             { "reason", aStep.reason_ },
             { "request_share", aStep.requestShare_ },
             { "replica_share", aStep.replicaShare_ },
             { "new_replicas", aStep.replicas_.new_ },
             { "old_replicas", aStep.replicas_.old_ },
             { "new_sent", aStep.counts_.new_.sent_ },
             { "new_failed", aStep.counts_.new_.failed_ },
             { "old_sent", aStep.counts_.old_.sent_ },
             { "old_failed", aStep.counts_.old_.failed_ },
             { "route", evidence.route_ },
             { "bad", evidence.newBad_ },
             { "of", evidence.newAll_ },
             { "allowed_rate", evidence.allowedRate_ },
             { "weight", evidence.weight_ },
             { "threshold", evidence.threshold_ } });
}

} // namespace tanagerstall
