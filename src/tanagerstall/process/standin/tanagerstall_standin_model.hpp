#ifndef TANAGERSTALL_STANDIN_MODEL_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_MODEL_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerstall {

/// A completion as the stand-in of a model engine reads it.
struct StandinCompletion
{
  bool isChat_ = false;
  bool isStreamed_ = false;
  bool includesUsage_ = false;
  /// Without the text that was generated earlier.
  std::string prompt_;
  /// The index of the first token to generate: how many a last assistant
  /// message, or the end of the prompt, holds already.
  std::int64_t firstIndex_ = 0;
  std::int64_t maxTokens_ = 0;
};

/// Reads a request; nothing for a body that is no completion.
std::optional<StandinCompletion>
ReadStandinCompletion(bool aIsChat, std::string_view aBody);

/// The text of a token: the same for the same prompt and index.
std::string
StandinToken(std::string_view aPrompt, std::int64_t aIndex);

/// The server-sent event of one token.
std::string
TokenEvent(const StandinCompletion& aCompletion, std::string_view aToken);

/// What ends a stream: the reason, the usage if asked for, "[DONE]".
std::string
FinalEvents(const StandinCompletion& aCompletion);

/// The JSON body of a whole answer.
std::string
CompletionBody(const StandinCompletion& aCompletion, std::string_view aText);

} // namespace tanagerstall

#endif
