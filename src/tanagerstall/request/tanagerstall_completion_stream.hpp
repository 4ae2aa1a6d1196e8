#ifndef TANAGERSTALL_COMPLETION_STREAM_HPP_INCLUDED
#define TANAGERSTALL_COMPLETION_STREAM_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_event_stream.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerstall {

/// The error for upstream bytes that are not a valid completion stream.
struct CompletionError
{
  std::string message_;
};

/// Merges the event streams of a completion's attempts into one answer. A state
/// machine without I/O: it is fed the bytes that upstreams send and returns the
/// bytes for the caller. After a lost attempt the next one continues after the
/// last complete event, so that no token is missing or duplicated.
class CompletionStream
{
public:
  /// `aRequest` is the caller's request with a JSON object as its body.
  explicit CompletionStream(const HttpRequest& aRequest);

  /// Whether the caller asked for a stream.
  bool IsStreamed() const { return isStreamed_; }
  /// Whether the upstream's response is requested as a stream. This also
  /// applies to a non-streamed plain-text answer, so that a lost attempt can be
  /// resumed.
  bool IsStreamedByUpstream() const;
  /// Returns the request for the next attempt, in which the text generated so
  /// far follows the prompt. `aPriority` above 0 is sent as the request's
  /// priority; engines serve lower values first.
  HttpRequest NextRequest(int aPriority = 0) const;
  /// Parses bytes of the current attempt and returns those for the caller.
  /// Fails if an event is not a valid chunk.
  tl::expected<std::string, CompletionError> Feed(std::string_view aBytes);
  /// Discards the incomplete event of a lost attempt and prepares the next
  /// attempt.
  void OnAttemptLost();
  /// Returns the bytes that end the answer without another attempt if all
  /// tokens have arrived and only the end of the stream was lost. Returns
  /// nothing if tokens or the requested usage are missing.
  std::optional<std::string> CloseWithoutAttempt();

  /// Whether the answer is complete.
  bool IsDone() const { return isDone_; }
  /// Whether another attempt can continue the answer.
  bool CanResume() const;
  std::uint64_t GeneratedTokens() const { return generatedTokens_; }
  /// Returns the response to a non-streamed request. Valid once IsDone().
  HttpResponse WholeAnswer() const;

private:
  std::string ProcessEvent(const std::string& aEvent);
  void ProcessChoice(const boost::json::object& aChoice);
  bool IsAtLimit() const;
  bool CorrectUsage(boost::json::object& aChunk) const;

  HttpRequest request_;
  boost::json::object body_;
  bool isChat_ = false;
  bool isStreamed_ = false;
  bool isUsageRequested_ = false;
  std::optional<std::int64_t> maxTokens_;

  EventStream events_;
  std::string generated_;
  std::uint64_t generatedTokens_ = 0;
  /// The generated tokens that the current attempt received as its prefix.
  std::uint64_t prefixTokens_ = 0;
  boost::json::object firstChunk_;
  std::string finishReason_;
  boost::json::value usage_;
  bool isResumed_ = false;
  bool isDone_ = false;
};

} // namespace tanagerstall

#endif
