#include "tanagerstall/request/tanagerstall_prompt_crash_detector.hpp"

namespace tanagerstall {

void
PromptCrashDetector::RecordReport(const std::string& /*aEntryRun*/,
                                  const PromptEvidence& /*aEvidence*/,
                                  TimePoint /*aNow*/)
{
}

bool
PromptCrashDetector::Update(TimePoint /*aNow*/)
{
  return false;
}

PromptVerdicts
PromptCrashDetector::Verdicts(TimePoint /*aNow*/) const
{
  return {};
}

} // namespace tanagerstall
