#include "tanagerstall/request/tanagerstall_request_reporter.hpp"

namespace tanagerstall {

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr int kFirstErrorStatus = 400;

WorkClass
ClassOf(const ServiceCall& aCall)
{
  if (aCall.service_.protocol_ == ServiceProtocol::Plain) {
    return WorkClass::Plain;
  }
  return aCall.traits_.maxTokens_ <= kShortTokens ? WorkClass::Short
                                                  : WorkClass::Long;
}

} // namespace

RequestReporter::RequestReporter(std::string aEntryId, Metrics& aMetrics)
  : entryId_(std::move(aEntryId))
  , metrics_(aMetrics)
{
}

std::string
RequestReporter::RegisterRequest(const HttpRequest& aRequest)
{
  metrics_.Count(Counter::Requests);
  auto given = aRequest.Header("X-Request-Id");
  if (!given.empty() && given.size() <= kMaxRequestIdBytes) {
    return std::string(given);
  }
  return entryId_ + "-" + std::to_string(++lastRequest_);
}

DispatchObserver
RequestReporter::AsObserver()
{
  return { [this](const ServiceCall& aCall, const RetryEvent& aRetry) {
            OnRetry(aCall, aRetry);
          },
           [this](const ServiceCall& aCall, Measure aMeasure, Duration aTime) {
             metrics_.Observe(
               aCall.traits_.organisation_, ClassOf(aCall), aMeasure, aTime);
           },
           [this](const ServiceCall& aCall, std::string_view aReason) {
             OnRefusal(aCall.requestId_, aReason);
           } };
}

void
RequestReporter::OnAtMostOnceEnd(const ServiceCall& aCall,
                                 int aStatus,
                                 Duration aTime)
{
  if (aStatus >= kFirstErrorStatus) {
    OnRefusal(aCall.requestId_, "status_" + std::to_string(aStatus));
  } else if (aStatus != 0) {
    metrics_.Observe(
      aCall.traits_.organisation_, ClassOf(aCall), Measure::Whole, aTime);
  }
}

void
RequestReporter::OnRefusal(std::string_view aRequestId, std::string_view aCode)
{
  metrics_.CountRefusal(aCode);
  LogDecision(DecisionKind::Refuse, aRequestId, aCode);
}

void
RequestReporter::OnRetry(const ServiceCall& aCall, const RetryEvent& aRetry)
{
  metrics_.Count(aRetry.isResume_ ? Counter::Resumes : Counter::Retries);
  metrics_.Count(Counter::RecomputedTokens, aRetry.recomputedTokens_);
  LogDecision(aRetry.isResume_ ? DecisionKind::Resume : DecisionKind::Retry,
              aCall.requestId_,
              aRetry.reason_,
              aRetry.upstream_);
}

} // namespace tanagerstall
