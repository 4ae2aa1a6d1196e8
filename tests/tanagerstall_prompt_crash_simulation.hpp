#ifndef TANAGERSTALL_PROMPT_CRASH_SIMULATION_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_CRASH_SIMULATION_HPP_INCLUDED

#include "tanagerstall_event_queue.hpp"

#include "tanagerstall/request/tanagerstall_crash_detector.hpp"
#include "tanagerstall/request/tanagerstall_crash_quarantine.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <algorithm>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerstall {

/// The size of a simulated fleet and its load.
struct CrashingFleet
{
  std::size_t entries_ = 0;
  std::size_t replicas_ = 0;
  double requestsPerSecond_ = 0.0;
  std::size_t subjects_ = 0;
  /// Where the deadly part stands among the shared parts of its requests.
  std::size_t deadlyPosition_ = 0;
  /// Whether all deadly requests have one subject, which sound ones have too.
  bool sharesSubject_ = false;
  /// Whether requests have no prompt. A deadly request is the same each time
  /// then, a sound one often another one.
  bool isPlain_ = false;
  /// How often a request may run.
  std::size_t maxRuns_ = 2;
};

/// Counts of requests by the time at which callers sent them.
struct CrashTally
{
  std::size_t sound_ = 0;
  /// Sound requests whose first attempt began to be answered.
  std::size_t soundBegun_ = 0;

  double BegunShare() const
  {
    return sound_ == 0
             ? 1.0
             : static_cast<double>(soundBegun_) / static_cast<double>(sound_);
  }
};

/// Entries that forward requests to replicas, some of which crash when they
/// begin to answer a request with a certain prompt part, with the real choice
/// of replicas, collection of evidence and detection.
class PromptCrashSimulation
{
public:
  static constexpr std::uint64_t kDeadlyPart = 666;
  static constexpr std::uint64_t kNewPart = 777;
  static constexpr std::uint64_t kDeadlyRequest = 6666;

  PromptCrashSimulation(const CrashingFleet& aFleet, unsigned aSeed)
    : fleet_(aFleet)
    , random_(aSeed)
    , detector_(std::make_unique<CrashDetector>(term_))
    , replicas_(aFleet.replicas_)
  {
    for (std::size_t i = 0; i < fleet_.replicas_; ++i) {
      replicas_[i].info_.id_ = "r" + std::to_string(i);
      replicas_[i].info_.service_ = kService;
      replicas_[i].info_.startTimeMs_ = 1;
    }
    for (std::size_t i = 0; i < fleet_.entries_; ++i) {
      entries_.push_back(MakeEntry(i));
      Duration phase = kSyncInterval * i / fleet_.entries_;
      events_.At(events_.Now() + phase, [this, i] { Sync(i); });
    }
    PublishReplicas();
    events_.At(events_.Now(), [this] { TickLeader(); });
    events_.At(events_.Now(), [this] { Arrive(); });
  }

  void RunFor(Duration aTime) { events_.RunUntil(events_.Now() + aTime); }
  TimePoint Now() const { return events_.Now(); }

  void SetDeadlyShare(double aShare) { deadlyShare_ = aShare; }
  /// From now on this share of the sound requests has a part that none had.
  void SetNewPartShare(double aShare) { newPartShare_ = aShare; }

  /// Crashes this share of the replicas at the same moment.
  void CrashReplicas(double aShare)
  {
    auto count =
      static_cast<std::size_t>(aShare * static_cast<double>(replicas_.size()));
    for (std::size_t i = 0; i < count; ++i) {
      Crash(i);
    }
  }

  /// Crashes one replica at a time, by turns.
  void CrashReplicasByTurns(Duration aInterval, std::size_t aTimes)
  {
    for (std::size_t i = 0; i < aTimes; ++i) {
      events_.At(events_.Now() + aInterval * i,
                 [this, i] { Crash(i % replicas_.size()); });
    }
  }

  /// Crashes each replica once, one after the other.
  void CrashReplicasInTurn(Duration aPause)
  {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      events_.At(events_.Now() + aPause * i, [this, i] { Crash(i); });
    }
  }

  /// Another control process leads and knows nothing yet.
  void ReplaceLeader()
  {
    detector_ = std::make_unique<CrashDetector>(term_);
    ++term_;
  }

  void RestartEntry(std::size_t aIndex)
  {
    entries_[aIndex] = MakeEntry(aIndex);
    PublishReplicas();
  }

  /// When the n-th crash by the deadly part happened, counted from 1.
  std::optional<TimePoint> DeadlyCrash(std::size_t aNumber) const
  {
    return deadlyCrashes_.size() < aNumber
             ? std::nullopt
             : std::optional(deadlyCrashes_[aNumber - 1]);
  }

  /// Requests with the deadly part that entries sent to replicas since then.
  std::size_t DeadlySendsSince(TimePoint aTime) const
  {
    return static_cast<std::size_t>(std::count_if(
      deadlySends_.begin(), deadlySends_.end(), [&](TimePoint aIt) {
        return aIt >= aTime;
      }));
  }

  CrashTally TallyBetween(TimePoint aBegin, TimePoint aEnd) const
  {
    CrashTally tally;
    for (const auto& request : sound_) {
      if (request->sentAt_ >= aBegin && request->sentAt_ < aEnd) {
        ++tally.sound_;
        tally.soundBegun_ += request->hasBegunAtOnce_ ? 1 : 0;
      }
    }
    return tally;
  }

  /// All parts that were ever quarantined.
  const std::set<std::uint64_t>& Quarantined() const { return quarantined_; }

private:
  static constexpr const char* kService = "models";
  static constexpr std::uint64_t kSystemPart = 1;
  static constexpr std::uint64_t kFirstOrganisation = 10;
  static constexpr std::size_t kOrganisations = 5;
  static constexpr std::uint64_t kFirstSubject = 1000;
  static constexpr std::chrono::milliseconds kFirstPart{ 300 };
  static constexpr std::chrono::milliseconds kWhole{ 1800 };
  static constexpr std::chrono::milliseconds kPlainCrash{ 43 };
  static constexpr std::chrono::milliseconds kPlainWhole{ 90 };
  static constexpr std::uint64_t kFirstLookup = 10000;
  static constexpr double kLookupShare = 0.3;
  static constexpr std::chrono::milliseconds kRestart{ 4000 };
  static constexpr std::chrono::milliseconds kSyncInterval{ 250 };
  static constexpr std::chrono::milliseconds kLatency{ 30 };
  static constexpr std::chrono::milliseconds kNotify{ 90 };
  static constexpr std::chrono::milliseconds kTick{ 100 };
  static constexpr std::size_t kMaxTries = 6;

  struct Request
  {
    PromptParts parts_;
    std::uint64_t fingerprint_ = 0;
    bool isDeadly_ = false;
    TimePoint sentAt_;
    std::set<std::string> excluded_;
    std::size_t runs_ = 0;
    std::size_t tries_ = 0;
    bool hasBegunAtOnce_ = false;
  };

  struct Attempt
  {
    std::size_t entry_ = 0;
    std::uint64_t entryRun_ = 0;
    std::shared_ptr<Request> request_;
    Replica replica_;
    std::optional<TimePoint> begunAt_;
  };

  struct SimulatedReplica
  {
    Replica info_;
    bool isDown_ = false;
    std::list<std::shared_ptr<Attempt>> attempts_;
  };

  struct Entry
  {
    std::uint64_t run_ = 0;
    ReplicaChooser chooser_;
    CrashQuarantine quarantine_;
    std::uint64_t term_ = 0;
    std::uint64_t revision_ = 0;
  };

  std::unique_ptr<Entry> MakeEntry(std::size_t aIndex)
  {
    return std::make_unique<Entry>(
      Entry{ ++runs_,
             ReplicaChooser({ "a", {} }, static_cast<unsigned>(aIndex) + 1),
             {},
             0,
             0 });
  }

  void PublishReplicas()
  {
    auto present = std::make_shared<ReplicasByService>();
    for (const auto& replica : replicas_) {
      (*present)[kService].push_back(replica.info_);
    }
    for (auto& entry : entries_) {
      entry->chooser_.SetReplicas(present);
    }
  }

  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
  }

  /// Subjects are asked for with a probability that falls with their number.
  std::uint64_t DrawSubject()
  {
    double uniform = std::uniform_real_distribution<double>()(random_);
    auto subject = static_cast<std::uint64_t>(
      uniform * uniform * static_cast<double>(fleet_.subjects_));
    return kFirstSubject + subject;
  }

  std::shared_ptr<Request> MakeRequest()
  {
    auto request = std::make_shared<Request>();
    request->sentAt_ = events_.Now();
    request->fingerprint_ = ++fingerprints_;
    if (fleet_.isPlain_) {
      DrawPlain(*request);
      return request;
    }
    request->parts_ = { kSystemPart,
                        kFirstOrganisation + Draw(kOrganisations),
                        DrawSubject() };
    double uniform = std::uniform_real_distribution<double>()(random_);
    request->isDeadly_ = uniform < deadlyShare_;
    if (request->isDeadly_ && fleet_.sharesSubject_) {
      request->parts_.back() = kFirstSubject + fleet_.subjects_ - 1;
      request->parts_.push_back(kDeadlyPart);
    } else if (request->isDeadly_) {
      request->parts_[fleet_.deadlyPosition_] = kDeadlyPart;
    } else if (newPartShare_ > 0.0 &&
               std::bernoulli_distribution(newPartShare_)(random_)) {
      request->parts_.back() = kNewPart;
    }
    return request;
  }

  /// Makes a request deadly, a lookup that comes often, or one of its own.
  void DrawPlain(Request& aRequest)
  {
    double uniform = std::uniform_real_distribution<double>()(random_);
    aRequest.isDeadly_ = uniform < deadlyShare_;
    if (aRequest.isDeadly_) {
      aRequest.fingerprint_ = kDeadlyRequest;
    } else if (uniform > 1.0 - kLookupShare) {
      aRequest.fingerprint_ = kFirstLookup + DrawSubject();
    }
  }

  void Arrive()
  {
    auto request = MakeRequest();
    if (!request->isDeadly_) {
      sound_.push_back(request);
    }
    Send(Draw(entries_.size()), request);
    double seconds =
      std::exponential_distribution<double>(fleet_.requestsPerSecond_)(random_);
    events_.At(events_.Now() + std::chrono::duration_cast<Duration>(
                                 std::chrono::duration<double>(seconds)),
               [this] { Arrive(); });
  }

  void Send(std::size_t aEntry, const std::shared_ptr<Request>& aRequest)
  {
    Entry& entry = *entries_[aEntry];
    TimePoint now = events_.Now();
    if (entry.quarantine_.RemainingFor(CausesOf(*aRequest), now) ||
        ++aRequest->tries_ > kMaxTries) {
      return;
    }
    auto chosen = entry.chooser_.Choose({ kService,
                                          LastPart(*aRequest),
                                          WorkClass::Short,
                                          1.0,
                                          aRequest->excluded_ },
                                        now);
    if (!chosen) {
      return;
    }
    auto& replica = replicas_[std::stoul(chosen->id_.substr(1))];
    if (replica.isDown_) {
      aRequest->excluded_.insert(chosen->id_);
      entry.chooser_.Finish(*chosen, 1.0, AttemptOutcome::Unreachable, now);
      Send(aEntry, aRequest);
      return;
    }
    if (aRequest->isDeadly_) {
      deadlySends_.push_back(now);
    }
    auto attempt = std::make_shared<Attempt>(
      Attempt{ aEntry, entry.run_, aRequest, *chosen, std::nullopt });
    replica.attempts_.push_back(attempt);
    events_.At(now + (fleet_.isPlain_ ? kPlainCrash : kFirstPart),
               [=, this] { Begin(attempt); });
    events_.At(now + (fleet_.isPlain_ ? kPlainWhole : kWhole),
               [=, this] { End(attempt); });
  }

  static RequestCauses CausesOf(const Request& aRequest)
  {
    return { aRequest.parts_, aRequest.fingerprint_, kService };
  }

  static std::uint64_t LastPart(const Request& aRequest)
  {
    return aRequest.parts_.empty() ? 0 : aRequest.parts_.back();
  }

  /// Removes an attempt from its replica; false if it was lost before.
  bool Take(const std::shared_ptr<Attempt>& aAttempt)
  {
    auto& attempts =
      replicas_[std::stoul(aAttempt->replica_.id_.substr(1))].attempts_;
    return attempts.remove(aAttempt) > 0;
  }

  bool IsRunning(const std::shared_ptr<Attempt>& aAttempt) const
  {
    const auto& attempts =
      replicas_[std::stoul(aAttempt->replica_.id_.substr(1))].attempts_;
    return std::find(attempts.begin(), attempts.end(), aAttempt) !=
           attempts.end();
  }

  void Begin(const std::shared_ptr<Attempt>& aAttempt)
  {
    if (!IsRunning(aAttempt)) {
      return;
    }
    if (!fleet_.isPlain_) {
      aAttempt->begunAt_ = events_.Now();
    }
    if (aAttempt->request_->isDeadly_) {
      deadlyCrashes_.push_back(events_.Now());
      Crash(std::stoul(aAttempt->replica_.id_.substr(1)));
      return;
    }
    aAttempt->request_->hasBegunAtOnce_ |= aAttempt->request_->tries_ == 1;
    if (fleet_.isPlain_) {
      return;
    }
    events_.At(events_.Now() + CrashQuarantine::kBeginning,
               [=, this] { Survive(aAttempt); });
  }

  void Survive(const std::shared_ptr<Attempt>& aAttempt)
  {
    Entry& entry = *entries_[aAttempt->entry_];
    if (IsRunning(aAttempt) && entry.run_ == aAttempt->entryRun_) {
      entry.quarantine_.RecordSuccess(CausesOf(*aAttempt->request_),
                                      events_.Now());
    }
  }

  void End(const std::shared_ptr<Attempt>& aAttempt)
  {
    Entry& entry = *entries_[aAttempt->entry_];
    if (!Take(aAttempt) || entry.run_ != aAttempt->entryRun_) {
      return;
    }
    TimePoint now = events_.Now();
    entry.chooser_.Finish(
      aAttempt->replica_, 1.0, AttemptOutcome::Answered, now);
    if (fleet_.isPlain_) {
      entry.quarantine_.RecordSuccess(CausesOf(*aAttempt->request_), now);
    }
  }

  void Crash(std::size_t aReplica)
  {
    SimulatedReplica& replica = replicas_[aReplica];
    if (replica.isDown_) {
      return;
    }
    replica.isDown_ = true;
    for (const auto& attempt : std::exchange(replica.attempts_, {})) {
      events_.At(events_.Now() + kLatency, [=, this] { Lose(attempt); });
    }
    events_.At(events_.Now() + kRestart, [=, this] {
      replicas_[aReplica].isDown_ = false;
      ++replicas_[aReplica].info_.startTimeMs_;
      PublishReplicas();
    });
  }

  void Lose(const std::shared_ptr<Attempt>& aAttempt)
  {
    Entry& entry = *entries_[aAttempt->entry_];
    if (entry.run_ != aAttempt->entryRun_) {
      return;
    }
    TimePoint now = events_.Now();
    Request& request = *aAttempt->request_;
    entry.chooser_.Finish(aAttempt->replica_, 1.0, AttemptOutcome::Broken, now);
    entry.quarantine_.RecordLoss(
      CausesOf(request), aAttempt->replica_, aAttempt->begunAt_, now);
    request.excluded_.insert(aAttempt->replica_.id_);
    if (++request.runs_ < fleet_.maxRuns_ &&
        !entry.quarantine_.IsSuspected(CausesOf(request))) {
      Send(aAttempt->entry_, aAttempt->request_);
    }
  }

  void Sync(std::size_t aEntry)
  {
    Report(aEntry);
    events_.At(events_.Now() + kSyncInterval, [=, this] { Sync(aEntry); });
  }

  void Report(std::size_t aEntry)
  {
    Entry& entry = *entries_[aEntry];
    auto evidence = entry.quarantine_.Report(events_.Now());
    std::string run = std::to_string(entry.run_);
    events_.At(events_.Now() + kLatency, [=, this] {
      detector_->RecordReport(run, evidence, events_.Now());
      UpdateLeader();
      bool isCurrent = entries_[aEntry]->term_ == term_ &&
                       entries_[aEntry]->revision_ == detector_->Revision();
      if (!isCurrent) {
        SendVerdicts(aEntry, kLatency);
      }
    });
  }

  void SendVerdicts(std::size_t aEntry, Duration aDelay)
  {
    auto verdicts = detector_->Verdicts(events_.Now());
    events_.At(events_.Now() + aDelay, [=, this, term = term_] {
      entries_[aEntry]->quarantine_.Apply(verdicts, events_.Now());
      entries_[aEntry]->term_ = term;
      entries_[aEntry]->revision_ = verdicts.revision_;
      Report(aEntry);
    });
  }

  void TickLeader()
  {
    UpdateLeader();
    events_.At(events_.Now() + kTick, [this] { TickLeader(); });
  }

  void UpdateLeader()
  {
    if (!detector_->Update(events_.Now())) {
      return;
    }
    for (const auto& part : detector_->Verdicts(events_.Now()).quarantined_) {
      quarantined_.insert(part.cause_);
    }
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      SendVerdicts(entry, kNotify);
    }
  }

  CrashingFleet fleet_;
  std::mt19937 random_;
  EventQueue events_;
  std::unique_ptr<CrashDetector> detector_;
  std::uint64_t term_ = 1;
  std::vector<SimulatedReplica> replicas_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::uint64_t runs_ = 0;
  /// Fingerprints of requests that come once.
  std::uint64_t fingerprints_ = std::uint64_t{ 1 } << 32U;
  double deadlyShare_ = 0.0;
  double newPartShare_ = 0.0;
  std::vector<std::shared_ptr<Request>> sound_;
  std::vector<TimePoint> deadlySends_;
  std::vector<TimePoint> deadlyCrashes_;
  std::set<std::uint64_t> quarantined_;
};

} // namespace tanagerstall

#endif
