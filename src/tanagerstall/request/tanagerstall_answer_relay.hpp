#ifndef TANAGERSTALL_ANSWER_RELAY_HPP_INCLUDED
#define TANAGERSTALL_ANSWER_RELAY_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_completion_stream.hpp"
#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include <optional>
#include <string>

namespace tanagerstall {

/// Relays the responses of a request's attempts to its caller as one complete
/// answer. Serves a single request.
class AnswerRelay
{
public:
  AnswerRelay(HttpExchange& aExchange, const ServiceCall& aCall);

  /// Returns the request for the next attempt. Engines serve lower values of
  /// `aPriority` first.
  HttpRequest NextRequest(int aPriority) const;
  /// Accepts the head of an attempt's response.
  void OnHead(HttpResponse aHead);
  /// Relays a part of the response body. Returns false if the attempt can't
  /// contribute to the answer any more.
  bool OnBodyPart(std::string_view aPart);
  /// Ends an attempt whose body is complete. Returns whether the caller has
  /// received the whole answer.
  bool Finish();
  /// Ends a lost attempt. Returns whether the caller has received the whole
  /// answer nevertheless.
  bool OnAttemptLost();
  /// Whether another attempt can continue the answer.
  bool CanRetry() const;
  /// Returns the number of prompt and generated tokens that the next attempt
  /// has to compute again.
  std::uint64_t TokensToRecompute() const;
  /// Returns the number of generated tokens that have arrived; 0 for an answer
  /// that isn't parsed as a completion.
  std::uint64_t GeneratedTokens() const;
  bool HasGenerated() const { return GeneratedTokens() > 0; }
  /// Whether part of the answer has been sent to the caller.
  bool HasStarted() const { return exchange_.HasStarted(); }

private:
  bool OnCompletionPart(std::string_view aPart);
  void StartStream();

  HttpExchange& exchange_;
  const ServiceCall& call_;
  /// Set for completions that are requested from upstreams as a stream.
  std::optional<CompletionStream> completion_;
  /// Whether the current attempt's answer is an event stream.
  bool isEventStream_ = false;
  HttpResponse head_;
};

} // namespace tanagerstall

#endif
