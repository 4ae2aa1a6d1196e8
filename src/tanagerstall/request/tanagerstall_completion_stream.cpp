#include "tanagerstall/request/tanagerstall_completion_stream.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::string_view kDoneData = "[DONE]";
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";
/// Fields that have to be equal in all chunks of one answer.
constexpr const char* kIdentityFields[] = { "id", "created", "model" };

std::string
EventOf(const json::object& aChunk)
{
  return "data: " + json::serialize(aChunk) + "\n\n";
}

bool
FlagOf(const json::object& aBody, const char* aName)
{
  const json::value* value = aBody.if_contains(aName);
  return value != nullptr && value->is_bool() && value->get_bool();
}

/// Whether the answer is a single plain text. Only such an answer can be
/// continued by another attempt.
bool
IsResumableText(const json::object& aBody)
{
  const json::value* choices = aBody.if_contains("n");
  bool isOneChoice = choices == nullptr || *choices == json::value(1);
  return isOneChoice && !aBody.contains("tools") &&
         !aBody.contains("functions") && !aBody.contains("logprobs") &&
         !aBody.contains("response_format");
}

/// Whether a chunk carries neither text nor a finish reason, as the first chunk
/// of a chat completion does.
bool
IsOpening(const json::object& aChunk)
{
  const json::value* choices = aChunk.if_contains("choices");
  if (choices == nullptr || choices->as_array().empty()) {
    return false;
  }
  const json::object& choice = choices->get_array().front().as_object();
  const json::value* delta = choice.if_contains("delta");
  const json::value* reason = choice.if_contains("finish_reason");
  if (delta == nullptr || (reason != nullptr && reason->is_string())) {
    return false;
  }
  const json::value* content = delta->as_object().if_contains("content");
  return content == nullptr || !content->is_string() ||
         content->get_string().empty();
}

/// Appends the generated text to the prompt, or as the assistant message that
/// a chat completion is to continue.
void
AppendGenerated(json::object& aBody, bool aIsChat, const std::string& aText)
{
  if (!aIsChat) {
    json::value& prompt = aBody["prompt"];
    prompt =
      (prompt.is_string() ? std::string(prompt.get_string()) : std::string()) +
      aText;
    return;
  }
  json::value& messages = aBody["messages"];
  if (!messages.is_array()) {
    messages = json::array();
  }
  messages.get_array().push_back(
    json::object{ { "role", "assistant" }, { "content", aText } });
  aBody["continue_final_message"] = true;
  aBody["add_generation_prompt"] = false;
}

} // namespace

CompletionStream::CompletionStream(const HttpRequest& aRequest)
  : request_(aRequest)
  , body_(json::parse(aRequest.body_.Text()).as_object())
  , isChat_(aRequest.target_ == "/v1/chat/completions")
  , isStreamed_(FlagOf(body_, "stream"))
{
  if (const json::value* options = body_.if_contains("stream_options")) {
    isUsageRequested_ =
      options->is_object() && FlagOf(options->get_object(), "include_usage");
  }
  const json::value* limit = body_.if_contains("max_tokens");
  if (limit != nullptr && limit->is_int64()) {
    maxTokens_ = limit->get_int64();
  }
}

bool
CompletionStream::IsStreamedByUpstream() const
{
  return isStreamed_ || IsResumableText(body_);
}

HttpRequest
CompletionStream::NextRequest(int aPriority) const
{
  HttpRequest request = request_;
  bool isChanged =
    generatedTokens_ > 0 || aPriority > 0 || body_.contains("priority");
  if (!isChanged && (isStreamed_ || !IsStreamedByUpstream())) {
    return request;
  }
  json::object body = body_;
  // Only the entry sets the priority; a caller could otherwise bypass an
  // engine's queue.
  body.erase("priority");
  if (aPriority > 0) {
    body["priority"] = aPriority;
  }
  if (!isStreamed_ && IsStreamedByUpstream()) {
    body["stream"] = true;
    body["stream_options"] = json::object{ { "include_usage", true } };
  }
  if (generatedTokens_ > 0) {
    AppendGenerated(body, isChat_, generated_);
    if (maxTokens_) {
      body["max_tokens"] =
        *maxTokens_ - static_cast<std::int64_t>(generatedTokens_);
    }
  }
  request.body_ = json::serialize(body);
  return request;
}

tl::expected<std::string, CompletionError>
CompletionStream::Feed(std::string_view aBytes)
{
  std::string out;
  try {
    for (const auto& event : events_.Feed(aBytes)) {
      out += ProcessEvent(event);
    }
  } catch (const std::exception& failure) {
    return tl::make_unexpected(CompletionError{ failure.what() });
  }
  return out;
}

/// Returns the event as the caller receives it: with the first chunk's identity
/// fields and corrected usage, or "" if it is dropped.
std::string
CompletionStream::ProcessEvent(const std::string& aEvent)
{
  std::string_view data = EventStream::DataOf(aEvent);
  if (data.empty() || isDone_) {
    return {};
  }
  if (data == kDoneData) {
    isDone_ = true;
    return aEvent;
  }
  json::value value = json::parse({ data.data(), data.size() });
  json::object& chunk = value.as_object();
  if (!firstChunk_.empty() && isResumed_ && IsOpening(chunk)) {
    return {};
  }
  if (const json::value* choices = chunk.if_contains("choices")) {
    for (const json::value& choice : choices->as_array()) {
      ProcessChoice(choice.as_object());
    }
  }
  bool isChanged = CorrectUsage(chunk);
  if (const json::value* usage = chunk.if_contains("usage")) {
    usage_ = *usage;
  }
  if (firstChunk_.empty()) {
    firstChunk_ = chunk;
    return aEvent;
  }
  for (const auto* field : kIdentityFields) {
    const json::value* first = firstChunk_.if_contains(field);
    if (first != nullptr && chunk[field] != *first) {
      chunk[field] = *first;
      isChanged = true;
    }
  }
  return isChanged ? EventOf(chunk) : aEvent;
}

void
CompletionStream::ProcessChoice(const json::object& aChoice)
{
  const json::value* text = aChoice.if_contains("text");
  if (const json::value* delta = aChoice.if_contains("delta")) {
    text = delta->as_object().if_contains("content");
  }
  if (text != nullptr && text->is_string() && !text->get_string().empty()) {
    generated_ += std::string_view(text->get_string());
    ++generatedTokens_;
  }
  const json::value* reason = aChoice.if_contains("finish_reason");
  if (reason != nullptr && reason->is_string()) {
    finishReason_ = json::value_to<std::string>(*reason);
  }
}

/// Corrects the usage that a resumed attempt reports: the upstream counts the
/// generated prefix as prompt tokens, although it is completion to the caller.
/// Returns whether the chunk was changed.
bool
CompletionStream::CorrectUsage(json::object& aChunk) const
{
  json::value* usage = aChunk.if_contains("usage");
  if (usage == nullptr || !usage->is_object() || prefixTokens_ == 0) {
    return false;
  }
  auto shift = [&](const char* aField, std::int64_t aBy) {
    json::value* count = usage->get_object().if_contains(aField);
    if (count != nullptr && count->is_int64()) {
      *count = count->get_int64() + aBy;
    }
  };
  shift("prompt_tokens", -static_cast<std::int64_t>(prefixTokens_));
  shift("completion_tokens", static_cast<std::int64_t>(prefixTokens_));
  return true;
}

void
CompletionStream::OnAttemptLost()
{
  events_.DropPartial();
  isResumed_ = true;
  prefixTokens_ = generatedTokens_;
}

std::optional<std::string>
CompletionStream::CloseWithoutAttempt()
{
  std::string out;
  if (generatedTokens_ == 0 || isUsageRequested_ ||
      (finishReason_.empty() && !IsAtLimit())) {
    return std::nullopt;
  }
  if (finishReason_.empty()) {
    finishReason_ = "length";
    json::object chunk = firstChunk_;
    json::object choice{ { "index", 0 }, { "finish_reason", finishReason_ } };
    choice[isChat_ ? "delta" : "text"] =
      isChat_ ? json::value(json::object()) : json::value("");
    chunk["choices"] = json::array{ choice };
    out += EventOf(chunk);
  }
  isDone_ = true;
  return out + std::string(kDoneEvent);
}

bool
CompletionStream::CanResume() const
{
  if (generatedTokens_ == 0) {
    return true;
  }
  return IsResumableText(body_) && finishReason_.empty() && !IsAtLimit();
}

bool
CompletionStream::IsAtLimit() const
{
  return maxTokens_ &&
         static_cast<std::int64_t>(generatedTokens_) >= *maxTokens_;
}

HttpResponse
CompletionStream::WholeAnswer() const
{
  json::object choice{ { "index", 0 }, { "finish_reason", finishReason_ } };
  if (isChat_) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", generated_ } };
  } else {
    choice["text"] = generated_;
  }
  json::object answer;
  for (const auto* field : kIdentityFields) {
    if (const json::value* value = firstChunk_.if_contains(field)) {
      answer[field] = *value;
    }
  }
  answer["object"] = isChat_ ? "chat.completion" : "text_completion";
  answer["choices"] = json::array{ choice };
  if (usage_.is_object()) {
    answer["usage"] = usage_;
  }
  return JsonResponse(200, json::serialize(answer));
}

} // namespace tanagerstall
