#include "tanagerstall/request/tanagerstall_request_admission.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/request/tanagerstall_request_work.hpp"

#include <functional>
#include <utility>

namespace tanagerstall {

namespace {

AdmissionRequest
Describe(const ForwardedRequest& aRequest, TimePoint aNow)
{
  AdmissionRequest described;
  described.service_ = aRequest.service_;
  described.rank_ = aRequest.Rank();
  described.promptTokens_ = aRequest.prompt_.promptTokens_;
  described.work_ = aRequest.cost_;
  described.caller_ =
    std::hash<std::string_view>()(aRequest.OrganisationName()) ^
    aRequest.prompt_.LastSharedPart();
  described.target_ = aRequest.route_->targetLatency_;
  described.timeout_ = aRequest.route_->timeout_;
  described.timeLeft_ = aRequest.deadline_ - aNow;
  return described;
}

void
LogNotAdmitted(const ForwardedRequest& aRequest,
               const AdmissionDecision& aDecision,
               TimePoint aNow)
{
  LogEvent(Severity::Info,
           "request not admitted",
           { { "request", aRequest.id_ },
             { "service", aRequest.service_ },
             { "priority", aDecision.priority_ },
             { "level", aDecision.level_ },
             { "estimate_ms", WholeMilliseconds(aDecision.estimate_) },
             { "left_ms", WholeMilliseconds(aRequest.deadline_ - aNow) },
             { "retry_after_ms", WholeMilliseconds(aDecision.retryAfter_) },
             // -1 if the level is the entry's own.
             { "shared_age_ms",
               aDecision.sharedAge_ ? WholeMilliseconds(*aDecision.sharedAge_)
                                    : -1 } });
}

} // namespace

std::optional<ForwardRefusal>
RefuseByAdmission(AdmissionControl& aControl,
                  const ForwardedRequest& aRequest,
                  TimePoint aNow)
{
  auto decision = aControl.Decide(Describe(aRequest, aNow), aNow);
  if (!decision.isRefused_) {
    return std::nullopt;
  }
  LogNotAdmitted(aRequest, decision, aNow);
  ForwardRefusal refusal = decision.isHopeless_ ? kTooLate : kOverloaded;
  refusal.retryAfter_ = decision.retryAfter_;
  return refusal;
}

AdmissionObserver::AdmissionObserver(AdmissionControl& aControl,
                                     const ForwardedRequest& aRequest,
                                     Clock aClock)
  : control_(aControl)
  , described_(Describe(aRequest, aClock.Now()))
  , deadline_(aRequest.deadline_)
  , clock_(std::move(aClock))
  , sentAt_(clock_.Now())
{
  control_.OnSend(described_, sentAt_);
}

AdmissionObserver::~AdmissionObserver()
{
  TimePoint now = clock_.Now();
  std::optional<Duration> expiredWait;
  if (!hadFirstPart_ && now >= deadline_) {
    expiredWait = now - sentAt_;
  }
  control_.OnEnd(described_, hadFirstPart_, expiredWait, now);
}

void
AdmissionObserver::OnFirstPart()
{
  if (!std::exchange(hadFirstPart_, true)) {
    TimePoint now = clock_.Now();
    control_.OnFirstPart(described_, now - sentAt_, now);
  }
}

} // namespace tanagerstall
