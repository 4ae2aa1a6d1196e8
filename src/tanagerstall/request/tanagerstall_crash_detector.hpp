#ifndef TANAGERSTALL_CRASH_DETECTOR_HPP_INCLUDED
#define TANAGERSTALL_CRASH_DETECTOR_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_cause_search.hpp"
#include "tanagerstall/request/tanagerstall_crash_report.hpp"
#include "tanagerstall/request/tanagerstall_quarantine_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// Finds the prompt parts and the requests that crash replicas, at the leader,
/// from the reports of all entries. Performs no I/O and reads no clock.
class CrashDetector
{
public:
  /// `aRun` makes the revisions of this detector differ from those of others.
  explicit CrashDetector(std::uint64_t aRun);

  /// Forgets the evidence, which was reported to another leader meanwhile.
  void StartLeading();
  /// Records an entry's report; `aEntryRun` identifies one run of the entry.
  void RecordReport(const std::string& aEntryRun,
                    const CrashReport& aReport,
                    TimePoint aNow);
  /// Decides on suspected causes and ends quarantines. Returns whether the
  /// verdicts have changed.
  bool Update(TimePoint aNow);
  CrashVerdicts Verdicts(TimePoint aNow) const;
  /// Changes with the verdicts; 0 before the first.
  std::uint64_t Revision() const;
  /// Returns the decisions since the last call.
  std::vector<QuarantineDecision> TakeDecisions();
  std::size_t CountQuarantined(TimePoint aNow) const;

private:
  std::uint64_t run_;
  std::uint64_t changes_ = 0;
  bool hasChanged_ = false;
  QuarantineTable quarantines_;
  /// Prompt parts are searched over all services, requests within each: what
  /// other services answer says nothing of the replicas of one.
  CauseSearch prompts_;
  std::map<std::string, CauseSearch> services_;
};

} // namespace tanagerstall

#endif
