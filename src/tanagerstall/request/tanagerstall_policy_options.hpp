#ifndef TANAGERSTALL_POLICY_OPTIONS_HPP_INCLUDED
#define TANAGERSTALL_POLICY_OPTIONS_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace tanagerstall {

/// Work of at most this many tokens counts as short.
constexpr std::uint64_t kShortTokens = 160;

/// How an upstream is chosen among those with room.
enum class UpstreamChoice
{
  RoundRobin,
  Random,
  LeastOutstanding,
  ExpectedCompletion
};

/// The parts of the routing policy. An experiment takes single parts out.
struct PolicyOptions
{
  UpstreamChoice choice_ = UpstreamChoice::ExpectedCompletion;
  /// Requests wait in the entry once upstreams hold their share.
  bool hasConcurrencyLimit_ = true;
  /// Organisations share by weight instead of in order of arrival.
  bool hasFairQueueing_ = true;
  /// Short work has its own queues, ahead of long work.
  bool hasShortFirst_ = true;
  /// Long work leaves part of the room free.
  bool hasShortReservation_ = true;
  /// Asks engines to take short work from their queues first.
  bool hasEnginePriority_ = true;
  /// Guesses lengths by what the organisation's requests took before.
  bool hasLengthEstimates_ = true;
  /// Work that ran longer than guessed counts as long.
  bool hasDemotion_ = true;
  /// Upstreams without progress get nothing new.
  bool hasEjection_ = true;
  /// Attempts without a first token move to another upstream.
  bool hasMoves_ = true;
  bool hasEarlyRefusal_ = true;
  /// Prefers upstreams that probably hold the prompt's prefix.
  bool hasPrefixAffinity_ = true;
  bool hasRegionPreference_ = true;

  /// Retries and moves per request.
  double retryRatio_ = 0.2;
  /// The place of the entry; empty for none.
  std::string region_;
};

/// A policy that only chooses, without any of the other parts.
PolicyOptions
BaselinePolicy(UpstreamChoice aChoice);

} // namespace tanagerstall

#endif
