#include "tanagerstall/process/standin/tanagerstall_standin_model.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::string_view kFirstToken = "t0-";
constexpr std::size_t kBytesPerToken = 4;

/// The number of tokens in a text that consists of the first tokens generated
/// for a prompt; std::nullopt for any other text.
std::optional<std::int64_t>
CountTokens(std::string_view aPrompt, std::string_view aText)
{
  std::int64_t count = 0;
  while (!aText.empty()) {
    std::string token = StandinToken(aPrompt, count);
    if (!aText.starts_with(token)) {
      return std::nullopt;
    }
    aText.remove_prefix(token.size());
    ++count;
  }
  return count;
}

/// Joins the messages into the prompt. A last assistant message that consists
/// of generated tokens is not part of it.
void
ReadChatPrompt(const json::object& aBody, StandinCompletion& aCompletion)
{
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr) {
    return;
  }
  std::string prompt;
  for (const auto& message : messages->as_array()) {
    auto role = json::value_to<std::string>(message.at("role"));
    auto content = json::value_to<std::string>(message.at("content"));
    auto count = CountTokens(prompt, content);
    if (role == "assistant" && count &&
        &message == &messages->get_array().back()) {
      aCompletion.firstIndex_ = *count;
      break;
    }
    prompt.append(role).append(":").append(content).append("\n");
  }
  aCompletion.prompt_ = prompt;
}

/// Splits the text that an earlier attempt generated off the end of the prompt.
void
ReadTextPrompt(const json::object& aBody, StandinCompletion& aCompletion)
{
  const json::value* value = aBody.if_contains("prompt");
  if (value == nullptr) {
    return;
  }
  auto text = json::value_to<std::string>(*value);
  aCompletion.prompt_ = text;
  for (auto at = text.find(kFirstToken); at != std::string::npos;
       at = text.find(kFirstToken, at + 1)) {
    std::string prompt = text.substr(0, at);
    if (auto count = CountTokens(prompt, text.substr(at))) {
      aCompletion.prompt_ = prompt;
      aCompletion.firstIndex_ = *count;
      return;
    }
  }
}

json::object
MakeUsage(const StandinCompletion& aCompletion)
{
  auto prompt =
    static_cast<std::int64_t>(aCompletion.prompt_.size() / kBytesPerToken) +
    aCompletion.firstIndex_;
  return { { "prompt_tokens", prompt },
           { "completion_tokens", aCompletion.maxTokens_ },
           { "total_tokens", prompt + aCompletion.maxTokens_ } };
}

std::string
MakeEvent(const StandinCompletion& aCompletion, json::array aChoices)
{
  json::object event{ { "object",
                        aCompletion.isChat_ ? "chat.completion.chunk"
                                            : "text_completion" },
                      { "choices", std::move(aChoices) } };
  return "data: " + json::serialize(event) + "\n\n";
}

} // namespace

std::optional<StandinCompletion>
ReadStandinCompletion(bool aIsChat, std::string_view aBody)
{
  try {
    json::value body = json::parse({ aBody.data(), aBody.size() });
    const json::object& object = body.as_object();
    auto flag = [](const json::object& aIn, const char* aName) {
      const json::value* value = aIn.if_contains(aName);
      return value != nullptr && value->as_bool();
    };
    StandinCompletion completion;
    completion.isChat_ = aIsChat;
    completion.isStreamed_ = flag(object, "stream");
    if (const json::value* options = object.if_contains("stream_options")) {
      completion.includesUsage_ = flag(options->as_object(), "include_usage");
    }
    const json::value* max = object.if_contains("max_tokens");
    completion.maxTokens_ =
      max != nullptr ? max->to_number<std::int64_t>() : kDefaultMaxTokens;
    if (aIsChat) {
      ReadChatPrompt(object, completion);
    } else {
      ReadTextPrompt(object, completion);
    }
    return completion;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
StandinToken(std::string_view aPrompt, std::int64_t aIndex)
{
  constexpr std::uint64_t kWords = 10'000;
  std::string index = std::to_string(aIndex);
  auto word = Checksum(ViewOf(std::string(aPrompt) + "#" + index)) % kWords;
  return "t" + index + "-" + std::to_string(word) + " ";
}

std::string
TokenEvent(const StandinCompletion& aCompletion, std::string_view aToken)
{
  json::object choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aCompletion.isChat_) {
    choice["delta"] = json::object{ { "content", aToken } };
  } else {
    choice["text"] = aToken;
  }
  return MakeEvent(aCompletion, { choice });
}

std::string
FinalEvents(const StandinCompletion& aCompletion)
{
  json::object choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (aCompletion.isChat_) {
    choice["delta"] = json::object{};
  } else {
    choice["text"] = "";
  }
  std::string events = MakeEvent(aCompletion, { choice });
  if (aCompletion.includesUsage_) {
    json::object event{ { "choices", json::array{} },
                        { "usage", MakeUsage(aCompletion) } };
    events += "data: " + json::serialize(event) + "\n\n";
  }
  return events + "data: [DONE]\n\n";
}

std::string
CompletionBody(const StandinCompletion& aCompletion, std::string_view aText)
{
  json::object choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (aCompletion.isChat_) {
    choice["message"] =
      json::object{ { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  json::object answer{
    { "object", aCompletion.isChat_ ? "chat.completion" : "text_completion" },
    { "choices", json::array{ choice } },
    { "usage", MakeUsage(aCompletion) }
  };
  return json::serialize(answer);
}

} // namespace tanagerstall
