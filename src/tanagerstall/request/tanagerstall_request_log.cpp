#include "tanagerstall/request/tanagerstall_request_log.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

namespace tanagerstall {

namespace {

std::string_view
RouteOf(const ForwardedRequest& aRequest)
{
  return aRequest.route_ == nullptr ? std::string_view()
                                    : aRequest.route_->name_;
}

/// The ids of the shared prompt parts in hexadecimal, separated by commas.
std::string
PromptPartsOf(const ForwardedRequest& aRequest)
{
  std::string text;
  for (std::uint64_t part : aRequest.prompt_.sharedParts_) {
    text += (text.empty() ? "" : ",") + ToHex(part);
  }
  return text;
}

} // namespace

void
LogAnswered(const ForwardedRequest& aRequest,
            const Replica& aReplica,
            int aStatus,
            TimePoint aNow)
{
  TimePoint firstAt = aRequest.firstPartAt_.value_or(aNow);
  LogEvent(Severity::Info,
           "answered",
           { { "request", aRequest.id_ },
             { "route", RouteOf(aRequest) },
             { "plan", NumberOf(aRequest.plan_.get()) },
             { "organisation", aRequest.OrganisationName() },
             { "prompt_tokens", aRequest.prompt_.promptTokens_ },
             { "output_tokens", aRequest.prompt_.maxOutputTokens_ },
             { "replica", aReplica.id_ },
             { "status", aStatus },
             { "sends", aRequest.sends_ },
             { "running_there", aRequest.runningAtReplica_ },
             { "first_ms", WholeMilliseconds(firstAt - aRequest.arrivedAt_) },
             { "gap_ms", WholeMilliseconds(aRequest.longestGap_) },
             { "whole_ms", WholeMilliseconds(aNow - aRequest.arrivedAt_) } });
}

void
LogRefused(const ForwardedRequest& aRequest,
           int aStatus,
           std::string_view aReason,
           std::size_t aReplicas,
           TimePoint aNow)
{
  LogEvent(Severity::Info,
           "request refused",
           { { "request", aRequest.id_ },
             { "reason", aReason },
             { "status", aStatus },
             { "route", RouteOf(aRequest) },
             { "plan", NumberOf(aRequest.plan_.get()) },
             { "organisation", aRequest.OrganisationName() },
             { "cost", aRequest.limitCost_ },
             { "service", aRequest.service_ },
             { "sends", aRequest.sends_ },
             { "waited_ms", WholeMilliseconds(aNow - aRequest.arrivedAt_) },
             { "replicas", aReplicas } });
}

void
LogAttemptFailed(const ForwardedRequest& aRequest, const AttemptResult& aResult)
{
  LogEvent(Severity::Info,
           "attempt failed",
           { { "request", aRequest.id_ },
             { "replica", aRequest.lastReplica_ },
             { "sent", aResult.isSent_ },
             { "may_have_run", aResult.MayHaveRun() },
             { "answer_begun", aResult.hasHead_ },
             { "prompt_parts", PromptPartsOf(aRequest) },
             { "fingerprint", ToHex(aRequest.fingerprint_) },
             { "detail", aResult.detail_ } });
}

void
LogQuarantined(const QuarantineDecision& aDecision)
{
  if (aDecision.service_.empty()) {
    LogEvent(Severity::Warning,
             "prompt part quarantined",
             { { "part", ToHex(aDecision.cause_) },
               { "crashes", aDecision.crashes_ },
               { "answered", aDecision.answered_ },
               { "lost", aDecision.lost_ },
               { "for_s", aDecision.duration_.count() } });
    return;
  }
  LogEvent(Severity::Warning,
           "request quarantined",
           { { "fingerprint", ToHex(aDecision.cause_) },
             { "service", aDecision.service_ },
             { "crashes", aDecision.crashes_ },
             { "answered", aDecision.answered_ },
             { "lost", aDecision.lost_ },
             { "for_s", aDecision.duration_.count() } });
}

void
LogReplicaRate(const Replica& aReplica, std::optional<double> aPerSecond)
{
  LogEvent(Severity::Info,
           aPerSecond ? "replica limits its rate"
                      : "replica no longer limits its rate",
           { { "replica", aReplica.id_ },
             { "service", aReplica.service_ },
             { "start_ms", aReplica.startTimeMs_ },
             { "per_s", aPerSecond.value_or(0.0) } });
}

void
LogReplicaNotice(const Replica& aReplica, const ReplicaNotice& aNotice)
{
  LogEvent(Severity::Info,
           aNotice.isLeaving_ ? "replica leaves" : "replica backs off",
           { { "replica", aReplica.id_ },
             { "service", aReplica.service_ },
             { "start_ms", aReplica.startTimeMs_ },
             { "for_ms", WholeMilliseconds(aNotice.backoff_) } });
}

void
LogFailure(std::string_view aEvent,
           const ForwardedRequest& aRequest,
           const AttemptResult& aLast,
           TimePoint aNow)
{
  LogEvent(Severity::Info,
           aEvent,
           { { "request", aRequest.id_ },
             { "route", RouteOf(aRequest) },
             { "repeatable", aRequest.route_->IsIdempotent() },
             { "plan", NumberOf(aRequest.plan_.get()) },
             { "replica", aRequest.lastReplica_ },
             { "running_there", aRequest.runningAtReplica_ },
             { "sends", aRequest.sends_ },
             { "runs", aRequest.runs_ },
             { "last_event", aRequest.lastEventId_ },
             { "waited_ms", WholeMilliseconds(aNow - aRequest.arrivedAt_) },
             { "allowed_ms",
               WholeMilliseconds(aRequest.deadline_ - aRequest.arrivedAt_) },
             { "late", aLast.isLate_ },
             { "detail", aLast.detail_ } });
}

} // namespace tanagerstall
