#ifndef TANAGERSTALL_DECISION_LOG_HPP_INCLUDED
#define TANAGERSTALL_DECISION_LOG_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <string_view>

namespace tanagerstall {

/// The decisions that an operator can follow in the log.
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

/// Writes one line with the event "decision". A decision that concerns no
/// single request has an empty request id.
void
LogDecision(DecisionKind aDecision,
            std::string_view aRequestId,
            std::string_view aReason,
            std::string_view aUpstream = "");

} // namespace tanagerstall

#endif
