#ifndef TANAGERSTALL_CAUSE_SEARCH_HPP_INCLUDED
#define TANAGERSTALL_CAUSE_SEARCH_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_crash_evidence.hpp"
#include "tanagerstall/request/tanagerstall_crash_report.hpp"
#include "tanagerstall/request/tanagerstall_quarantine_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// Why a cause was put in quarantine. The counts begin with the cause's first
/// crash that no success followed.
struct QuarantineDecision
{
  std::uint64_t cause_ = 0;
  /// The service of the requests that were weighed; "" if they were those of
  /// all services that have shared prompt parts.
  std::string service_;
  /// Moments at which replicas were lost as they began to answer requests with
  /// the cause.
  std::size_t crashes_ = 0;
  /// Requests of the group: answered whole, and lost.
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::chrono::seconds duration_{ 0 };
};

/// Finds what crashes replicas among the possible causes of one group of
/// requests, from the evidence of all entries. A cause is put in quarantine if
/// replicas were lost each time they began to answer it, more often than can be
/// explained by the share of the group's requests that were lost meanwhile.
/// Performs no I/O and reads no clock.
class CauseSearch
{
public:
  /// The causes are prompt parts if `aService` is "", or else the requests to
  /// this service.
  CauseSearch(std::string aService, QuarantineTable& aQuarantines);

  /// Forgets the evidence, which was reported to another leader meanwhile.
  void StartLeading();
  /// Records an entry's report; `aEntryRun` identifies one run of the entry.
  void RecordReport(const std::string& aEntryRun,
                    const LossEvidence& aEvidence,
                    TimePoint aNow);
  /// Decides on suspected causes. Returns whether the verdicts have changed.
  bool Update(TimePoint aNow);
  /// Appends the suspected causes of which entries report successes.
  void AddSuspects(std::vector<std::uint64_t>& aTo) const;
  /// Appends the decisions since the last call.
  void TakeDecisions(std::vector<QuarantineDecision>& aTo);
  /// Whether nothing was reported for a while.
  bool IsIdle() const { return entries_.empty() && suspicions_.empty(); }

private:
  /// Cumulative counts: requests of the group, and moments at which replicas
  /// were lost with such requests.
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
    /// Requests with the cause that were lost.
    std::uint64_t requests_ = 0;
    TimePoint firstAt_;
    TimePoint lastSuccess_;
    /// Whether any request with the cause was ever answered.
    bool wasAnswered_ = false;
    TimePoint changedAt_;
    /// The totals before the first and at the last of the crashes.
    Totals before_;
    Totals latest_;
    /// Since when the evidence suffices.
    std::optional<TimePoint> convincingSince_;
  };

  std::uint64_t RecordTotals(const std::string& aEntryRun,
                             const LossEvidence& aEvidence,
                             TimePoint aNow);
  void RecordCrash(const ReportedCrash& aCrash, TimePoint aNow);
  void ForgetOneSuspicion();
  TimePoint FindMoment(TimePoint aTime);
  void Explain(TimePoint aMoment);
  void RecordSuccess(const ReportedSuccess& aSuccess, TimePoint aNow);
  void ForgetOldEvidence(TimePoint aNow);
  static std::size_t CountReplicaLosses(const Suspicion& aSuspicion);
  bool IsSuspected(std::uint64_t aCause, const Suspicion& aSuspicion) const;
  std::vector<std::uint64_t> Candidates(TimePoint aNow) const;
  void List(const std::vector<std::uint64_t>& aCandidates, TimePoint aNow);
  bool HasLikelierCause(std::uint64_t aCause) const;
  std::size_t CountSuspected(bool aWasAnswered) const;
  std::size_t MostLossesBut(const Suspicion& aSuspicion) const;
  CrashEvidence EvidenceOf(const Suspicion& aSuspicion, bool aIsFirst) const;
  std::size_t CountUnexplainedLosses(TimePoint aFrom, TimePoint aTo) const;
  bool IsConfirmed(std::uint64_t aCause, bool aIsFirst, TimePoint aNow);
  void StartQuarantine(std::uint64_t aCause, TimePoint aNow);

  std::string service_;
  QuarantineTable& quarantines_;
  bool hasChanged_ = false;
  Totals totals_;
  std::map<std::string, EntryTotals> entries_;
  Crashes crashes_;
  /// The moments at which a quarantined cause was present.
  std::set<TimePoint> explained_;
  std::map<std::uint64_t, Suspicion> suspicions_;
  /// The causes of which entries report successes, and since when.
  std::map<std::uint64_t, TimePoint> listedSince_;
  TimePoint nextListAt_;
  std::vector<QuarantineDecision> decisions_;
};

} // namespace tanagerstall

#endif
