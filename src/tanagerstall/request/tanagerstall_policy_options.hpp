#ifndef TANAGERSTALL_POLICY_OPTIONS_HPP_INCLUDED
#define TANAGERSTALL_POLICY_OPTIONS_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace tanagerstall {

/// Work of at most this many tokens counts as short.
constexpr std::uint64_t kShortTokens = 160;

/// How an upstream is chosen among those with remaining capacity.
enum class UpstreamChoice
{
  RoundRobin,
  Random,
  LeastOutstanding,
  ExpectedCompletion
};

/// The parts of the routing policy. Experiments disable single parts.
struct PolicyOptions
{
  UpstreamChoice choice_ = UpstreamChoice::ExpectedCompletion;
  /// Requests wait in the entry once its share of the upstreams is in use.
  bool hasConcurrencyLimit_ = true;
  /// Organisations are served by weight rather than in order of arrival.
  bool hasFairQueueing_ = true;
  /// Short work has queues of its own with a higher weight.
  bool hasShortFirst_ = true;
  /// Long work leaves part of the capacity free for short work.
  bool hasShortReservation_ = true;
  /// Dispatches tell engines to serve short work first.
  bool hasEnginePriority_ = true;
  /// Lengths are estimated from earlier responses.
  bool hasLengthEstimates_ = true;
  /// Work that exceeds the limit of short work counts as long from then on.
  bool hasDemotion_ = true;
  /// Upstreams without progress get no new requests.
  bool hasEjection_ = true;
  /// Attempts without a first token move to another upstream.
  bool hasMoves_ = true;
  /// Requests that probably can't meet their deadline are refused at once.
  bool hasEarlyRefusal_ = true;
  /// Upstreams that have probably cached the prompt's prefix are preferred.
  bool hasPrefixAffinity_ = true;
  bool hasRegionPreference_ = true;

  /// Average number of retries and moves allowed per request.
  double retryRatio_ = 0.2;
  /// The region of the entry; empty if unknown.
  std::string region_;
};

/// Returns a policy that uses `aChoice` and disables all other parts.
PolicyOptions
BaselinePolicy(UpstreamChoice aChoice);

} // namespace tanagerstall

#endif
