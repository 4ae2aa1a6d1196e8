#ifndef TANAGERSTALL_PROMPT_CRASH_DETECTOR_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_CRASH_DETECTOR_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_crash_evidence.hpp"
#include "tanagerstall/request/tanagerstall_prompt_evidence.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// Why a prompt part was put in quarantine. The counts begin with the part's
/// first crash that no success followed.
struct QuarantineDecision
{
  std::uint64_t part_ = 0;
  /// Moments at which replicas were lost as they began to answer requests with
  /// the part.
  std::size_t crashes_ = 0;
  /// Requests with any parts: answered whole, and lost.
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::chrono::seconds duration_{ 0 };
};

/// Finds the prompt parts that crash replicas, at the leader, from the evidence
/// of all entries. A part is put in quarantine if replicas were lost each time
/// they began to answer it, more often than can be explained by the share of
/// all requests that were lost meanwhile. Performs no I/O and reads no clock.
class PromptCrashDetector
{
public:
  /// `aRun` makes the revisions of this detector differ from those of others.
  explicit PromptCrashDetector(std::uint64_t aRun);

  /// Forgets the evidence, which was reported to another leader meanwhile.
  void StartLeading();
  /// Records an entry's report; `aEntryRun` identifies one run of the entry.
  void RecordReport(const std::string& aEntryRun,
                    const PromptEvidence& aEvidence,
                    TimePoint aNow);
  /// Decides on suspected parts and ends quarantines. Returns whether the
  /// verdicts have changed.
  bool Update(TimePoint aNow);
  PromptVerdicts Verdicts(TimePoint aNow) const;
  /// Changes with the verdicts; 0 before the first.
  std::uint64_t Revision() const;
  /// Returns the decisions since the last call.
  std::vector<QuarantineDecision> TakeDecisions();
  std::size_t CountQuarantined(TimePoint aNow) const;

private:
  /// Cumulative counts: requests with shared prompt parts, and moments at which
  /// replicas were lost with such requests.
  struct Totals
  {
    std::uint64_t answered_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t crashes_ = 0;

    Totals operator-(const Totals& aOther) const;
  };

  /// What an entry has counted at its last report.
  struct EntryTotals
  {
    std::uint64_t answered_ = 0;
    std::uint64_t lost_ = 0;
    TimePoint reportedAt_;
  };

  /// The replicas that were lost at each moment.
  using Crashes = std::map<TimePoint, std::set<std::uint64_t>>;

  struct Suspicion
  {
    Crashes crashes_;
    /// Requests with the part that were lost.
    std::uint64_t requests_ = 0;
    TimePoint firstAt_;
    TimePoint lastSuccess_;
    /// Whether any request with the part was ever answered.
    bool wasAnswered_ = false;
    TimePoint changedAt_;
    /// The totals before the first and at the last of the crashes.
    Totals before_;
    Totals latest_;
    /// Since when the evidence suffices.
    std::optional<TimePoint> convincingSince_;
  };

  struct Quarantine
  {
    TimePoint until_;
    std::chrono::seconds duration_{ 0 };
  };

  std::uint64_t RecordTotals(const std::string& aEntryRun,
                             const PromptEvidence& aEvidence,
                             TimePoint aNow);
  void RecordCrash(const PromptCrash& aCrash, TimePoint aNow);
  TimePoint FindMoment(TimePoint aTime);
  void Explain(TimePoint aMoment);
  void RecordSuccess(const PromptSuccess& aSuccess, TimePoint aNow);
  void Adopt(const QuarantinedPart& aPart, TimePoint aNow);
  void ForgetOldEvidence(TimePoint aNow);
  std::vector<std::uint64_t> Candidates(TimePoint aNow) const;
  void List(const std::vector<std::uint64_t>& aCandidates, TimePoint aNow);
  bool IsQuarantined(std::uint64_t aPart, TimePoint aNow) const;
  bool HasLikelierCause(std::uint64_t aPart) const;
  std::size_t CountSuspected(bool aWasAnswered) const;
  CrashEvidence EvidenceOf(const Suspicion& aSuspicion, bool aIsFirst) const;
  std::size_t CountUnexplainedLosses(TimePoint aFrom, TimePoint aTo) const;
  bool IsConfirmed(std::uint64_t aPart, bool aIsFirst, TimePoint aNow);
  void StartQuarantine(std::uint64_t aPart, TimePoint aNow);

  std::uint64_t run_;
  std::uint64_t changes_ = 0;
  bool hasChanged_ = false;
  Totals totals_;
  std::map<std::string, EntryTotals> entries_;
  Crashes crashes_;
  /// The moments at which a quarantined part was present.
  std::set<TimePoint> explained_;
  std::map<std::uint64_t, Suspicion> suspicions_;
  /// The parts of which entries report successes, and since when.
  std::map<std::uint64_t, TimePoint> listedSince_;
  TimePoint nextListAt_;
  /// Kept for a while after the end, when one more crash is enough.
  std::map<std::uint64_t, Quarantine> quarantines_;
  std::vector<QuarantineDecision> decisions_;
};

} // namespace tanagerstall

#endif
