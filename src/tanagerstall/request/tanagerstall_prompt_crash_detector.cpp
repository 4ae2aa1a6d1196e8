#include "tanagerstall/request/tanagerstall_prompt_crash_detector.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace tanagerstall {

namespace {

/// With fewer crashes a part is not suspected.
constexpr std::size_t kMinCrashes = 3;
/// Replicas that are lost within this time are lost at the same moment.
constexpr Duration kMoment = std::chrono::milliseconds(50);
/// A part that was present at this share of another one's crashes came along
/// with it.
constexpr double kMinCompanionShare = 0.9;
/// The time in which entries report successes of a suspected part.
constexpr Duration kConfirmation = std::chrono::milliseconds(400);
/// The time within which entries report what they have counted.
constexpr Duration kReportDelay = std::chrono::milliseconds(250);
/// The list of suspected parts is sent no more often than this.
constexpr Duration kListInterval = std::chrono::milliseconds(200);
/// Crashes that are older don't count.
constexpr Duration kEvidenceAge = std::chrono::seconds(60);
constexpr std::chrono::seconds kFirstQuarantine = std::chrono::minutes(10);
constexpr std::chrono::seconds kMaxQuarantine = std::chrono::hours(4);
/// How long after its end a quarantine is remembered.
constexpr Duration kQuarantineMemory = std::chrono::hours(4);
/// Bounds for what is kept and sent.
constexpr std::size_t kMaxSuspicions = 2048;
constexpr std::size_t kMaxListed = 32;
constexpr std::size_t kMaxQuarantines = 64;

} // namespace

PromptCrashDetector::PromptCrashDetector(std::uint64_t aRun)
  : run_(aRun)
{
}

auto
PromptCrashDetector::Totals::operator-(const Totals& aOther) const -> Totals
{
  return { answered_ - aOther.answered_,
           lost_ - aOther.lost_,
           crashes_ - aOther.crashes_ };
}

void
PromptCrashDetector::StartLeading()
{
  entries_.clear();
  suspicions_.clear();
}

void
PromptCrashDetector::RecordReport(const std::string& aEntryRun,
                                  const PromptEvidence& aEvidence,
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
  for (const auto& part : aEvidence.quarantined_) {
    Adopt(part, aNow);
  }
}

/// Adds what the entry has counted since its last report to this leader.
/// Returns the number of losses that it had reported before. Of an entry that
/// is new to this leader only the reported crashes count.
std::uint64_t
PromptCrashDetector::RecordTotals(const std::string& aEntryRun,
                                  const PromptEvidence& aEvidence,
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
PromptCrashDetector::FindMoment(TimePoint aTime)
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
PromptCrashDetector::RecordCrash(const PromptCrash& aCrash, TimePoint aNow)
{
  Totals before = totals_;
  TimePoint at = FindMoment(aNow - aCrash.age_);
  crashes_[at].insert(aCrash.replica_);
  if (IsQuarantined(aCrash.part_, aNow)) {
    Explain(at);
    return;
  }
  bool isKnown = suspicions_.contains(aCrash.part_);
  if (explained_.contains(at) ||
      (!isKnown && suspicions_.size() >= kMaxSuspicions)) {
    return;
  }
  Suspicion& suspicion = suspicions_[aCrash.part_];
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

/// A crash that a quarantined part explains doesn't count against other parts.
void
PromptCrashDetector::Explain(TimePoint aMoment)
{
  if (!explained_.insert(aMoment).second) {
    return;
  }
  for (auto& [part, suspicion] : suspicions_) {
    suspicion.crashes_.erase(aMoment);
  }
}

/// A part that was answered does not crash replicas: what happened to requests
/// with it before had another cause.
void
PromptCrashDetector::RecordSuccess(const PromptSuccess& aSuccess,
                                   TimePoint aNow)
{
  auto it = suspicions_.find(aSuccess.part_);
  if (it == suspicions_.end()) {
    return;
  }
  Suspicion& suspicion = it->second;
  TimePoint at = aNow - aSuccess.age_;
  suspicion.lastSuccess_ = std::max(suspicion.lastSuccess_, at);
  suspicion.wasAnswered_ = true;
  suspicion.crashes_.erase(suspicion.crashes_.begin(),
                           suspicion.crashes_.upper_bound(at));
  if (!IsQuarantined(aSuccess.part_, aNow)) {
    quarantines_.erase(aSuccess.part_);
  }
}

void
PromptCrashDetector::Adopt(const QuarantinedPart& aPart, TimePoint aNow)
{
  if (IsQuarantined(aPart.part_, aNow) ||
      quarantines_.size() >= kMaxQuarantines) {
    return;
  }
  quarantines_[aPart.part_] = { aNow + aPart.remaining_, kFirstQuarantine };
  hasChanged_ = true;
}

bool
PromptCrashDetector::Update(TimePoint aNow)
{
  ForgetOldEvidence(aNow);
  auto candidates = Candidates(aNow);
  if (aNow >= nextListAt_) {
    List(candidates, aNow);
  }
  bool isFirst = true;
  for (std::uint64_t part : candidates) {
    if (!HasLikelierCause(part) && IsConfirmed(part, isFirst, aNow)) {
      StartQuarantine(part, aNow);
      break;
    }
    isFirst = false;
  }
  changes_ += hasChanged_ ? 1 : 0;
  return std::exchange(hasChanged_, false);
}

void
PromptCrashDetector::ForgetOldEvidence(TimePoint aNow)
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
  std::erase_if(quarantines_, [&](const auto& aIt) {
    return aNow - aIt.second.until_ > kQuarantineMemory;
  });
}

/// Returns the suspected parts, those that were present at most crashes first.
/// Of parts that always come together, the one that was answered earlier is the
/// less likely one.
std::vector<std::uint64_t>
PromptCrashDetector::Candidates(TimePoint aNow) const
{
  std::vector<std::uint64_t> parts;
  for (const auto& [part, suspicion] : suspicions_) {
    auto crashes = suspicion.crashes_.size();
    bool isSuspected =
      crashes >= kMinCrashes || (crashes > 0 && quarantines_.contains(part));
    if (isSuspected && !IsQuarantined(part, aNow)) {
      parts.push_back(part);
    }
  }
  auto rank = [this](std::uint64_t aPart) {
    const Suspicion& suspicion = suspicions_.at(aPart);
    return std::tuple(suspicion.crashes_.size(),
                      suspicion.requests_,
                      !suspicion.wasAnswered_,
                      -suspicion.lastSuccess_.time_since_epoch());
  };
  std::sort(parts.begin(), parts.end(), [&](auto aLeft, auto aRight) {
    return rank(aLeft) > rank(aRight);
  });
  return parts;
}

/// Lists the first candidates, so that entries report successes of them.
/// Entries need not be told of parts that leave the list.
void
PromptCrashDetector::List(const std::vector<std::uint64_t>& aCandidates,
                          TimePoint aNow)
{
  std::map<std::uint64_t, TimePoint> listed;
  for (std::uint64_t part : aCandidates) {
    if (listed.size() == kMaxListed) {
      break;
    }
    auto it = listedSince_.find(part);
    bool isNew = it == listedSince_.end();
    listed[part] = isNew ? aNow : it->second;
    if (isNew) {
      hasChanged_ = true;
      nextListAt_ = aNow + kListInterval;
    }
  }
  listedSince_ = std::move(listed);
}

/// Whether the part was answered earlier, and one that never was came along at
/// nearly all of its crashes.
bool
PromptCrashDetector::HasLikelierCause(std::uint64_t aPart) const
{
  const Suspicion& suspicion = suspicions_.at(aPart);
  if (!suspicion.wasAnswered_ || quarantines_.contains(aPart)) {
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

/// Counts the parts that no success has cleared of their crashes. One that was
/// never answered is weighed against its like only, since there are few.
std::size_t
PromptCrashDetector::CountSuspected(bool aWasAnswered) const
{
  return static_cast<std::size_t>(
    std::count_if(suspicions_.begin(), suspicions_.end(), [&](const auto& aIt) {
      return !aIt.second.crashes_.empty() &&
             aIt.second.wasAnswered_ == aWasAnswered;
    }));
}

/// Only the time from its first to its last crash counts: later there may have
/// been no request with the part.
CrashEvidence
PromptCrashDetector::EvidenceOf(const Suspicion& aSuspicion,
                                bool aIsFirst) const
{
  Totals totals = aSuspicion.latest_ - aSuspicion.before_;
  CrashEvidence evidence;
  evidence.crashes_ = aSuspicion.crashes_.size();
  evidence.allCrashes_ = totals.crashes_;
  std::set<std::uint64_t> replicas;
  for (const auto& [at, lost] : aSuspicion.crashes_) {
    replicas.insert(lost.begin(), lost.end());
    evidence.replicaLosses_ += lost.size();
  }
  evidence.replicas_ = replicas.size();
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
  return evidence;
}

/// Counts the losses of one replica at one moment, without those at which a
/// quarantined part was present.
std::size_t
PromptCrashDetector::CountUnexplainedLosses(TimePoint aFrom,
                                            TimePoint aTo) const
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
PromptCrashDetector::IsConfirmed(std::uint64_t aPart,
                                 bool aIsFirst,
                                 TimePoint aNow)
{
  Suspicion& suspicion = suspicions_.at(aPart);
  auto listed = listedSince_.find(aPart);
  bool isConvincing = quarantines_.contains(aPart) ||
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
PromptCrashDetector::StartQuarantine(std::uint64_t aPart, TimePoint aNow)
{
  if (quarantines_.size() >= kMaxQuarantines && !quarantines_.contains(aPart)) {
    return;
  }
  Quarantine& quarantine = quarantines_[aPart];
  bool isFirst = quarantine.duration_ == std::chrono::seconds(0);
  quarantine.duration_ = isFirst
                           ? kFirstQuarantine
                           : std::min(2 * quarantine.duration_, kMaxQuarantine);
  quarantine.until_ = aNow + quarantine.duration_;
  const Suspicion& found = suspicions_.at(aPart);
  Totals totals = found.latest_ - found.before_;
  decisions_.push_back({ aPart,
                         found.crashes_.size(),
                         totals.answered_,
                         totals.lost_,
                         quarantine.duration_ });
  for (const auto& [at, replicas] : Crashes(found.crashes_)) {
    Explain(at);
  }
  hasChanged_ = true;
}

bool
PromptCrashDetector::IsQuarantined(std::uint64_t aPart, TimePoint aNow) const
{
  auto it = quarantines_.find(aPart);
  return it != quarantines_.end() && aNow < it->second.until_;
}

PromptVerdicts
PromptCrashDetector::Verdicts(TimePoint aNow) const
{
  PromptVerdicts verdicts;
  verdicts.revision_ = Revision();
  for (const auto& [part, since] : listedSince_) {
    verdicts.suspects_.push_back(part);
  }
  for (const auto& [part, quarantine] : quarantines_) {
    if (aNow < quarantine.until_) {
      verdicts.quarantined_.push_back(
        { part,
          std::chrono::duration_cast<std::chrono::milliseconds>(
            quarantine.until_ - aNow) });
    }
  }
  return verdicts;
}

std::uint64_t
PromptCrashDetector::Revision() const
{
  return changes_ == 0 ? 0 : run_ + changes_;
}

std::vector<QuarantineDecision>
PromptCrashDetector::TakeDecisions()
{
  return std::exchange(decisions_, {});
}

std::size_t
PromptCrashDetector::CountQuarantined(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    quarantines_.begin(), quarantines_.end(), [&](const auto& aIt) {
      return aNow < aIt.second.until_;
    }));
}

} // namespace tanagerstall
