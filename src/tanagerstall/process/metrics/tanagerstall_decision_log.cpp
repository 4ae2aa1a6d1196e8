#include "tanagerstall/process/metrics/tanagerstall_decision_log.hpp"

#include <array>

namespace tanagerstall {

const char*
ToString(DecisionKind aDecision)
{
  constexpr std::array kNames{ "refuse", "retry", "hedge",
                               "resume", "eject", "drain" };
  return kNames.at(static_cast<std::size_t>(aDecision));
}

void
LogDecision(DecisionKind aDecision,
            std::string_view aRequestId,
            std::string_view aReason,
            std::string_view aUpstream)
{
  LogEvent(Severity::Info,
           "decision",
           { { "decision", ToString(aDecision) },
             { "request", aRequestId },
             { "reason", aReason },
             { "upstream", aUpstream } });
}

} // namespace tanagerstall
