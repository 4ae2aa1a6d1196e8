// Tests of admission under overload, by simulation of a whole service.
#define BOOST_TEST_MODULE admission
#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
#include "tanagerstall/process/tanagerstall_admission_levels.hpp"
#include "tanagerstall/request/tanagerstall_admission_control.hpp"
#include "tanagerstall_admission_simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <set>

using namespace tanagerstall;

namespace {

constexpr std::array<std::size_t, 4> kEntryCounts{ 24, 65, 191, 300 };
constexpr std::uint64_t kSeed = 7;

void
PrintHead()
{
  std::cout << "  entries  load               value  "
               "in time, late, expired, refused by rank, in %\n";
}

void
PrintRow(std::size_t aEntries,
         const char* aName,
         const SimulationResult& aResult)
{
  std::cout << std::fixed << std::setprecision(1) << std::setw(9) << aEntries
            << "  " << std::left << std::setw(18) << aName << std::right << " "
            << std::setw(5) << 100.0 * aResult.Value();
  for (const auto& kind : aResult.kinds_) {
    std::cout << "  |";
    for (auto count :
         { kind.inTime_, kind.late_, kind.expired_, kind.refused_ }) {
      std::cout << " " << std::setw(5)
                << 100.0 * static_cast<double>(count) /
                     static_cast<double>(kind.arrivals_);
    }
  }
  std::cout << "  | overload";
  for (const auto& kind : aResult.kinds_) {
    std::cout << " " << std::setw(5) << 100.0 * kind.OverloadInTimeShare();
  }
  std::cout << "\n";
}

/// The plan of the simulated service.
TrafficPlan
MakePlan()
{
  TrafficPlan plan;
  plan.services_["s"].name_ = "s";
  plan.services_["s"].engine_ = EngineCapacity{ 16, 0 };
  for (std::size_t i = 0; i < kKinds; ++i) {
    Route route;
    route.targetLatency_ =
      std::chrono::duration_cast<Milliseconds>(kSimulatedKinds[i].target_);
    route.timeout_ =
      std::chrono::duration_cast<Milliseconds>(kSimulatedKinds[i].timeout_);
    route.priority_ = static_cast<std::uint32_t>(i);
    route.services_ = { { "s", 1 } };
    plan.routes_.push_back(route);
  }
  return plan;
}

/// How the entries learn the sums.
struct Sharing
{
  bool hasLeader_ = true;
  /// When the leader is lost, after the begin.
  Duration lostAt_ = 1h;
  /// The number of entries that stop at `lostAt_`.
  std::size_t frozen_ = 0;
};

/// Entries with admission, and the leader that sums their reports.
class AdmissionFleet
{
public:
  AdmissionFleet(AdmissionSimulation& aSimulation,
                 std::size_t aEntries,
                 Sharing aSharing)
    : simulation_(aSimulation)
    , sharing_(aSharing)
    , begin_(aSimulation.Events().Now())
  {
    TrafficPlan plan = MakePlan();
    leader_.StartLeading(begin_ - 2s);
    for (std::size_t i = 0; i < aEntries; ++i) {
      entries_.emplace_back(kSeed + i);
      entries_.back().SetPlan(plan);
      entries_.back().SetShareDivisor(static_cast<std::uint32_t>(aEntries));
      // Entries report at different times.
      auto phase = std::chrono::milliseconds(200 * i / aEntries);
      simulation_.Events().At(begin_ + phase, [this, i] { Report(i); });
    }
    auto& hooks = simulation_.admission_;
    hooks.decide_ =
      [this](const SimulatedRequest& aIt) -> std::optional<Duration> {
      auto decision = entries_[aIt.entry_].Decide(Describe(aIt), Now());
      if (!decision.isRefused_) {
        return std::nullopt;
      }
      return decision.retryAfter_;
    };
    hooks.onSend_ = [this](const SimulatedRequest& aIt) {
      entries_[aIt.entry_].OnSend(Describe(aIt), Now());
    };
    hooks.onFirstPart_ = [this](const SimulatedRequest& aIt) {
      entries_[aIt.entry_].OnFirstPart(
        Describe(aIt), Now() - aIt.sentAt_, Now());
    };
    hooks.onEnd_ = [this](const SimulatedRequest& aIt, bool aIsExpired) {
      std::optional<Duration> expired;
      if (aIsExpired && !aIt.firstPartAt_) {
        expired = Now() - aIt.sentAt_;
      }
      entries_[aIt.entry_].OnEnd(
        Describe(aIt), aIt.firstPartAt_.has_value(), expired, Now());
    };
    hooks.onTick_ = [this](std::size_t aSlots) { Tick(aSlots); };
  }

  /// The mean over time of the deviation of the level over the entries.
  double MeanDeviation() const { return deviation_ / std::max(1.0, ticks_); }

private:
  TimePoint Now() const { return simulation_.Events().Now(); }

  AdmissionRequest Describe(const SimulatedRequest& aIt) const
  {
    const SimulatedKind& kind = kSimulatedKinds[aIt.kind_];
    AdmissionRequest request;
    request.service_ = "s";
    request.rank_ = static_cast<std::uint32_t>(aIt.kind_);
    request.promptTokens_ = aIt.promptTokens_;
    request.work_ = aIt.promptTokens_ + 10.0 * aIt.outputTokens_;
    request.caller_ = aIt.organisation_ * 1000003ULL + aIt.session_;
    request.target_ = kind.target_;
    request.timeout_ = kind.timeout_;
    request.timeLeft_ = aIt.deadline_ - Now();
    return request;
  }

  /// A brief report and its answer, on the way for 20 ms each.
  void Report(std::size_t aEntry)
  {
    bool isLost = Now() >= begin_ + sharing_.lostAt_;
    bool isFrozen = isLost && aEntry < sharing_.frozen_;
    bool isLeaderLost = isLost && sharing_.frozen_ == 0;
    if (sharing_.hasLeader_ && !isFrozen && !isLeaderLost) {
      TimePoint madeAt = Now();
      auto sums = entries_[aEntry].Report(madeAt);
      simulation_.Events().At(madeAt + 20ms, [this, aEntry, sums, madeAt] {
        leader_.Record(std::to_string(aEntry), sums, Now());
        auto total = leader_.Sums(Now());
        simulation_.Events().At(madeAt + 40ms, [this, aEntry, total, madeAt] {
          entries_[aEntry].AdoptSums(total, madeAt);
        });
      });
    }
    if (Now() < begin_ + 40s) {
      simulation_.Events().At(Now() + 200ms,
                              [this, aEntry] { Report(aEntry); });
    }
  }

  void Tick(std::size_t aSlots)
  {
    double sum = 0.0;
    double squares = 0.0;
    ReplicasByService replicas;
    Replica replica;
    replica.slots_ = static_cast<std::uint32_t>(aSlots);
    replicas["s"] = { replica };
    for (auto& entry : entries_) {
      entry.SetReplicas(replicas);
      double level = entry.Levels(Now())["s"];
      sum += level;
      squares += level * level;
    }
    auto count = static_cast<double>(entries_.size());
    double mean = sum / count;
    if (mean < kKinds) {
      deviation_ += std::sqrt(std::max(0.0, squares / count - mean * mean));
      ticks_ += 1.0;
    }
  }

  AdmissionSimulation& simulation_;
  Sharing sharing_;
  TimePoint begin_;
  std::deque<AdmissionControl> entries_;
  AdmissionLevels leader_;
  double deviation_ = 0.0;
  double ticks_ = 0.0;
};

SimulationResult
RunWith(std::size_t aEntries, const LoadPattern& aPattern, Sharing aSharing)
{
  AdmissionSimulation simulation({ aEntries }, aPattern, kSeed);
  AdmissionFleet fleet(simulation, aEntries, aSharing);
  auto result = simulation.Run();
  result.levelDeviation_ = fleet.MeanDeviation();
  PrintRow(aEntries, aPattern.name_, result);
  return result;
}

SimulationResult
RunWithout(std::size_t aEntries, const LoadPattern& aPattern)
{
  AdmissionSimulation simulation({ aEntries }, aPattern, kSeed);
  auto result = simulation.Run();
  PrintRow(aEntries, aPattern.name_, result);
  return result;
}

bool
IsOverload(const LoadPattern& aPattern)
{
  return std::string_view(aPattern.name_) != "usual" &&
         std::string_view(aPattern.name_) != "wave";
}

/// Checks that no kind and no size is starved.
void
CheckShares(const SimulationResult& aResult)
{
  double served = 0.0;
  double arrivals = 0.0;
  for (const auto& kind : aResult.kinds_) {
    served += static_cast<double>(kind.inTime_ + kind.late_);
    arrivals += static_cast<double>(kind.arrivals_);
  }
  for (const auto& kind : aResult.kinds_) {
    auto all = static_cast<double>(kind.arrivals_);
    double own = static_cast<double>(kind.inTime_ + kind.late_) / all;
    BOOST_TEST(own >= 0.25 * served / arrivals);
    double refused = static_cast<double>(kind.refused_) / all;
    double largeRefused = static_cast<double>(kind.largeRefused_) /
                          static_cast<double>(kind.largeArrivals_);
    // Of a few hundred large requests, the share varies by chance.
    constexpr double kChance = 0.02;
    BOOST_TEST(largeRefused <= 2.0 * refused + kChance);
  }
}

/// Checks that more urgent ranks aren't served worse while there is too little
/// capacity.
void
CheckOrder(const SimulationResult& aResult)
{
  constexpr double kTolerance = 0.05;
  for (std::size_t i = 0; i + 1 < kKinds; ++i) {
    BOOST_TEST(aResult.kinds_.at(i).OverloadInTimeShare() >=
               aResult.kinds_.at(i + 1).OverloadInTimeShare() - kTolerance);
  }
}

/// Without admission, the value of one load varies by up to 0.03 with the
/// choice of replicas alone; values that differ by half of it are the same.
constexpr double kValueTolerance = 0.015;

AdmissionRequest
MakeRequest(std::uint32_t aRank, std::uint64_t aTokens)
{
  AdmissionRequest request;
  request.service_ = "s";
  request.rank_ = aRank;
  request.promptTokens_ = aTokens;
  request.work_ = static_cast<double>(aTokens);
  request.target_ = 1s;
  request.timeout_ = 6s;
  request.timeLeft_ = 6s;
  return request;
}

/// An admission control whose service is overloaded at `aNow`.
AdmissionControl
MakeOverloaded(const TrafficPlan& aPlan, std::uint32_t aSlots, TimePoint aNow)
{
  AdmissionControl control(kSeed);
  control.SetPlan(aPlan);
  Replica replica;
  replica.slots_ = aSlots;
  control.SetReplicas({ { "s", { replica } } });
  AdmissionRequest request = MakeRequest(0, 1000);
  for (int i = 0; i < 100; ++i) {
    control.OnSend(request, aNow - 2s);
  }
  for (int i = 0; i < 20; ++i) {
    control.OnFirstPart(request, 3s, aNow - 1s);
  }
  return control;
}

const TimePoint kNow{ 1h };

} // namespace

// Guards against an inverted order of the ranks and a lower value under
// overload, refusals without one, starved kinds and sizes, and entries that
// decide differently.
BOOST_AUTO_TEST_CASE(Under_overload_urgent_requests_are_served_in_time)
{
  PrintHead();
  for (std::size_t entries : kEntryCounts) {
    for (const auto& pattern : LoadPatterns()) {
      BOOST_TEST_CONTEXT(entries << " entries, " << pattern.name_)
      {
        auto without = RunWithout(entries, pattern);
        auto with = RunWith(entries, pattern, {});
        BOOST_TEST(with.needlessRefusals_ == 0U);
        BOOST_TEST(with.Value() >= without.Value() - kValueTolerance);
        CheckShares(with);
        if (IsOverload(pattern)) {
          BOOST_TEST(with.Value() >= without.Value() + 0.04);
          CheckOrder(with);
          BOOST_TEST(with.levelDeviation_ <= 0.5);
        } else if (pattern.length_ == 8s) {
          BOOST_TEST(with.admissionRefusals_ == 0U);
        }
      }
    }
  }
}

struct SharingCase
{
  const char* name_;
  Sharing sharing_;
  /// The least gain of the value over the run without admission.
  double gain_;
};

const std::vector<SharingCase> kSharingCases{
  { "no leader", { false }, -kValueTolerance },
  { "leader lost", { true, 4s }, -kValueTolerance },
  { "a tenth of the entries frozen", { true, 4s, 6 }, 0.04 },
};

// Guards against an entry that refuses without reason, or admits everything,
// while the leader's sums are missing, old or incomplete.
BOOST_AUTO_TEST_CASE(Entries_decide_alone_without_a_leader)
{
  constexpr std::size_t kEntries = 65;
  for (const auto& pattern : LoadPatterns()) {
    auto without = RunWithout(kEntries, pattern);
    for (const auto& row : kSharingCases) {
      BOOST_TEST_CONTEXT(row.name_ << ", " << pattern.name_)
      {
        auto with = RunWith(kEntries, pattern, row.sharing_);
        BOOST_TEST(with.Value() >= without.Value() - kValueTolerance);
        if (IsOverload(pattern)) {
          BOOST_TEST(with.Value() >= without.Value() + row.gain_);
        } else if (pattern.length_ == 8s) {
          BOOST_TEST(with.admissionRefusals_ == 0U);
        }
      }
    }
  }
}

// Guards against a Retry-After that callers ignore, and against all of them
// coming back at once.
BOOST_AUTO_TEST_CASE(Retry_after_is_spread_within_a_third_of_the_time_left)
{
  auto control = MakeOverloaded(MakePlan(), 16, kNow);
  std::set<Duration> times;
  for (int i = 0; i < 200; ++i) {
    auto request = MakeRequest(2, 500);
    request.caller_ = static_cast<std::uint64_t>(i);
    auto decision = control.Decide(request, kNow);
    if (decision.isRefused_) {
      BOOST_TEST((decision.retryAfter_ > 0ms && decision.retryAfter_ <= 2s));
      times.insert(decision.retryAfter_);
    }
  }
  BOOST_TEST(times.size() > 100U);
  BOOST_TEST(times.size() < 200U);
}

// Guards against callers that state less time than the route's timeout and are
// taken for ones that were refused before, and against refusing all that were.
BOOST_AUTO_TEST_CASE(Callers_with_little_time_keep_their_share)
{
  auto countRefused = [](Duration aOthersLeft) {
    auto control = MakeOverloaded(MakePlan(), 16, kNow);
    int refused = 0;
    for (std::uint64_t caller = 0; caller < 1000; ++caller) {
      auto request = MakeRequest(0, 500);
      request.caller_ = caller;
      request.timeLeft_ = caller % 2 == 0 ? aOthersLeft : 4500ms;
      refused += control.Decide(request, kNow).isRefused_ ? 1 : 0;
    }
    return refused;
  };
  BOOST_TEST(countRefused(4500ms) <= 950);
  BOOST_TEST(countRefused(6s) <= 950);
}

// Guards against refusals where the configuration doesn't ask for admission or
// the capacity is unknown.
BOOST_AUTO_TEST_CASE(Nothing_is_refused_without_engine_target_or_slots)
{
  auto isRefused =
    [](const TrafficPlan& aPlan, std::uint32_t aSlots, Duration aTarget) {
      auto control = MakeOverloaded(aPlan, aSlots, kNow);
      auto request = MakeRequest(2, 500);
      request.target_ = aTarget;
      int refused = 0;
      for (std::uint64_t caller = 0; caller < 20; ++caller) {
        request.caller_ = caller;
        refused += control.Decide(request, kNow).isRefused_ ? 1 : 0;
      }
      return refused > 0;
    };
  TrafficPlan plain = MakePlan();
  plain.services_["s"].engine_.reset();
  BOOST_TEST(isRefused(MakePlan(), 16, 1s));
  BOOST_TEST(!isRefused(plain, 16, 1s));
  BOOST_TEST(!isRefused(MakePlan(), 0, 1s));
  BOOST_TEST(!isRefused(MakePlan(), 1000, 1s));
  BOOST_TEST(!isRefused(MakePlan(), 16, 0s));
}

// Guards against a request that waits for an answer which can't come in time.
BOOST_AUTO_TEST_CASE(A_request_without_enough_time_is_refused)
{
  auto control = MakeOverloaded(MakePlan(), 16, kNow);
  auto request = MakeRequest(0, 1000);
  request.timeLeft_ = 300ms;
  BOOST_TEST(control.Decide(request, kNow).isHopeless_);
}

// Guards against a long prompt that is mistaken for a slow replica, and against
// an estimate that forgets requests that expired.
BOOST_AUTO_TEST_CASE(The_estimate_depends_on_the_size_of_the_prompt)
{
  FirstPartEstimate estimate;
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < 1000; ++i) {
    std::uint64_t tokens = 500 + random() % 8000;
    auto wait = 100ms + std::chrono::milliseconds(tokens / 20);
    // One response in fifty stalls.
    estimate.Observe(0, tokens, i % 50 == 0 ? 5s : wait, kNow);
  }
  double small = InMilliseconds(estimate.Estimate(0, 1000, kNow));
  double large = InMilliseconds(estimate.Estimate(0, 8000, kNow));
  BOOST_TEST(std::abs(small - 150.0) < 60.0);
  BOOST_TEST(std::abs(large - 500.0) < 100.0);
  for (int i = 0; i < 30; ++i) {
    estimate.Observe(0, 1000, 6s, kNow);
  }
  BOOST_TEST((estimate.Estimate(0, 1000, kNow) > 3s));
  BOOST_TEST((estimate.Estimate(0, 1000, kNow + 10s) < 100ms));
}

// Guards against sums that are lost on the wire or poisoned by one entry.
BOOST_AUTO_TEST_CASE(Sums_are_transmitted_and_added)
{
  EntryReport report;
  report.admission_["s"] = { 7, { { 0, { 1000.0, 500.0 } }, { 2, {} } } };
  report.admission_["t"].ranks_[1] = { -1.0, std::nan("") };
  capnp::MallocMessageBuilder message;
  auto wire = message.initRoot<wire::SyncRequest>();
  WriteReport(wire, report);
  auto read = ReadReport(wire.asReader()).admission_;
  BOOST_TEST((read["s"] == report.admission_["s"]));
  BOOST_TEST((read["t"].ranks_[1] == AdmissionWork()));

  AdmissionLevels leader;
  leader.StartLeading(kNow);
  leader.Record("a", read, kNow + 900ms);
  BOOST_TEST(leader.Sums(kNow + 900ms).empty());
  leader.Record("b", read, kNow + 1100ms);
  BOOST_TEST(leader.Sums(kNow + 1100ms).at("s").running_ == 14U);
  BOOST_TEST(leader.Sums(kNow + 2s).at("s").running_ == 7U);
}
