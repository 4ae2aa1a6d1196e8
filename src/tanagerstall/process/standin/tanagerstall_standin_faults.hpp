#ifndef TANAGERSTALL_STANDIN_FAULTS_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_FAULTS_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerstall {

/// Where a stand-in breaks a connection.
enum class StandinBreak
{
  None,
  /// The connection ends before the request runs.
  ResetBeforeExecution,
  /// The request runs, then the connection ends without an answer.
  ResetAfterExecution,
  /// The connection ends within the answer.
  ResetMidAnswer,
  /// The request runs; nothing more is sent and the connection stays open.
  SilentBeforeAnswer,
  /// Part of the answer is sent; the connection stays open.
  SilentMidAnswer
};

/// How a stand-in misbehaves, and how fast it is.
struct StandinFaults
{
  /// All work stands still for this long from the moment it is set.
  std::chrono::milliseconds stall_{ 0 };
  /// To the first token; for a plain service, the work of a request.
  std::chrono::milliseconds firstToken_{ 0 };
  std::chrono::milliseconds betweenTokens_{ 5 };
  /// The share of requests whose times are multiplied by stragglerFactor_.
  double stragglerProbability_ = 0.0;
  double stragglerFactor_ = 10.0;
  std::uint64_t seed_ = 1;
  StandinBreak break_ = StandinBreak::None;
  /// How many requests break; negative for all.
  std::int64_t breakCount_ = -1;
  /// Tokens sent before a break within an answer.
  std::int64_t breakAfterTokens_ = 1;
  /// From the end of the work to the start of a whole answer.
  std::chrono::milliseconds lateAnswer_{ 0 };
  /// How old the load in an announcement is.
  std::chrono::milliseconds loadReportDelay_{ 0 };
  /// Requests that run at once; others wait. 0 sets no limit.
  std::uint32_t slots_ = 0;
  /// Each further running request lengthens the token time by this share.
  double batchSlowdown_ = 0.0;
  /// Whether a known idempotency key gets its first answer without a run.
  bool deduplicates_ = false;
  /// Whether every request gets 503 and does not run.
  bool refuses_ = false;
  /// Nothing that runs gets its first token until this is false again.
  bool holds_ = false;
};

/// Changes the faults that a JSON object names, such as {"stall_ms": 100}.
/// The error names the field that is wrong.
tl::expected<StandinFaults, std::string>
ReadStandinFaults(std::string_view aJson, StandinFaults aBase);

} // namespace tanagerstall

#endif
