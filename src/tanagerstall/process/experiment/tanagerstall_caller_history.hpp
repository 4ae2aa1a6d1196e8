#ifndef TANAGERSTALL_CALLER_HISTORY_HPP_INCLUDED
#define TANAGERSTALL_CALLER_HISTORY_HPP_INCLUDED

#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// What a caller heard after it sent a request once.
enum class ObservedOutcome
{
  /// The connection failed, or the caller gave up.
  NoAnswer,
  Answered,
  NotRun,
  Unknown,
  /// 202; what was found at its location follows as another sending.
  Accepted
};

/// One sending of a request.
struct Submission
{
  std::string key_;
  ObservedOutcome outcome_ = ObservedOutcome::NoAnswer;
  /// The answer, and what the request asked to be echoed in it.
  std::string answer_;
  std::string body_;
};

/// What concurrent callers heard, and what upstreams say they ran.
struct CallerHistory
{
  std::vector<Submission> submissions_;
  /// Runs of each key, over all upstreams.
  std::map<std::string, unsigned> executions_;
};

/// Checks that no key ran twice, that nothing refused as not run ran, that
/// answers are whole, equal for one key and the caller's own, and that nothing
/// accepted was lost. Gives each violation in words.
std::vector<std::string>
CheckHistory(const CallerHistory& aHistory);

} // namespace tanagerstall

#endif
