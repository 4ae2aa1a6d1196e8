// Roll-outs of good and bad versions in a fleet without a network: the leader's
// controller, and the counter and router of every entry.
#define BOOST_TEST_MODULE rollout_controller
#include "tanagerstall/process/tanagerstall_rollout_controller.hpp"
#include "tanagerstall/request/tanagerstall_rollout_counter.hpp"
#include "tanagerstall/request/tanagerstall_rollout_router.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <queue>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kReportInterval = 200ms;
constexpr Duration kCountsPerEntry = 2ms;
constexpr double kRequestsPerSecond = 10.0;
constexpr double kRequestsPerReplica = 8.0;
constexpr double kFirstPartMs = 300.0;
constexpr double kSlowFactor = 4.0;
constexpr double kBadToCount = 50.0;
constexpr Duration kRollbackTime = 5s;
const std::vector<std::pair<std::string, double>> kRoutes{
  { "chat", 0.6 },
  { "search", 0.3 },
  { "rare", 0.1 },
};
const TimePoint kStart{ 1h };
const WallTime kOrderedAt{ 1'000'000s };

/// A version, and what goes wrong during its roll-out.
struct Row
{
  const char* name_ = "";
  bool isGood_ = true;
  /// Failures of both versions.
  double baseFailures_ = 0.005;
  double failures_ = 0.0;
  double slowness_ = 1.0;
  /// The time after the start of the replicas when the fault begins.
  Duration faultAfter_{ 0 };
  /// Whether it occurs only under the load of an old replica.
  bool needsLoad_ = false;
  /// The route on which it occurs; all if empty.
  std::string route_{};
  std::optional<Duration> leaderLostAt_{};
  bool isEntryCutOff_ = false;
  double newReplicas_ = 1.0;
  std::chrono::milliseconds length_{ 12s };
};

std::ostream&
operator<<(std::ostream& aOut, const Row& aRow)
{
  return aOut << aRow.name_;
}

const std::vector<Row> kRows{
  { .name_ = "good" },
  { .name_ = "good, in 5 s", .length_ = 5s },
  { .name_ = "good, in a minute", .length_ = 60s },
  { .name_ = "good with base failures", .baseFailures_ = 0.14 },
  { .name_ = "good with cold caches", .slowness_ = 2.5 },
  { .name_ = "good, leader lost", .leaderLostAt_ = 4s },
  { .name_ = "good, entry cut off", .isEntryCutOff_ = true },
  { .name_ = "errors", .isGood_ = false, .failures_ = 0.5 },
  { .name_ = "errors and base failures",
    .isGood_ = false,
    .baseFailures_ = 0.14,
    .failures_ = 0.5 },
  { .name_ = "all errors", .isGood_ = false, .failures_ = 1.0 },
  { .name_ = "slow", .isGood_ = false, .slowness_ = 8.0 },
  { .name_ = "under load only",
    .isGood_ = false,
    .failures_ = 0.5,
    .needsLoad_ = true },
  { .name_ = "one route only",
    .isGood_ = false,
    .failures_ = 0.5,
    .route_ = "rare" },
  { .name_ = "late", .isGood_ = false, .failures_ = 0.5, .faultAfter_ = 3s },
  { .name_ = "late and slow",
    .isGood_ = false,
    .slowness_ = 8.0,
    .faultAfter_ = 3s },
  { .name_ = "errors, leader lost",
    .isGood_ = false,
    .failures_ = 0.5,
    .leaderLostAt_ = 1500ms },
  { .name_ = "late, leader lost",
    .isGood_ = false,
    .failures_ = 0.5,
    .faultAfter_ = 3s,
    .leaderLostAt_ = 3s },
  { .name_ = "errors, entry cut off",
    .isGood_ = false,
    .failures_ = 0.5,
    .isEntryCutOff_ = true },
  { .name_ = "too few replicas", .isGood_ = false, .newReplicas_ = 0.4 },
};

const std::vector<std::size_t> kEntries{ 24, 65, 191, 300 };

struct Entry
{
  Entry(std::string aRun, std::uint64_t aSeed)
    : run_(std::move(aRun))
    , router_(aSeed)
  {
  }

  std::string run_;
  RolloutRouter router_;
  RolloutCounter counter_;
  std::shared_ptr<const ReplicasByService> replicas_;
  /// The revision that it has of the control process.
  std::uint64_t revision_ = 0;
  Duration reportsAt_{ 0 };
  /// What it reported last; it reports new counts less often in a large fleet.
  std::vector<RolloutCounts> reported_;
  Duration countsAt_{ 0 };
  std::uint64_t confirmed_ = 0;
};

/// The load of a replica: requests per second, over about a second.
struct ReplicaLoad
{
  double rate_ = 0.0;
  TimePoint updatedAt_ = kStart;

  double Add(TimePoint aNow)
  {
    rate_ *= std::exp(-InSeconds(aNow - updatedAt_));
    updatedAt_ = aNow;
    return rate_ += 1.0;
  }
};

class FakeFleet
{
public:
  FakeFleet(const Row& aRow, std::size_t aEntries)
    : row_(aRow)
    , random_(aEntries * 7919 + 1)
  {
    rollouts_["s"] = { 3, { "s", "v2", aRow.length_, kOrderedAt }, {}, {} };
    for (std::size_t i = 0; i < aEntries; ++i) {
      entries_.emplace_back("e" + std::to_string(i), i + 1);
      entries_.back().reportsAt_ =
        std::chrono::duration_cast<Duration>(kReportInterval * Unit());
      runs_.insert(entries_.back().run_);
    }
    oldReplicas_ = static_cast<std::size_t>(
      static_cast<double>(aEntries) * kRequestsPerSecond / kRequestsPerReplica);
    AddReplicas("v1", oldReplicas_);
    for (auto& entry : entries_) {
      entry.replicas_ = present_;
    }
    StartLeader();
  }

  void Run()
  {
    while (now_ < kStart + row_.length_ + 2s) {
      now_ += kStep;
      if (now_ == kStart + kBoot) {
        AddReplicas("v2",
                    static_cast<std::size_t>(
                      row_.newReplicas_ * static_cast<double>(oldReplicas_)));
        for (auto& entry : entries_) {
          SetReplicas(entry);
        }
      }
      LoseLeader();
      while (!events_.empty() && events_.top().first <= now_) {
        auto event = events_.top().second;
        events_.pop();
        event();
      }
      for (auto& entry : entries_) {
        TakeRequests(entry);
        Report(entry);
      }
      if ((now_ - kStart) % 100ms == 0ms) {
        Decide();
      }
    }
  }

  double Exposure() const { return newSent_; }
  double Requests() const { return requests_; }
  std::optional<TimePoint> BadReachedAt() const { return badReachedAt_; }
  TimePoint LastNewSend() const { return lastNewSend_; }
  RolloutState State() const { return rollouts_.at("s").state_; }
  Duration EndedAfter() const
  {
    return rollouts_.at("s").endedAt_ - kOrderedAt;
  }
  int OldInProgressAtEnd() const { return oldInProgressAtEnd_; }
  double OldSentAfterEnd() const { return oldSentAfterEnd_; }

private:
  static constexpr Duration kBoot = 500ms;
  static constexpr Duration kLeaderGap = 2s;

  double Unit() { return std::uniform_real_distribution<double>()(random_); }

  Duration Delay()
  {
    return 30ms + std::chrono::microseconds(int(Unit() * 9e4));
  }

  void At(Duration aDelay, std::function<void()> aEvent)
  {
    events_.push({ now_ + aDelay, std::move(aEvent) });
  }

  void AddReplicas(const std::string& aVersion, std::size_t aCount)
  {
    auto present = std::make_shared<ReplicasByService>(
      present_ ? *present_ : ReplicasByService());
    for (std::size_t i = 0; i < aCount; ++i) {
      Replica replica;
      replica.id_ = aVersion + "-" + std::to_string(i);
      replica.service_ = "s";
      replica.version_ = aVersion;
      replica.startTimeMs_ = 1;
      (*present)["s"].push_back(replica);
    }
    present_ = present;
  }

  void StartLeader()
  {
    ++leaders_;
    controller_.emplace(RolloutBounds(), leaders_ * 1000);
    controller_->SetRollouts(rollouts_);
    controller_->StartLeading(now_);
    for (auto& entry : entries_) {
      entry.revision_ = 0;
    }
  }

  void LoseLeader()
  {
    if (row_.leaderLostAt_ && now_ == kStart + *row_.leaderLostAt_) {
      controller_.reset();
    }
    if (row_.leaderLostAt_ &&
        now_ == kStart + *row_.leaderLostAt_ + kLeaderGap) {
      StartLeader();
    }
  }

  void SetReplicas(Entry& aEntry)
  {
    aEntry.replicas_ = aEntry.router_.Filter(present_);
  }

  void TakeRequests(Entry& aEntry)
  {
    if (Unit() >= kRequestsPerSecond * InSeconds(kStep)) {
      return;
    }
    ++requests_;
    double part = Unit();
    std::size_t route = 0;
    while (part > kRoutes[route].second && route + 1 < kRoutes.size()) {
      part -= kRoutes[route].second;
      ++route;
    }
    // A third of the requests has no session; a few sessions are large.
    auto session = static_cast<std::uint64_t>(std::pow(Unit(), 3.0) * 60.0);
    Send(aEntry,
         kRoutes[route].first,
         aEntry.router_.Assign("s", Unit() < 0.3 ? 0 : session, now_));
  }

  void Send(Entry& aEntry, const std::string& aRoute, RolloutSide aSide)
  {
    auto it = aEntry.replicas_->find("s");
    if (it == aEntry.replicas_->end()) {
      return;
    }
    // The replicas of the new version are the last ones.
    const auto& all = it->second;
    auto firstNew = std::find_if(all.begin(), all.end(), [](const auto& aIt) {
      return aIt.version_ == "v2";
    });
    auto begin = aSide == RolloutSide::New ? firstNew : all.begin();
    auto end = aSide == RolloutSide::Old ? firstNew : all.end();
    if (begin == end) {
      begin = all.begin();
      end = firstNew;
    }
    if (begin == end) {
      return;
    }
    auto index =
      static_cast<std::ptrdiff_t>(Unit() * static_cast<double>(end - begin));
    const Replica& replica = *(begin + index);
    bool isNew = replica.version_ == "v2";
    if (isNew) {
      ++newSent_;
      lastNewSend_ = now_;
    } else if (State() == RolloutState::Completed &&
               now_ > kStart + EndedAfter() + 1s) {
      ++oldSentAfterEnd_;
    }
    Answer(aEntry, aRoute, replica, isNew);
  }

  void Answer(Entry& aEntry,
              const std::string& aRoute,
              const Replica& aReplica,
              bool aIsNew)
  {
    double load = loads_[aReplica.id_].Add(now_);
    oldInProgress_ += aIsNew ? 0 : 1;
    bool isFaulty = aIsNew && now_ >= kStart + kBoot + row_.faultAfter_ &&
                    (row_.route_.empty() || row_.route_ == aRoute) &&
                    (!row_.needsLoad_ || load > 0.7 * kRequestsPerReplica);
    bool fails =
      Unit() < row_.baseFailures_ || (isFaulty && Unit() < row_.failures_);
    double spread = std::exp(0.5 * std::normal_distribution<double>()(random_));
    double ms = kFirstPartMs * spread * (isFaulty ? row_.slowness_ : 1.0);
    bool isSlow = ms > kSlowFactor * kFirstPartMs;
    auto sent = std::make_shared<RolloutCounter::Sent>(
      aEntry.counter_.OnSent(aReplica, aRoute, now_));
    if (fails) {
      At(30ms, [=, this, &aEntry] {
        aEntry.counter_.OnEnd(*sent, SentOutcome::Failed, now_);
        oldInProgress_ -= aIsNew ? 0 : 1;
        CountBad(aIsNew);
        if (Unit() < 0.5) {
          Send(aEntry, aRoute, aEntry.router_.SideAfterFailure("s", now_));
        }
      });
      return;
    }
    auto firstPart = std::chrono::microseconds(static_cast<int>(ms * 1000.0));
    At(firstPart, [=, this, &aEntry] {
      aEntry.counter_.OnFirstPart(*sent, now_);
      CountBad(aIsNew && isSlow);
    });
    At(firstPart + 400ms, [=, this, &aEntry] {
      aEntry.counter_.OnEnd(*sent, SentOutcome::Answered, now_);
      oldInProgress_ -= aIsNew ? 0 : 1;
    });
  }

  void CountBad(bool aIsBad)
  {
    bad_ += aIsBad ? 1.0 : 0.0;
    if (bad_ >= kBadToCount && !badReachedAt_) {
      badReachedAt_ = now_;
    }
  }

  bool IsCutOff(const Entry& aEntry) const
  {
    return row_.isEntryCutOff_ && &aEntry == &entries_[5] &&
           now_ > kStart + 3s && now_ < kStart + 9s;
  }

  void Report(Entry& aEntry)
  {
    if (now_ - kStart < aEntry.reportsAt_) {
      return;
    }
    aEntry.reportsAt_ += kReportInterval;
    if (IsCutOff(aEntry)) {
      return;
    }
    bool confirms = aEntry.confirmed_ != aEntry.revision_;
    if (confirms || now_ - kStart >= aEntry.countsAt_) {
      aEntry.confirmed_ = aEntry.revision_;
      aEntry.countsAt_ = now_ - kStart + kCountsPerEntry * entries_.size();
      aEntry.reported_ = aEntry.counter_.Report();
    }
    TimePoint reportedAt = now_;
    At(Delay(),
       [=,
        this,
        &aEntry,
        counts = aEntry.reported_,
        revision = aEntry.revision_,
        leader = leaders_] {
         if (!controller_ || leader != leaders_) {
           return;
         }
         controller_->Record(aEntry.run_, counts, revision, now_);
         bool isNews = revision != controller_->Revision();
         At(Delay(),
            [=,
             this,
             &aEntry,
             directives = controller_->Directives(),
             current = controller_->Revision()] {
              HandleAnswer(aEntry,
                           isNews ? &directives : nullptr,
                           current,
                           leader,
                           reportedAt + kDirectiveLease);
            });
       });
  }

  void HandleAnswer(Entry& aEntry,
                    const std::vector<RolloutDirective>* aDirectives,
                    std::uint64_t aRevision,
                    std::uint64_t aLeader,
                    TimePoint aUntil)
  {
    std::string control = std::to_string(aLeader);
    if (aDirectives == nullptr) {
      aEntry.router_.Renew(control, aUntil);
      return;
    }
    if (aLeader == leaders_) {
      aEntry.revision_ = aRevision;
    }
    if (aEntry.router_.Adopt(*aDirectives, control, aUntil)) {
      SetReplicas(aEntry);
    }
    for (const auto& rollout : aEntry.router_.Rollouts()) {
      aEntry.counter_.Begin(rollout);
    }
  }

  void Decide()
  {
    if (!controller_) {
      return;
    }
    RolloutFleet fleet{ runs_, CountSides(rollouts_, *present_) };
    auto wall =
      kOrderedAt +
      std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kStart);
    controller_->Update(fleet, now_, wall);
    for (const auto& step : controller_->TakeSteps()) {
      BOOST_TEST_MESSAGE(
        InSeconds(now_ - kStart)
        << " s: " << step.reason_ << ", share " << step.requestShare_ << ", "
        << step.counts_.new_.sent_ << " sent to the new side, "
        << step.counts_.new_.failed_ << " failed, evidence "
        << (step.evidence_ ? step.evidence_->weight_ : 0.0) << " of "
        << (step.evidence_ ? step.evidence_->newAll_ : 0.0) << " on '"
        << (step.evidence_ ? step.evidence_->route_ : "") << "'");
    }
    for (const auto& end : controller_->PendingEnds()) {
      rollouts_["s"].state_ = end.state_;
      rollouts_["s"].endedAt_ = end.endedAt_;
      oldInProgressAtEnd_ = oldInProgress_;
    }
    controller_->SetRollouts(rollouts_);
  }

  struct Later
  {
    template<class Event>
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return aLeft.first > aRight.first;
    }
  };

  const Row& row_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  std::map<std::string, Rollout> rollouts_;
  std::deque<Entry> entries_;
  std::set<std::string> runs_;
  std::size_t oldReplicas_ = 0;
  std::shared_ptr<const ReplicasByService> present_;
  std::map<std::string, ReplicaLoad> loads_;
  std::uint64_t leaders_ = 0;
  std::optional<RolloutController> controller_;
  std::priority_queue<std::pair<TimePoint, std::function<void()>>,
                      std::vector<std::pair<TimePoint, std::function<void()>>>,
                      Later>
    events_;
  double requests_ = 0.0;
  double newSent_ = 0.0;
  double oldSentAfterEnd_ = 0.0;
  int oldInProgress_ = 0;
  int oldInProgressAtEnd_ = 0;
  double bad_ = 0.0;
  std::optional<TimePoint> badReachedAt_;
  TimePoint lastNewSend_;
};

} // namespace

// Guards against bad versions that get more than their bounds or are completed,
// and against good ones that are rolled back or not completed in time.
BOOST_DATA_TEST_CASE(A_rollout_ends_as_its_version_deserves_within_its_bounds,
                     data::make(kRows) * data::make(kEntries),
                     row,
                     entries)
{
  FakeFleet fleet(row, entries);
  fleet.Run();
  if (row.isGood_) {
    BOOST_TEST((fleet.State() == RolloutState::Completed));
    BOOST_TEST(InSeconds(fleet.EndedAfter()) < InSeconds(row.length_));
    BOOST_TEST(fleet.OldSentAfterEnd() == 0.0);
    // Shortly before the deadline the old side's work isn't awaited any longer.
    bool isLate = fleet.EndedAfter() >= 0.95 * row.length_;
    BOOST_TEST((isLate || fleet.OldInProgressAtEnd() == 0));
    return;
  }
  BOOST_TEST((fleet.State() == RolloutState::RolledBack));
  BOOST_TEST(InSeconds(fleet.EndedAfter()) <= InSeconds(row.length_) + 0.1);
  BOOST_TEST(fleet.Exposure() <= 0.1 * fleet.Requests() + 50.0);
  if (fleet.BadReachedAt()) {
    BOOST_TEST(InSeconds(fleet.LastNewSend() - *fleet.BadReachedAt()) <=
               InSeconds(kRollbackTime));
  }
}
