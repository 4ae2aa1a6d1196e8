#ifndef TANAGERSTALL_PROMPT_CRASH_DETECTOR_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_CRASH_DETECTOR_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_prompt_evidence.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// Finds the prompt parts that crash replicas, at the leader, from the evidence
/// of all entries. Performs no I/O and reads no clock.
class PromptCrashDetector
{
public:
  /// Records an entry's report; `aEntryRun` identifies one run of the entry.
  void RecordReport(const std::string& aEntryRun,
                    const PromptEvidence& aEvidence,
                    TimePoint aNow);
  /// Decides on suspected parts and ends quarantines. Returns whether the
  /// verdicts have changed.
  bool Update(TimePoint aNow);
  PromptVerdicts Verdicts(TimePoint aNow) const;
  std::uint64_t Revision() const { return 0; }
};

} // namespace tanagerstall

#endif
