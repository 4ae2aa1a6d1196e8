// Entries that send requests to replicas, some of which ask each entry for a
// back-off at the same moment: the requests that reach them meanwhile, and the
// rate at which they get work again.
#define BOOST_TEST_MODULE requested_backoff
#include "tanagerstall_event_queue.hpp"

#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct PauseCase
{
  std::size_t entries_;
  std::size_t replicas_;
  /// The replicas that pause.
  std::size_t pausing_;
  std::chrono::milliseconds pause_;
};

std::ostream&
operator<<(std::ostream& aOut, const PauseCase& aCase)
{
  return aOut << aCase.entries_ << " entries, " << aCase.pausing_ << " of "
              << aCase.replicas_ << " replicas for " << aCase.pause_.count()
              << " ms";
}

/// Callers whose requests arrive at entries at random. One that is refused
/// comes back once, when it was told to.
class PauseSimulation
{
public:
  explicit PauseSimulation(const PauseCase& aCase)
    : case_(aCase)
    , replicas_(std::make_shared<ReplicasByService>())
    , lastRefusal_(aCase.entries_,
                   std::vector<std::optional<Refusal>>(aCase.replicas_))
    , sends_(aCase.entries_, std::vector<int>(aCase.replicas_))
    , arrivals_(aCase.replicas_)
  {
    for (std::size_t i = 0; i < case_.replicas_; ++i) {
      Replica replica;
      replica.id_ = "r" + std::to_string(i);
      replica.service_ = kService;
      (*replicas_)[kService].push_back(replica);
    }
    for (std::size_t i = 0; i < case_.entries_; ++i) {
      entries_.push_back(
        std::make_unique<ReplicaChooser>(ReplicaChooser::Settings{}, i + 1));
      entries_.back()->SetReplicas(replicas_);
    }
    pauseBegin_ = events_.Now() + kBefore;
    pauseEnd_ = pauseBegin_ + case_.pause_;
    events_.At(events_.Now(), [this] { Arrive(); });
  }

  void RunUntilAfterReturn(Duration aTime)
  {
    events_.RunUntil(pauseEnd_ + aTime);
  }

  /// The most requests that reached a replica from an entry between half a
  /// second after it asked for a back-off and the end of that.
  int MostSendsWithinPause() const
  {
    int most = 0;
    for (const auto& sends : sends_) {
      most = std::max(most, *std::max_element(sends.begin(), sends.end()));
    }
    return most;
  }

  /// The requests that reached the pausing replicas in the time after their
  /// return, as a multiple of their equal part.
  double RateAtReturn(Duration aTime) const
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < case_.pausing_; ++i) {
      count += static_cast<std::size_t>(
        std::count_if(arrivals_[i].begin(), arrivals_[i].end(), [&](auto aAt) {
          return aAt >= pauseEnd_ && aAt < pauseEnd_ + aTime;
        }));
    }
    double mean = RatePerReplica() * InSeconds(aTime);
    return static_cast<double>(count) /
           (mean * static_cast<double>(case_.pausing_));
  }

  /// Requests that were refused although a replica was open to them.
  std::size_t RefusedWithoutNeed() const { return refusedWithoutNeed_; }

private:
  static constexpr const char* kService = "models";
  static constexpr double kRatePerReplica = 20.0;
  static constexpr double kRatePerReplicaOfMany = 8.0;
  static constexpr std::size_t kManyReplicas = 100;
  static constexpr Duration kBefore = 4s;
  static constexpr Duration kLatency = 10ms;
  static constexpr Duration kRun = 500ms;

  struct Refusal
  {
    TimePoint firstAt_;
    TimePoint end_;
  };

  double RatePerReplica() const
  {
    return case_.replicas_ < kManyReplicas ? kRatePerReplica
                                           : kRatePerReplicaOfMany;
  }

  void Arrive()
  {
    Send(std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(
           random_),
         false);
    double rate = RatePerReplica() * static_cast<double>(case_.replicas_);
    double seconds = std::exponential_distribution<double>(rate)(random_);
    events_.At(events_.Now() + std::chrono::duration_cast<Duration>(
                                 std::chrono::duration<double>(seconds)),
               [this] { Arrive(); });
  }

  void Send(std::size_t aEntry, bool aIsRetry)
  {
    TimePoint now = events_.Now();
    ReplicaChooser& chooser = *entries_[aEntry];
    auto chosen =
      chooser.Choose({ kService, 0, WorkClass::Plain, 1.0, {} }, now);
    if (chosen) {
      auto index = std::stoul(chosen->id_.substr(1));
      events_.At(now + kLatency, [=, this] { Reach(aEntry, index, aIsRetry); });
      return;
    }
    auto untilOpen = chooser.TimeUntilOpen(kService, now);
    refusedWithoutNeed_ += untilOpen ? 0 : 1;
    if (untilOpen && !aIsRetry) {
      Duration spread = std::max(RequestedBackoff::kReturnTime, *untilOpen);
      double part = std::uniform_real_distribution<double>()(random_);
      events_.At(now + *untilOpen +
                   std::chrono::duration_cast<Duration>(spread * part),
                 [=, this] { Send(aEntry, true); });
    }
  }

  void Reach(std::size_t aEntry, std::size_t aReplica, bool aIsRetry)
  {
    TimePoint now = events_.Now();
    bool isPaused =
      aReplica < case_.pausing_ && now >= pauseBegin_ && now < pauseEnd_;
    auto& refusal = lastRefusal_[aEntry][aReplica];
    if (refusal && now > refusal->firstAt_ + 500ms && now < refusal->end_) {
      ++sends_[aEntry][aReplica];
    }
    arrivals_[aReplica].push_back(now);
    if (!isPaused) {
      events_.At(now + kRun, [=, this] {
        Finish(aEntry, aReplica, AttemptOutcome::Answered);
      });
      return;
    }
    if (!refusal) {
      refusal = { now, pauseEnd_ };
    }
    ReplicaNotice notice{ false, pauseEnd_ - now, std::nullopt, false };
    events_.At(now + kLatency, [=, this] {
      entries_[aEntry]->RecordNotice(At(aReplica), notice, events_.Now());
      Finish(aEntry, aReplica, AttemptOutcome::Refused);
      Send(aEntry, aIsRetry);
    });
  }

  const Replica& At(std::size_t aReplica) const
  {
    return replicas_->at(kService)[aReplica];
  }

  void Finish(std::size_t aEntry, std::size_t aReplica, AttemptOutcome aOutcome)
  {
    entries_[aEntry]->Finish(At(aReplica), 1.0, aOutcome, events_.Now());
  }

  PauseCase case_;
  std::mt19937 random_{ 1 };
  EventQueue events_;
  std::shared_ptr<ReplicasByService> replicas_;
  std::vector<std::unique_ptr<ReplicaChooser>> entries_;
  TimePoint pauseBegin_;
  TimePoint pauseEnd_;
  std::vector<std::vector<std::optional<Refusal>>> lastRefusal_;
  std::vector<std::vector<int>> sends_;
  std::vector<std::vector<TimePoint>> arrivals_;
  std::size_t refusedWithoutNeed_ = 0;
};

std::vector<PauseCase>
MakePauses()
{
  std::vector<PauseCase> cases;
  for (std::size_t entries : { 1, 8, 54, 191 }) {
    for (std::size_t replicas : { 12, 200 }) {
      for (std::size_t pausing : { std::size_t{ 1 }, replicas / 2, replicas }) {
        for (auto pause : { 500ms, 2000ms, 10000ms }) {
          bool isLarge = replicas > 12 && pause > 2s;
          if (!isLarge || entries == 54) {
            cases.push_back({ entries, replicas, pausing, pause });
          }
        }
      }
    }
  }
  return cases;
}

/// The most requests from one entry that a replica accepts within its back-off.
constexpr int kMaxSendsWithinPause = 2;
constexpr double kMaxRateAtReturn = 2.0;
constexpr Duration kReturn = 500ms;

} // namespace

// Guards against requests to a replica that has asked for none, and against all
// requests of all entries at the moment at which it wants some again.
BOOST_TEST_DECORATOR(*boost::unit_test::label("back-off"))
BOOST_DATA_TEST_CASE(A_replica_is_spared_and_gets_work_back_step_by_step,
                     data::make(MakePauses()),
                     row)
{
  PauseSimulation simulation(row);
  simulation.RunUntilAfterReturn(kReturn);
  BOOST_TEST(simulation.MostSendsWithinPause() <= kMaxSendsWithinPause);
  BOOST_TEST(simulation.RateAtReturn(kReturn) <= kMaxRateAtReturn);
  BOOST_TEST(simulation.RefusedWithoutNeed() == 0U);
}
