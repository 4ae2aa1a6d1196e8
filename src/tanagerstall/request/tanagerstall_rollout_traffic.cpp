#include "tanagerstall/request/tanagerstall_rollout_traffic.hpp"

namespace tanagerstall {

namespace {

SentOutcome
OutcomeOf(const AttemptResult& aResult, bool aHasFirstPart)
{
  if (aResult.isServerError_) {
    return SentOutcome::Failed;
  }
  switch (aResult.outcome_) {
    case AttemptOutcome::Answered:
      return SentOutcome::Answered;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Broken:
      return SentOutcome::Failed;
    case AttemptOutcome::Abandoned:
      // A caller that left says nothing about the version.
      return aResult.isLate_ && !aHasFirstPart ? SentOutcome::Failed
                                               : SentOutcome::Neutral;
    case AttemptOutcome::Refused:
    case AttemptOutcome::Misdirected:
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Withdrawn:
      return SentOutcome::Neutral;
  }
  return SentOutcome::Neutral;
}

} // namespace

RolloutTraffic::RolloutTraffic(ReplicaChooser& aChooser, std::uint64_t aSeed)
  : chooser_(aChooser)
  , router_(aSeed)
  , replicas_(std::make_shared<ReplicasByService>())
{
}

void
RolloutTraffic::SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas)
{
  replicas_ = std::move(aReplicas);
  chooser_.SetReplicas(router_.Filter(replicas_));
}

void
RolloutTraffic::Adopt(const std::vector<RolloutDirective>& aDirectives,
                      const std::string& aControl,
                      std::optional<TimePoint> aSharesUntil)
{
  bool hasChanged = router_.Adopt(aDirectives, aControl, aSharesUntil);
  for (const auto& rollout : router_.Rollouts()) {
    if (rollout.state_ == RolloutState::Running) {
      counter_.Begin(rollout);
    } else {
      counter_.End(rollout.order_.service_);
    }
  }
  if (hasChanged) {
    chooser_.SetReplicas(router_.Filter(replicas_));
  }
}

void
RolloutTraffic::Renew(const std::string& aControl, TimePoint aSharesUntil)
{
  router_.Renew(aControl, aSharesUntil);
}

RolloutSide
RolloutTraffic::Assign(const std::string& aService,
                       std::uint64_t aSession,
                       TimePoint aNow)
{
  return router_.Assign(aService, aSession, aNow);
}

RolloutSide
RolloutTraffic::SideAfter(RolloutSide aSide,
                          const std::string& aService,
                          TimePoint aNow) const
{
  return aSide == RolloutSide::New ? router_.SideAfterFailure(aService, aNow)
                                   : aSide;
}

std::optional<Replica>
RolloutTraffic::Choose(const ChoiceRequest& aRequest,
                       RolloutSide& aSide,
                       TimePoint aNow)
{
  return router_.Choose(chooser_, aRequest, aSide, aNow);
}

RolloutAttempt::RolloutAttempt(RolloutTraffic& aTraffic,
                               const Replica& aReplica,
                               const Route& aRoute,
                               Clock aClock)
  : counter_(aTraffic.Counter())
  , replica_(aReplica)
  , route_(aRoute)
  , clock_(std::move(aClock))
{
}

/// An attempt that was interrupted has ended as well.
RolloutAttempt::~RolloutAttempt()
{
  if (sent_) {
    counter_.OnEnd(*sent_, SentOutcome::Neutral, clock_.Now());
  }
}

bool
RolloutAttempt::OnSend()
{
  sent_ = counter_.OnSent(replica_, route_.name_, clock_.Now());
  return true;
}

void
RolloutAttempt::OnEvent()
{
  if (sent_) {
    counter_.OnFirstPart(*sent_, clock_.Now());
  }
}

void
RolloutAttempt::OnEnd(const AttemptResult& aResult)
{
  if (sent_) {
    SentOutcome outcome = OutcomeOf(aResult, sent_->hasFirstPart_);
    counter_.OnEnd(*sent_, outcome, clock_.Now());
    sent_.reset();
  }
}

} // namespace tanagerstall
