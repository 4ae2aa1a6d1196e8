#ifndef TANAGERSTALL_CALLER_PROTOCOL_HPP_INCLUDED
#define TANAGERSTALL_CALLER_PROTOCOL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_replica_notice.hpp"

#include <functional>
#include <string>
#include <vector>

namespace tanagerstall {

/// The header fields that callers, entries and upstreams exchange. The
/// deployment chooses the names; the members describe the contents.
struct CallerProtocol
{
  /// The id of one request by a caller. Upstreams return it in the response.
  std::string requestId_;
  /// The number of milliseconds that the caller will wait.
  std::string timeRemaining_;
  /// The API key of the caller's organisation.
  std::string key_;
  /// The organisation that the key belongs to; set by the entry only.
  std::string organisation_;
  /// The id of the replica that the request is sent to. Any other replica
  /// refuses it.
  std::string expectedReplica_;
  /// The urgency from 0, the most urgent, to 9; set by the entry only.
  std::string urgency_;
  /// The number of prompt tokens and the maximum number of output tokens,
  /// separated by a comma.
  std::string tokenCounts_;
  /// The prompt's parts in order, as "ID:TOKENS" separated by commas.
  std::string promptParts_;
  /// The id of the request that brought the first event of the stream that this
  /// one resumes.
  std::string resumedRequest_;
  /// The upstream's signature of its response.
  std::string seal_;
  /// Present if the upstream did not run the request.
  std::string notRun_;
  /// Other fields that callers may not set.
  std::vector<std::string> reserved_;
  /// Reads what an upstream's response says of the upstream.
  std::function<ReplicaNotice(const HttpResponse&)> readNotice_;
};

} // namespace tanagerstall

#endif
