#include "tanagerstall/request/tanagerstall_prompt_quarantine.hpp"

namespace tanagerstall {

void
PromptQuarantine::RecordSuccess(const PromptParts& /*aParts*/,
                                TimePoint /*aNow*/)
{
}

void
PromptQuarantine::RecordLoss(const PromptParts& /*aParts*/,
                             const Replica& /*aReplica*/,
                             std::optional<TimePoint> /*aBegunAt*/,
                             TimePoint /*aNow*/)
{
}

PromptEvidence
PromptQuarantine::Report(TimePoint /*aNow*/)
{
  return {};
}

void
PromptQuarantine::Apply(const PromptVerdicts& /*aVerdicts*/, TimePoint /*aNow*/)
{
}

std::optional<Duration>
PromptQuarantine::RemainingFor(const PromptParts& /*aParts*/,
                               TimePoint /*aNow*/) const
{
  return std::nullopt;
}

} // namespace tanagerstall
