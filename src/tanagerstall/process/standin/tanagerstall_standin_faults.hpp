#ifndef TANAGERSTALL_STANDIN_FAULTS_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_FAULTS_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerstall {

/// The point at which a stand-in breaks off a request.
enum class StandinBreak
{
  None,
  /// The connection is reset before the request runs.
  ResetBeforeExecution,
  /// The request runs, then the connection is reset without an answer.
  ResetAfterExecution,
  /// The connection is reset within the answer.
  ResetMidAnswer,
  /// The request runs, no answer is sent and the connection stays open.
  SilentBeforeAnswer,
  /// Part of the answer is sent and the connection stays open.
  SilentMidAnswer
};

/// The faults, the speed and the capacity of a stand-in.
struct StandinFaults
{
  /// All work stops for this long from the moment it is set.
  std::chrono::milliseconds stall_{ 0 };
  /// The time to the first token; for a plain service, the time of a request.
  std::chrono::milliseconds firstToken_{ 0 };
  std::chrono::milliseconds betweenTokens_{ 5 };
  /// The share of requests whose times are multiplied by stragglerFactor_.
  double stragglerProbability_ = 0.0;
  double stragglerFactor_ = 10.0;
  std::uint64_t seed_ = 1;
  StandinBreak break_ = StandinBreak::None;
  /// The number of requests to break off; negative for all.
  std::int64_t breakCount_ = -1;
  /// Tokens sent before a break within an answer.
  std::int64_t breakAfterTokens_ = 1;
  /// The delay between the end of a run and an answer that is not streamed.
  std::chrono::milliseconds lateAnswer_{ 0 };
  /// The age of the load in an announcement.
  std::chrono::milliseconds loadReportDelay_{ 0 };
  /// The number of requests that run at once; others wait. 0 sets no limit.
  std::uint32_t slots_ = 0;
  /// Each further running request lengthens the token time by this share.
  double batchSlowdown_ = 0.0;
  /// Whether a repeated idempotency key gets the first answer without a run.
  bool deduplicates_ = false;
  /// Whether every request is answered with status 503 and does not run.
  bool refuses_ = false;
  /// A header field, "NAME: VALUE", that refusals and answers which are not
  /// streamed carry; empty for none.
  std::string answerHeader_;
  /// While this is true, running requests do not produce their first token.
  bool holds_ = false;
};

/// Returns `aBase` with the fields that a JSON object contains, such as
/// {"stall_ms": 100}. An error names the invalid field.
tl::expected<StandinFaults, std::string>
ReadStandinFaults(std::string_view aJson, StandinFaults aBase);

} // namespace tanagerstall

#endif
