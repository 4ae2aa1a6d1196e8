#ifndef TANAGERSTALL_CALLER_PROTOCOL_HPP_INCLUDED
#define TANAGERSTALL_CALLER_PROTOCOL_HPP_INCLUDED

#include <string>
#include <vector>

namespace tanagerstall {

/// The header fields that callers, entries and upstreams use, by what they
/// hold. The names are the deployment's.
struct CallerProtocol
{
  /// Names one try of a caller; upstreams echo it.
  std::string requestId_;
  /// Milliseconds that the caller will wait.
  std::string timeRemaining_;
  /// The caller's key.
  std::string key_;
  /// The organisation that holds the key; ours to set.
  std::string organisation_;
  /// The id of the replica that is meant; another one refuses.
  std::string expectedReplica_;
  /// From 0, the most urgent, to 9; ours to set.
  std::string urgency_;
  /// Prompt tokens and the most output tokens, separated by a comma.
  std::string tokenCounts_;
  /// The prompt's parts in order, as "ID:TOKENS" separated by commas.
  std::string promptParts_;
  /// The upstream's signature of its answer.
  std::string seal_;
  /// Says that the upstream did not run the request.
  std::string notRun_;
  /// Other fields that callers may not set.
  std::vector<std::string> reserved_;
};

} // namespace tanagerstall

#endif
