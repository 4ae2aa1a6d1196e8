#ifndef TANAGERSTALL_DECISION_LOG_HPP_INCLUDED
#define TANAGERSTALL_DECISION_LOG_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <string_view>

namespace tanagerstall {

/// The kinds of decisions that are logged for operators.
enum class DecisionKind
{
  Refuse,
  Retry,
  Hedge,
  Resume,
  Eject,
  Drain
};

const char*
ToString(DecisionKind aDecision);

/// Writes one log line with the event "decision". The request id is empty for a
/// decision that does not concern one particular request.
void
LogDecision(DecisionKind aDecision,
            std::string_view aRequestId,
            std::string_view aReason,
            std::string_view aUpstream = "");

} // namespace tanagerstall

#endif
