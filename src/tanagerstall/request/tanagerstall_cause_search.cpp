#include "tanagerstall/request/tanagerstall_cause_search.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace tanagerstall {

namespace {

/// With fewer crashes a prompt part is not suspected.
constexpr std::size_t kMinCrashes = 3;
/// With fewer losses of replicas a request is not suspected: a sound one that
/// is repeated beside the deadly one is lost twice.
constexpr std::size_t kMinLossesOfRequest = 3;
/// Replicas that are lost within this time are lost at the same moment.
constexpr Duration kMoment = std::chrono::milliseconds(50);
/// A cause that was present at this share of another one's crashes came along
/// with it.
constexpr double kMinCompanionShare = 0.9;
/// The time in which entries report successes of a suspected cause.
constexpr Duration kConfirmation = std::chrono::milliseconds(400);
/// The time within which entries report what they have counted.
constexpr Duration kReportDelay = std::chrono::milliseconds(250);
/// The list of suspected causes is sent no more often than this.
constexpr Duration kListInterval = std::chrono::milliseconds(200);
/// Crashes that are older don't count.
constexpr Duration kEvidenceAge = std::chrono::seconds(60);
/// Bounds for what is kept and sent.
constexpr std::size_t kMaxSuspicions = 2048;
constexpr std::size_t kMaxListed = 32;

} // namespace

CauseSearch::CauseSearch(std::string aService, QuarantineTable& aQuarantines)
  : service_(std::move(aService))
  , quarantines_(aQuarantines)
{
}

auto
CauseSearch::Totals::operator-(const Totals& aOther) const -> Totals
{
  return { answered_ - aOther.answered_,
           lost_ - aOther.lost_,
           crashes_ - aOther.crashes_ };
}

void
CauseSearch::StartLeading()
{
  entries_.clear();
  suspicions_.clear();
}

void
CauseSearch::RecordReport(const std::string& aEntryRun,
                          const LossEvidence& aEvidence,
                          TimePoint aNow)
{
  std::uint64_t known = RecordTotals(aEntryRun, aEvidence, aNow);
  for (const auto& crash : aEvidence.crashes_) {
    if (crash.loss_ > known) {
      RecordCrash(crash, aNow);
    }
  }
  for (const auto& success : aEvidence.successes_) {
    RecordSuccess(success, aNow);
  }
}

/// Adds what the entry has counted since its last report to this leader.
/// Returns the number of losses that it had reported before. Of an entry that
/// is new to this leader only the reported crashes count.
std::uint64_t
CauseSearch::RecordTotals(const std::string& aEntryRun,
                          const LossEvidence& aEvidence,
                          TimePoint aNow)
{
  auto [it, isNew] = entries_.try_emplace(aEntryRun);
  EntryTotals& entry = it->second;
  std::uint64_t known = entry.lost_;
  bool isOvertaken =
    aEvidence.answered_ < entry.answered_ || aEvidence.lost_ < entry.lost_;
  if (isOvertaken) {
    return known;
  }
  if (isNew) {
    known = aEvidence.lost_;
    for (const auto& crash : aEvidence.crashes_) {
      known = std::min(known, crash.loss_ - 1);
    }
    entry.answered_ = aEvidence.answered_;
  }
  totals_.answered_ += aEvidence.answered_ - entry.answered_;
  totals_.lost_ += aEvidence.lost_ - known;
  entry = { aEvidence.answered_, aEvidence.lost_, aNow };
  return known;
}

/// Returns the moment of a crash at `aTime`. Replicas that are lost together
/// may have a common cause and count as one crash.
TimePoint
CauseSearch::FindMoment(TimePoint aTime)
{
  auto it = crashes_.lower_bound(aTime - kMoment);
  if (it != crashes_.end() && it->first <= aTime + kMoment) {
    return it->first;
  }
  ++totals_.crashes_;
  crashes_[aTime] = {};
  return aTime;
}

void
CauseSearch::RecordCrash(const ReportedCrash& aCrash, TimePoint aNow)
{
  Totals before = totals_;
  TimePoint at = FindMoment(aNow - aCrash.age_);
  crashes_[at].insert(aCrash.replica_);
  if (quarantines_.IsQuarantined(aCrash.cause_, aNow)) {
    Explain(at);
    return;
  }
  if (explained_.contains(at)) {
    return;
  }
  if (!suspicions_.contains(aCrash.cause_) &&
      suspicions_.size() >= kMaxSuspicions) {
    ForgetOneSuspicion();
  }
  Suspicion& suspicion = suspicions_[aCrash.cause_];
  suspicion.wasAnswered_ = suspicion.wasAnswered_ || aCrash.wasAnswered_;
  if (at <= suspicion.lastSuccess_) {
    return;
  }
  if (suspicion.crashes_.empty()) {
    suspicion.before_ = before;
    suspicion.requests_ = 0;
    suspicion.firstAt_ = aNow;
  }
  if (aNow - suspicion.firstAt_ < kReportDelay) {
    // Answers that were reported until now may be older than the crash.
    suspicion.before_.answered_ = totals_.answered_;
  }
  ++suspicion.requests_;
  suspicion.crashes_[at].insert(aCrash.replica_);
  suspicion.latest_ = totals_;
  suspicion.changedAt_ = aNow;
}

/// Forgets the cause with the fewest crashes, of these the one that was lost
/// first: many requests that are lost once each must not keep out one that is
/// lost again and again.
void
CauseSearch::ForgetOneSuspicion()
{
  suspicions_.erase(std::min_element(
    suspicions_.begin(),
    suspicions_.end(),
    [](const auto& aLeft, const auto& aRight) {
      auto rank = [](const Suspicion& aSuspicion) {
        return std::pair(aSuspicion.crashes_.size(), aSuspicion.changedAt_);
      };
      return rank(aLeft.second) < rank(aRight.second);
    }));
}

/// A crash that a quarantined cause explains doesn't count against other
/// causes.
void
CauseSearch::Explain(TimePoint aMoment)
{
  if (!explained_.insert(aMoment).second) {
    return;
  }
  for (auto& [cause, suspicion] : suspicions_) {
    suspicion.crashes_.erase(aMoment);
  }
}

/// A cause that was answered does not crash replicas: what happened to requests
/// with it before had another cause.
void
CauseSearch::RecordSuccess(const ReportedSuccess& aSuccess, TimePoint aNow)
{
  auto it = suspicions_.find(aSuccess.cause_);
  if (it == suspicions_.end()) {
    return;
  }
  Suspicion& suspicion = it->second;
  TimePoint at = aNow - aSuccess.age_;
  suspicion.lastSuccess_ = std::max(suspicion.lastSuccess_, at);
  suspicion.wasAnswered_ = true;
  suspicion.crashes_.erase(suspicion.crashes_.begin(),
                           suspicion.crashes_.upper_bound(at));
  if (!quarantines_.IsQuarantined(aSuccess.cause_, aNow)) {
    quarantines_.Forget(aSuccess.cause_);
  }
}

bool
CauseSearch::Update(TimePoint aNow)
{
  ForgetOldEvidence(aNow);
  auto candidates = Candidates(aNow);
  if (aNow >= nextListAt_) {
    List(candidates, aNow);
  }
  bool isFirst = true;
  for (std::uint64_t cause : candidates) {
    if (!HasLikelierCause(cause) && IsConfirmed(cause, isFirst, aNow)) {
      StartQuarantine(cause, aNow);
      break;
    }
    isFirst = false;
  }
  return std::exchange(hasChanged_, false);
}

void
CauseSearch::ForgetOldEvidence(TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aIt) {
    return aNow - aIt.second.reportedAt_ > kEvidenceAge;
  });
  crashes_.erase(crashes_.begin(), crashes_.lower_bound(aNow - kEvidenceAge));
  explained_.erase(explained_.begin(),
                   explained_.lower_bound(aNow - kEvidenceAge));
  std::erase_if(suspicions_, [&](const auto& aIt) {
    return aNow - aIt.second.changedAt_ > kEvidenceAge;
  });
}

std::size_t
CauseSearch::CountReplicaLosses(const Suspicion& aSuspicion)
{
  return std::accumulate(
    aSuspicion.crashes_.begin(),
    aSuspicion.crashes_.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aIt) { return aSum + aIt.second.size(); });
}

bool
CauseSearch::IsSuspected(std::uint64_t aCause,
                         const Suspicion& aSuspicion) const
{
  auto crashes = aSuspicion.crashes_.size();
  if (crashes == 0 || quarantines_.IsRemembered(aCause)) {
    return crashes > 0;
  }
  return service_.empty()
           ? crashes >= kMinCrashes
           : CountReplicaLosses(aSuspicion) >= kMinLossesOfRequest;
}

/// Returns the suspected causes, those that were present at most crashes first.
/// Of causes that always come together, the one that was answered earlier is
/// the less likely one.
std::vector<std::uint64_t>
CauseSearch::Candidates(TimePoint aNow) const
{
  std::vector<std::uint64_t> causes;
  for (const auto& [cause, suspicion] : suspicions_) {
    if (IsSuspected(cause, suspicion) &&
        !quarantines_.IsQuarantined(cause, aNow)) {
      causes.push_back(cause);
    }
  }
  auto rank = [this](std::uint64_t aCause) {
    const Suspicion& suspicion = suspicions_.at(aCause);
    return std::tuple(suspicion.crashes_.size(),
                      suspicion.requests_,
                      !suspicion.wasAnswered_,
                      -suspicion.lastSuccess_.time_since_epoch());
  };
  std::sort(causes.begin(), causes.end(), [&](auto aLeft, auto aRight) {
    return rank(aLeft) > rank(aRight);
  });
  return causes;
}

/// Lists the first candidates, so that entries report successes of them.
/// Entries need not be told of causes that leave the list.
void
CauseSearch::List(const std::vector<std::uint64_t>& aCandidates, TimePoint aNow)
{
  std::map<std::uint64_t, TimePoint> listed;
  for (std::uint64_t cause : aCandidates) {
    if (listed.size() == kMaxListed) {
      break;
    }
    auto it = listedSince_.find(cause);
    bool isNew = it == listedSince_.end();
    listed[cause] = isNew ? aNow : it->second;
    if (isNew) {
      hasChanged_ = true;
      nextListAt_ = aNow + kListInterval;
    }
  }
  listedSince_ = std::move(listed);
}

/// Whether the cause was answered earlier, and one that never was came along at
/// nearly all of its crashes.
bool
CauseSearch::HasLikelierCause(std::uint64_t aCause) const
{
  const Suspicion& suspicion = suspicions_.at(aCause);
  if (!suspicion.wasAnswered_ || quarantines_.IsRemembered(aCause)) {
    return false;
  }
  double needed =
    kMinCompanionShare * static_cast<double>(suspicion.crashes_.size());
  return std::any_of(
    suspicions_.begin(), suspicions_.end(), [&](const auto& aIt) {
      const Suspicion& other = aIt.second;
      auto shared =
        std::count_if(suspicion.crashes_.begin(),
                      suspicion.crashes_.end(),
                      [&](const auto& aCrash) {
                        return other.crashes_.contains(aCrash.first);
                      });
      return !other.wasAnswered_ && static_cast<double>(shared) >= needed;
    });
}

/// Counts the causes that no success has cleared of their crashes. One that was
/// never answered is weighed against its like only, since there are few.
std::size_t
CauseSearch::CountSuspected(bool aWasAnswered) const
{
  return static_cast<std::size_t>(
    std::count_if(suspicions_.begin(), suspicions_.end(), [&](const auto& aIt) {
      return !aIt.second.crashes_.empty() &&
             aIt.second.wasAnswered_ == aWasAnswered;
    }));
}

/// The most losses of one replica at one moment of another cause that was never
/// answered.
std::size_t
CauseSearch::MostLossesBut(const Suspicion& aSuspicion) const
{
  std::size_t most = 0;
  for (const auto& [cause, other] : suspicions_) {
    if (&other == &aSuspicion || other.wasAnswered_) {
      continue;
    }
    most = std::max(most, CountReplicaLosses(other));
  }
  return most;
}

/// Only the time from its first to its last crash counts: later there may have
/// been no request with the cause.
CrashEvidence
CauseSearch::EvidenceOf(const Suspicion& aSuspicion, bool aIsFirst) const
{
  Totals totals = aSuspicion.latest_ - aSuspicion.before_;
  CrashEvidence evidence;
  evidence.crashes_ = aSuspicion.crashes_.size();
  evidence.allCrashes_ = totals.crashes_;
  std::set<std::uint64_t> replicas;
  for (const auto& [at, lost] : aSuspicion.crashes_) {
    replicas.insert(lost.begin(), lost.end());
  }
  evidence.replicas_ = replicas.size();
  evidence.replicaLosses_ = CountReplicaLosses(aSuspicion);
  if (!aSuspicion.crashes_.empty()) {
    evidence.allReplicaLosses_ = CountUnexplainedLosses(
      aSuspicion.crashes_.begin()->first, aSuspicion.crashes_.rbegin()->first);
  }
  evidence.requests_ = aSuspicion.requests_;
  evidence.lost_ = totals.lost_;
  evidence.answered_ = totals.answered_;
  for (const auto& [run, entry] : entries_) {
    evidence.answeredEver_ += entry.answered_;
  }
  evidence.parts_ = CountSuspected(aSuspicion.wasAnswered_);
  evidence.wasAnswered_ = aSuspicion.wasAnswered_;
  evidence.isFirst_ = aIsFirst;
  evidence.isWholeRequest_ = !service_.empty();
  evidence.otherReplicaLosses_ = MostLossesBut(aSuspicion);
  return evidence;
}

/// Counts the losses of one replica at one moment, without those at which a
/// quarantined part was present.
std::size_t
CauseSearch::CountUnexplainedLosses(TimePoint aFrom, TimePoint aTo) const
{
  return std::accumulate(crashes_.lower_bound(aFrom),
                         crashes_.upper_bound(aTo),
                         std::size_t{ 0 },
                         [this](std::size_t aSum, const auto& aIt) {
                           bool isExplained = explained_.contains(aIt.first);
                           return aSum + (isExplained ? 0 : aIt.second.size());
                         });
}

/// Whether the evidence has been convincing for a while in which entries could
/// report a success.
bool
CauseSearch::IsConfirmed(std::uint64_t aCause, bool aIsFirst, TimePoint aNow)
{
  Suspicion& suspicion = suspicions_.at(aCause);
  auto listed = listedSince_.find(aCause);
  bool isConvincing = quarantines_.IsRemembered(aCause) ||
                      IsConvincing(EvidenceOf(suspicion, aIsFirst));
  if (listed == listedSince_.end() || !isConvincing) {
    suspicion.convincingSince_ = std::nullopt;
    return false;
  }
  TimePoint since = suspicion.convincingSince_.value_or(aNow);
  suspicion.convincingSince_ = since;
  return aNow - std::max(since, listed->second) >= kConfirmation;
}

void
CauseSearch::StartQuarantine(std::uint64_t aCause, TimePoint aNow)
{
  const Suspicion& found = suspicions_.at(aCause);
  Totals totals = found.latest_ - found.before_;
  decisions_.push_back({ aCause,
                         service_,
                         found.crashes_.size(),
                         totals.answered_,
                         totals.lost_,
                         quarantines_.Start(aCause, aNow) });
  for (const auto& [at, replicas] : Crashes(found.crashes_)) {
    Explain(at);
  }
  hasChanged_ = true;
}

void
CauseSearch::AddSuspects(std::vector<std::uint64_t>& aTo) const
{
  for (const auto& [cause, since] : listedSince_) {
    aTo.push_back(cause);
  }
}

void
CauseSearch::TakeDecisions(std::vector<QuarantineDecision>& aTo)
{
  aTo.insert(aTo.end(), decisions_.begin(), decisions_.end());
  decisions_.clear();
}

} // namespace tanagerstall
