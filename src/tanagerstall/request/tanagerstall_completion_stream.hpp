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

/// An upstream sent something that is no completion.
struct CompletionError
{
  std::string message_;
};

/// One completion over all its attempts. A plain state machine: it is fed the
/// bytes of each attempt's event stream and says what the caller gets. After
/// an attempt was lost the next one goes on behind the last whole event, so
/// that no token is missing or doubled.
class CompletionStream
{
public:
  /// `aRequest` is the caller's request with a JSON object as its body.
  explicit CompletionStream(const HttpRequest& aRequest);

  /// Whether the caller asked for a stream.
  bool IsStreamed() const { return isStreamed_; }
  /// Whether upstreams are asked for a stream, as they also are for a whole
  /// answer of plain text, so that a lost attempt can be resumed.
  bool IsStreamedByUpstream() const;
  /// The request for the next attempt: prompt and what was generated so far.
  /// A priority above 0 lets engines take other work first.
  HttpRequest NextRequest(int aPriority = 0) const;
  /// Takes the bytes of the current attempt; gives those for the caller.
  tl::expected<std::string, CompletionError> Feed(std::string_view aBytes);
  /// Ends an attempt that was lost.
  void OnAttemptLost();
  /// What ends the answer without another attempt, where all tokens have
  /// arrived and only the end was lost; nothing where tokens are missing.
  std::optional<std::string> CloseWithoutAttempt();

  /// Whether the caller has the whole answer.
  bool IsDone() const { return isDone_; }
  /// Whether another attempt can go on from here.
  bool CanResume() const;
  std::uint64_t GeneratedTokens() const { return generatedTokens_; }
  /// The answer to a request that was not to be streamed, once done.
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
  /// Tokens that the current attempt was given as a prefix.
  std::uint64_t prefixTokens_ = 0;
  boost::json::object firstChunk_;
  std::string finishReason_;
  boost::json::value usage_;
  bool isResumed_ = false;
  bool isDone_ = false;
};

} // namespace tanagerstall

#endif
