#ifndef TANAGERSTALL_REQUEST_HISTORY_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_HISTORY_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_at_most_once_request.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall::matrix {

/// One request sent by a caller. Each resend of a key is a call of its own.
struct Call
{
  std::string key_;
  std::size_t entry_ = 0;
  bool isAsync_ = false;
  /// The caller's connection ended before it received an outcome.
  bool isDisconnected_ = false;
  std::optional<AtMostOnceOutcome> outcome_;
  std::string answer_;
  /// How often the key had run when the caller received its outcome.
  unsigned executionsAtOutcome_ = 0;
  /// Whether the record could still be granted when the caller received its
  /// outcome.
  bool wasOpenAtOutcome_ = false;
};

/// What callers, upstreams and the ledger observed in one run.
struct History
{
  std::vector<Call> calls_;
  /// How often upstreams ran each key.
  std::map<std::string, unsigned> executions_;
  /// The state of each key's record at the end of the run.
  std::map<std::string, RequestState> states_;
  /// By entry.
  std::vector<bool> isAliveAtEnd_;
  /// How many of the planned faults were injected.
  std::size_t injectionCount_ = 0;
};

inline std::string
AnswerTo(const std::string& aKey)
{
  return "answer to " + aKey;
}

/// Returns a description of each violated guarantee: a key runs at most once,
/// every caller gets a correct outcome, and no accepted request is lost.
inline std::vector<std::string>
FindViolations(const History& aHistory)
{
  std::vector<std::string> found;
  for (const auto& [key, count] : aHistory.executions_) {
    if (count > 1) {
      found.push_back(key + " ran more than once");
    }
  }
  std::map<std::string, bool> hasOtherOutcome;
  for (const auto& call : aHistory.calls_) {
    hasOtherOutcome[call.key_] =
      hasOtherOutcome[call.key_] || call.outcome_ != AtMostOnceOutcome::NotRun;
  }
  for (const auto& call : aHistory.calls_) {
    auto state = aHistory.states_.find(call.key_);
    bool isAnswered = call.outcome_ == AtMostOnceOutcome::Answered;
    bool isRefused = call.outcome_ == AtMostOnceOutcome::NotRun;
    if (isAnswered && call.answer_ != AnswerTo(call.key_)) {
      found.push_back(call.key_ + " got a wrong answer: " + call.answer_);
    }
    if (isAnswered && call.executionsAtOutcome_ == 0) {
      found.push_back(call.key_ + " was answered without a run");
    }
    if (isRefused && (call.executionsAtOutcome_ > 0 || call.wasOpenAtOutcome_ ||
                      (!hasOtherOutcome[call.key_] &&
                       aHistory.executions_.contains(call.key_)))) {
      found.push_back(call.key_ +
                      " was refused as not run but ran or may still run");
    }
    if (call.outcome_ == AtMostOnceOutcome::Pending &&
        (state == aHistory.states_.end() ||
         (state->second != RequestState::Answered &&
          state->second != RequestState::Unknown))) {
      found.push_back(call.key_ + " was accepted and lost");
    }
    if (!call.outcome_ && !call.isDisconnected_ &&
        aHistory.isAliveAtEnd_[call.entry_]) {
      found.push_back(call.key_ + " never got an outcome");
    }
  }
  for (const auto& [key, state] : aHistory.states_) {
    if (state == RequestState::Granted || state == RequestState::Accepted) {
      found.push_back(key + " ended the run in the state " + ToString(state));
    }
  }
  return found;
}

} // namespace tanagerstall::matrix

#endif
