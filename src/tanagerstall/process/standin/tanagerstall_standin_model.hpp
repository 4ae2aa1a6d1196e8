#ifndef TANAGERSTALL_STANDIN_MODEL_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_MODEL_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerstall {

/// A completion request to the stand-in of a model engine.
struct StandinCompletion
{
  bool isChat_ = false;
  bool isStreamed_ = false;
  bool includesUsage_ = false;
  /// The prompt without the text that an earlier attempt generated.
  std::string prompt_;
  /// The index of the first token to generate, which is the number of generated
  /// tokens in the last assistant message or at the end of the prompt.
  std::int64_t firstIndex_ = 0;
  std::int64_t maxTokens_ = 0;
};

/// Reads a request; std::nullopt for a body that is not a completion request.
std::optional<StandinCompletion>
ReadStandinCompletion(bool aIsChat, std::string_view aBody);

/// The text of a token, which depends only on the prompt and the index.
std::string
StandinToken(std::string_view aPrompt, std::int64_t aIndex);

/// The server-sent event of one token.
std::string
TokenEvent(const StandinCompletion& aCompletion, std::string_view aToken);

/// The events that end a stream: the finish reason, the usage if it was
/// requested, and "[DONE]".
std::string
FinalEvents(const StandinCompletion& aCompletion);

/// The JSON body of an answer that is not streamed.
std::string
CompletionBody(const StandinCompletion& aCompletion, std::string_view aText);

} // namespace tanagerstall

#endif
