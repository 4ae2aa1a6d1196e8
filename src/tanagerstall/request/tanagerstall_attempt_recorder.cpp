#include "tanagerstall/request/tanagerstall_attempt_recorder.hpp"

#include "tanagerstall/request/tanagerstall_request_log.hpp"
#include "tanagerstall/request/tanagerstall_request_work.hpp"

namespace tanagerstall {

AttemptRecorder::AttemptRecorder(ReplicaChooser& aChooser,
                                 CrashQuarantine& aQuarantine,
                                 Metrics& aMetrics,
                                 Clock aClock)
  : chooser_(aChooser)
  , quarantine_(aQuarantine)
  , metrics_(aMetrics)
  , clock_(std::move(aClock))
{
}

void
AttemptRecorder::RecordAnswerLatency(const ForwardedRequest& aRequest)
{
  WorkClass work = WorkClassOf(aRequest);
  std::string_view organisation = aRequest.OrganisationName();
  TimePoint now = clock_.Now();
  metrics_.Observe(organisation,
                   work,
                   Measure::FirstToken,
                   aRequest.firstPartAt_.value_or(now) - aRequest.arrivedAt_);
  metrics_.Observe(
    organisation, work, Measure::Whole, now - aRequest.arrivedAt_);
  metrics_.Observe(
    organisation, work, Measure::BetweenTokens, aRequest.longestGap_);
}

void
AttemptRecorder::RecordAttempt(const ForwardedRequest& aRequest,
                               const Replica& aReplica,
                               const AttemptResult& aResult,
                               TimePoint aStartedAt)
{
  TimePoint now = clock_.Now();
  bool hasFirstPart =
    aRequest.firstPartAt_ && *aRequest.firstPartAt_ >= aStartedAt;
  if (hasFirstPart) {
    chooser_.ObserveFirstPart(
      aReplica, *aRequest.firstPartAt_ - aStartedAt, now);
  } else if (aResult.isSent_ && aResult.outcome_ == AttemptOutcome::Abandoned) {
    chooser_.ObserveFirstPart(aReplica, now - aStartedAt, now);
  }
  auto outcome =
    aResult.isServerError_ ? AttemptOutcome::Failed : aResult.outcome_;
  chooser_.Finish(aReplica, aRequest.cost_, outcome, now);
}

void
AttemptRecorder::RecordEvidence(const ForwardedRequest& aRequest,
                                const Replica& aReplica,
                                const AttemptResult& aResult,
                                bool aIsCounted)
{
  RequestCauses causes = aRequest.Causes();
  TimePoint now = clock_.Now();
  if (aResult.isConnectionLost_) {
    quarantine_.RecordLoss(causes, aReplica, aResult.begunAt_, now);
    return;
  }
  if (!aResult.isSuccess_) {
    // A lookup that finds nothing doesn't crash its replica either.
    causes.parts_ = {};
  }
  bool hasSurvived =
    aResult.isSuccess_ ||
    (aResult.outcome_ == AttemptOutcome::Answered && !aResult.isServerError_);
  if (hasSurvived && !aIsCounted) {
    quarantine_.RecordSuccess(causes, now);
  }
}

void
AttemptRecorder::RecordNotice(const Replica& aReplica,
                              const ReplicaNotice& aNotice)
{
  if (chooser_.RecordNotice(aReplica, aNotice, clock_.Now())) {
    LogReplicaNotice(aReplica, aNotice);
  }
}

void
AttemptRecorder::RecordRate(const Replica& aReplica,
                            const ReplicaNotice& aNotice,
                            TimePoint aSentAt)
{
  bool isNews = !aNotice.isRateUnreadable_ &&
                chooser_.RecordRate(
                  aReplica, aNotice.ratePerSecond_, aSentAt, clock_.Now());
  if (isNews) {
    LogReplicaRate(aReplica, aNotice.ratePerSecond_);
  }
}

} // namespace tanagerstall
