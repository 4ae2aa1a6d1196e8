#ifndef TANAGERSTALL_ANSWER_RELAY_HPP_INCLUDED
#define TANAGERSTALL_ANSWER_RELAY_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_completion_stream.hpp"
#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include <optional>
#include <string>

namespace tanagerstall {

/// Passes the answers of a request's attempts on to its caller, so that the
/// caller sees one whole answer. Lives for one request.
class AnswerRelay
{
public:
  AnswerRelay(HttpExchange& aExchange, const ServiceCall& aCall);

  /// The request for the next attempt; engines take lower priorities first.
  HttpRequest NextRequest(int aPriority) const;
  /// Takes the head of an attempt's answer.
  void OnHead(HttpResponse aHead);
  /// Takes a part of the body. False when the attempt is of no use any more.
  bool OnBodyPart(std::string_view aPart);
  /// Ends an attempt whose body has ended; true when the caller has the
  /// whole answer.
  bool Finish();
  /// Ends an attempt that was lost; true when the caller has the whole answer
  /// all the same.
  bool OnAttemptLost();
  /// Whether another attempt can go on from here.
  bool CanRetry() const;
  /// Tokens that the next attempt computes again.
  std::uint64_t TokensToRecompute() const;
  /// Tokens of the answer that have arrived; 0 where they can't be told.
  std::uint64_t GeneratedTokens() const;
  bool HasGenerated() const { return GeneratedTokens() > 0; }
  /// Whether the caller has got part of the answer.
  bool HasStarted() const { return exchange_.HasStarted(); }

private:
  bool OnCompletionPart(std::string_view aPart);
  void StartStream();

  HttpExchange& exchange_;
  const ServiceCall& call_;
  /// Present for completions that upstreams stream.
  std::optional<CompletionStream> completion_;
  /// Whether the current attempt's answer is an event stream.
  bool isEventStream_ = false;
  HttpResponse head_;
};

} // namespace tanagerstall

#endif
