#include "tanagerstall/process/experiment/tanagerstall_caller_history.hpp"

#include <boost/json.hpp>
#include <set>

namespace tanagerstall {

namespace json = boost::json;

namespace {

/// All submissions of one key.
struct KeySummary
{
  std::set<std::string> answers_;
  std::string body_;
  bool isAccepted_ = false;
  bool isUnknown_ = false;
  /// Whether any submission ended other than as not run.
  bool mayHaveRun_ = false;
};

std::map<std::string, KeySummary>
Summarise(const std::vector<Submission>& aSubmissions)
{
  std::map<std::string, KeySummary> keys;
  for (const auto& submission : aSubmissions) {
    KeySummary& key = keys[submission.key_];
    key.body_ = submission.body_;
    key.isAccepted_ |= submission.outcome_ == ObservedOutcome::Accepted;
    key.isUnknown_ |= submission.outcome_ == ObservedOutcome::Unknown;
    key.mayHaveRun_ |= submission.outcome_ != ObservedOutcome::NotRun;
    if (submission.outcome_ == ObservedOutcome::Answered) {
      key.answers_.insert(submission.answer_);
    }
  }
  return keys;
}

bool
IsEchoOf(const std::string& aAnswer, const std::string& aBody)
{
  json::error_code error;
  json::value answer = json::parse(aAnswer, error);
  const json::object* object = error ? nullptr : answer.if_object();
  const json::value* echo =
    object == nullptr ? nullptr : object->if_contains("echo");
  return echo != nullptr && echo->is_string() && echo->get_string() == aBody;
}

void
CheckKey(const std::string& aKey,
         const KeySummary& aSummary,
         unsigned aExecutions,
         std::vector<std::string>& aViolations)
{
  if (aExecutions > 1) {
    aViolations.push_back(aKey + " ran " + std::to_string(aExecutions) +
                          " times");
  }
  if (!aSummary.mayHaveRun_ && aExecutions > 0) {
    aViolations.push_back(aKey + " was reported as not run but ran");
  }
  if (!aSummary.answers_.empty() && aExecutions == 0) {
    aViolations.push_back(aKey + " was answered without a run");
  }
  if (aSummary.answers_.size() > 1) {
    aViolations.push_back(aKey + " got different answers");
  }
  for (const auto& answer : aSummary.answers_) {
    if (!IsEchoOf(answer, aSummary.body_)) {
      std::string violation = aKey + " got an answer to another request: ";
      violation += answer;
      aViolations.push_back(std::move(violation));
    }
  }
  if (aSummary.isAccepted_ && aSummary.answers_.empty() &&
      !aSummary.isUnknown_) {
    aViolations.push_back(aKey + " was accepted and lost");
  }
}

} // namespace

std::vector<std::string>
CheckHistory(const CallerHistory& aHistory)
{
  std::vector<std::string> violations;
  for (const auto& [key, summary] : Summarise(aHistory.submissions_)) {
    auto count = aHistory.executions_.find(key);
    CheckKey(key,
             summary,
             count == aHistory.executions_.end() ? 0 : count->second,
             violations);
  }
  return violations;
}

} // namespace tanagerstall
