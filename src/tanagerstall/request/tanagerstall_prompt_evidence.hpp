#ifndef TANAGERSTALL_PROMPT_EVIDENCE_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_EVIDENCE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <vector>

namespace tanagerstall {

/// The ids of a prompt's parts, in order.
using PromptParts = std::vector<std::uint64_t>;

/// A replica was lost while it began to answer a request whose prompt contains
/// this part.
struct PromptCrash
{
  std::uint64_t part_ = 0;
  /// The entry's number of the lost request, counted from 1.
  std::uint64_t loss_ = 0;
  /// Identifies the replica.
  std::uint64_t replica_ = 0;
  std::chrono::milliseconds age_{ 0 };
  /// Whether the entry has seen a request with the part answered.
  bool wasAnswered_ = false;
};

/// The last request whose prompt contains this part and that was answered
/// whole.
struct PromptSuccess
{
  std::uint64_t part_ = 0;
  std::chrono::milliseconds age_{ 0 };
};

/// Requests that contain the part are refused for this long.
struct QuarantinedPart
{
  std::uint64_t part_ = 0;
  std::chrono::milliseconds remaining_{ 0 };
};

/// What an entry knows of the prompt parts that crash replicas.
struct PromptEvidence
{
  /// Requests with shared prompt parts since the entry started: those that were
  /// answered whole, and those whose replica was lost as it began to answer.
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::vector<PromptCrash> crashes_;
  /// For the parts that the leader suspects.
  std::vector<PromptSuccess> successes_;
  std::vector<QuarantinedPart> quarantined_;
};

/// What the leader has found out about prompt parts.
struct PromptVerdicts
{
  /// Changes with the verdicts; 0 if there are none yet.
  std::uint64_t revision_ = 0;
  /// Parts of which entries report whether requests with them succeed.
  std::vector<std::uint64_t> suspects_;
  std::vector<QuarantinedPart> quarantined_;
};

} // namespace tanagerstall

#endif
