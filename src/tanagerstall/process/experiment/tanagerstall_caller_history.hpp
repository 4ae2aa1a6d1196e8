#ifndef TANAGERSTALL_CALLER_HISTORY_HPP_INCLUDED
#define TANAGERSTALL_CALLER_HISTORY_HPP_INCLUDED

#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// The outcome that a caller observed for one submission of a request.
enum class ObservedOutcome
{
  /// The connection failed, or the caller timed out.
  NoAnswer,
  Answered,
  NotRun,
  Unknown,
  /// Status 202: the request was accepted. A later submission of the same key
  /// returns its outcome.
  Accepted
};

/// One submission of a request. Retries of the request have the same key.
struct Submission
{
  std::string key_;
  ObservedOutcome outcome_ = ObservedOutcome::NoAnswer;
  std::string answer_;
  /// The request body, which the stand-in echoes in its answer.
  std::string body_;
};

/// What concurrent callers observed, and what upstreams report to have run.
struct CallerHistory
{
  std::vector<Submission> submissions_;
  /// The number of runs of each key, summed over all upstreams.
  std::map<std::string, unsigned> executions_;
};

/// Checks that no key ran twice, that no request reported as not run did run,
/// that every answer had a run, that answers are complete, equal for equal keys
/// and echo the caller's own request, and that no accepted request was lost.
/// Returns a description of each violation.
std::vector<std::string>
CheckHistory(const CallerHistory& aHistory);

} // namespace tanagerstall

#endif
