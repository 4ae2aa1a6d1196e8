#include "tanagerstall/request/tanagerstall_at_most_once_response.hpp"

#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <kj/encoding.h>

namespace tanagerstall {

namespace {

constexpr std::chrono::seconds kRetryAfter{ 1 };

HttpResponse
AnsweredResponse(const RecordedAnswer& aAnswer)
{
  return { aAnswer.status_,
           { { "Content-Type", aAnswer.contentType_ },
             { std::string(kOutcomeHeader), ToString(Outcome::Answered) } },
           aAnswer.body_ };
}

HttpResponse
PendingResponse(const std::string& aKey)
{
  HttpResponse response = JsonResponse(202, R"({"status":"accepted"})");
  response.headers_.push_back(
    { std::string(kOutcomeHeader), ToString(Outcome::Accepted) });
  response.headers_.push_back({ "Location", LocationOf(aKey) });
  response.headers_.push_back(
    { "Retry-After", std::to_string(kRetryAfter.count()) });
  return response;
}

} // namespace

std::string
LocationOf(const std::string& aKey)
{
  auto encoded = kj::encodeUriComponent(kj::arrayPtr(aKey.data(), aKey.size()));
  return std::string(kRequestsPrefix) + encoded.cStr();
}

std::optional<std::string>
KeyOfLocation(std::string_view aPath)
{
  if (!aPath.starts_with(kRequestsPrefix)) {
    return std::nullopt;
  }
  aPath.remove_prefix(kRequestsPrefix.size());
  auto decoded =
    kj::decodeUriComponent(kj::arrayPtr(aPath.data(), aPath.size()));
  if (decoded.hadErrors) {
    return std::nullopt;
  }
  return std::string(decoded.cStr(), decoded.size());
}

HttpResponse
ResponseTo(const Finish& aFinish, const std::string& aKey)
{
  switch (aFinish.outcome_) {
    case AtMostOnceOutcome::Answered:
      return AnsweredResponse(aFinish.answer_);
    case AtMostOnceOutcome::AnswerDropped:
      return RefusalResponse(410,
                             Outcome::Answered,
                             "answer_dropped",
                             "the request ran; its answer is no longer kept");
    case AtMostOnceOutcome::NotRun:
      return RefusalResponse(503,
                             Outcome::NotRun,
                             "not_run",
                             "the request was withdrawn and did not run",
                             kRetryAfter);
    case AtMostOnceOutcome::Pending:
      return PendingResponse(aKey);
    case AtMostOnceOutcome::Conflict:
      return RefusalResponse(
        409,
        Outcome::NotRun,
        "key_conflict",
        "the idempotency key was used with another request");
    case AtMostOnceOutcome::LedgerFull:
      return RefusalResponse(503,
                             Outcome::NotRun,
                             "ledger_full",
                             "no further request can be recorded now",
                             kRetryAfter);
    case AtMostOnceOutcome::Unknown:
      break;
  }
  return RefusalResponse(
    502,
    Outcome::Unknown,
    "outcome_unknown",
    "the request may have run; sending its key again is safe",
    kRetryAfter);
}

HttpResponse
RecordedOutcomeResponse(const LedgerRecord& aRecord)
{
  Finish finish;
  switch (aRecord.state_) {
    case RequestState::Accepted:
    case RequestState::Granted:
      finish.outcome_ = AtMostOnceOutcome::Pending;
      break;
    case RequestState::Answered:
      finish.outcome_ = aRecord.isAnswerDropped_
                          ? AtMostOnceOutcome::AnswerDropped
                          : AtMostOnceOutcome::Answered;
      finish.answer_ = aRecord.answer_;
      break;
    case RequestState::Withdrawn:
      finish.outcome_ = AtMostOnceOutcome::NotRun;
      break;
    case RequestState::Unknown:
    case RequestState::Absent:
      finish.outcome_ = AtMostOnceOutcome::Unknown;
      break;
  }
  return ResponseTo(finish, aRecord.key_);
}

} // namespace tanagerstall
