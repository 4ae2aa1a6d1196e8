#include "tanagerstall/request/tanagerstall_answer_relay.hpp"

#include "tanagerstall/request/tanagerstall_outcome.hpp"

namespace tanagerstall {

namespace {

/// A body of up to this size is buffered until it is complete, so that a lost
/// attempt can be retried without the caller noticing.
constexpr std::size_t kMaxBufferedBytes = 256UL * 1024;
constexpr int kStatusOk = 200;

std::optional<CompletionStream>
MakeCompletion(const ServiceCall& aCall)
{
  if (aCall.service_.protocol_ != ServiceProtocol::Model) {
    return std::nullopt;
  }
  CompletionStream stream(aCall.upstreamRequest_);
  if (!stream.IsStreamedByUpstream()) {
    return std::nullopt;
  }
  return stream;
}

/// Returns the header fields of an upstream's response that are relayed to the
/// caller, and the outcome.
std::vector<HttpHeader>
HeadersForCaller(const HttpResponse& aHead)
{
  std::vector<HttpHeader> headers;
  for (const auto* name : { "Content-Type",
                            "Cache-Control",
                            "Location",
                            "ETag",
                            "Last-Modified" }) {
    auto value = aHead.Header(name);
    if (!value.empty()) {
      headers.push_back({ name, std::string(value) });
    }
  }
  headers.push_back(
    { std::string(kOutcomeHeader), ToString(Outcome::Answered) });
  return headers;
}

} // namespace

AnswerRelay::AnswerRelay(HttpExchange& aExchange, const ServiceCall& aCall)
  : exchange_(aExchange)
  , call_(aCall)
  , completion_(MakeCompletion(aCall))
{
}

HttpRequest
AnswerRelay::NextRequest(int aPriority) const
{
  return completion_ ? completion_->NextRequest(aPriority)
                     : call_.upstreamRequest_;
}

void
AnswerRelay::OnHead(HttpResponse aHead)
{
  isEventStream_ =
    completion_.has_value() && aHead.status_ == kStatusOk &&
    aHead.Header("Content-Type").starts_with("text/event-stream");
  head_ = std::move(aHead);
  head_.headers_ = HeadersForCaller(head_);
  head_.body_.clear();
}

bool
AnswerRelay::OnBodyPart(std::string_view aPart)
{
  if (isEventStream_) {
    return OnCompletionPart(aPart);
  }
  if (HasGenerated()) {
    return false;
  }
  if (exchange_.HasStarted()) {
    return exchange_.WritePart(aPart);
  }
  head_.body_ += aPart;
  if (head_.body_.size() > kMaxBufferedBytes) {
    StartStream();
    return exchange_.WritePart(std::exchange(head_.body_, {}));
  }
  return true;
}

bool
AnswerRelay::OnCompletionPart(std::string_view aPart)
{
  auto out = completion_->Feed(aPart);
  if (!out) {
    return false;
  }
  if (!completion_->IsStreamed() || out->empty()) {
    return true;
  }
  if (!exchange_.HasStarted()) {
    StartStream();
  }
  return exchange_.WritePart(*out);
}

void
AnswerRelay::StartStream()
{
  exchange_.StartStream(head_);
}

bool
AnswerRelay::Finish()
{
  if (isEventStream_) {
    if (!completion_->IsDone()) {
      return OnAttemptLost();
    }
    if (completion_->IsStreamed()) {
      exchange_.EndStream();
    } else {
      HttpResponse answer = completion_->WholeAnswer();
      answer.headers_.push_back(
        { std::string(kOutcomeHeader), ToString(Outcome::Answered) });
      exchange_.Respond(answer);
    }
    return true;
  }
  if (HasGenerated()) {
    return OnAttemptLost();
  }
  if (exchange_.HasStarted()) {
    exchange_.EndStream();
  } else {
    exchange_.Respond(head_);
  }
  return true;
}

bool
AnswerRelay::OnAttemptLost()
{
  head_.body_.clear();
  if (!completion_) {
    return false;
  }
  completion_->OnAttemptLost();
  auto rest = completion_->CloseWithoutAttempt();
  if (!rest) {
    return false;
  }
  isEventStream_ = true;
  if (completion_->IsStreamed()) {
    exchange_.WritePart(*rest);
  }
  return Finish();
}

bool
AnswerRelay::CanRetry() const
{
  if (!exchange_.HasStarted()) {
    return !completion_ || completion_->CanResume();
  }
  return completion_.has_value() && completion_->CanResume();
}

std::uint64_t
AnswerRelay::GeneratedTokens() const
{
  return completion_ ? completion_->GeneratedTokens() : 0;
}

std::uint64_t
AnswerRelay::TokensToRecompute() const
{
  return call_.traits_.promptTokens_ + GeneratedTokens();
}

} // namespace tanagerstall
