// A fleet's entries and its leader, with many organisations far below their
// limits: requests that are refused although their organisation may send them.
#define BOOST_TEST_MODULE fleet_limits
#include "tanagerstall_event_queue.hpp"

#include "tanagerstall/connection/tanagerstall_single_flight.hpp"
#include "tanagerstall/request/tanagerstall_cost_leases.hpp"
#include "tanagerstall/request/tanagerstall_cost_limits.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct FleetCase
{
  std::uint32_t entries_;
  double requestsPerSecond_;
  /// The delay from an entry of the other region to the leader; half of the
  /// entries are there.
  Duration farDelay_;
  /// The time that a report takes at the leader, which handles one at a time.
  Duration handling_;
  /// The organisation that sends many times its usual from second 2 on, if any.
  std::optional<int> flooding_ = std::nullopt;
  double flood_ = 1.0;
};

std::ostream&
operator<<(std::ostream& aOut, const FleetCase& aCase)
{
  return aOut << aCase.entries_ << " entries, " << aCase.requestsPerSecond_
              << " requests a second, " << InMilliseconds(aCase.handling_)
              << " ms a report, organisation " << aCase.flooding_.value_or(0)
              << " times " << aCase.flood_;
}

const std::vector<FleetCase> kFleets{
  { 8, 170.0, 30ms, 0ms },     { 57, 1'250.0, 30ms, 0ms },
  { 57, 1'250.0, 30ms, 1ms },  { 57, 1'250.0, 30ms, 3ms },
  { 191, 4'300.0, 30ms, 0ms }, { 380, 8'700.0, 30ms, 0ms },
};

constexpr std::uint32_t kLargeFleet = 191;

std::vector<FleetCase>
MakeFloods()
{
  std::vector<FleetCase> cases;
  for (const auto& fleet : kFleets) {
    for (int organisation : { 0, 2, 18 }) {
      for (double flood : { 6.0, 10.0 }) {
        FleetCase row = fleet;
        row.flooding_ = organisation;
        row.flood_ = flood;
        // The large fleets take long to simulate.
        if (fleet.entries_ < kLargeFleet || (organisation > 0 && flood > 6)) {
          cases.push_back(row);
        }
      }
    }
  }
  return cases;
}

/// A kind of request by its cost in tokens and its part of the requests.
struct CostKind
{
  double cost_;
  double part_;
};

const std::vector<CostKind> kKinds{
  { 12'000, 0.30 },
  { 2'400, 0.34 },
  { 900, 0.08 },
  { 200, 0.28 },
};

/// Entries whose requests wait for grants as a forwarder's do, and one leader.
class FleetSimulation
{
public:
  explicit FleetSimulation(const FleetCase& aCase)
    : case_(aCase)
    , flights_(aCase.entries_)
  {
    double mean = 0.0;
    for (const auto& kind : kKinds) {
      mean += kind.cost_ * kind.part_;
    }
    std::vector<double> weights;
    double sum = 0.0;
    for (int i = 0; i < kOrganisations; ++i) {
      weights.push_back(std::pow(i + 1, -0.8));
      sum += weights.back();
    }
    organisation_ = { weights.begin(), weights.end() };
    usualSum_ = sum;
    weights_ = weights;
    leases_.StartLeading(events_.Now() - 1min);
    for (int i = 0; i < kOrganisations; ++i) {
      double usual = aCase.requestsPerSecond_ * weights[i] / sum * mean;
      double rate = kLimitOfUsual * usual;
      limits_.push_back({ rate, rate });
      double overshoot = 0.1 * (rate * 8 + rate);
      leases_.SetLimit(
        NameOf(i), limits_[i], 0.35 * overshoot + 0.6 * kTolerated);
    }
    for (std::uint32_t i = 0; i < aCase.entries_; ++i) {
      entries_.push_back(std::make_unique<CostLimits>(i));
      entries_[i]->ApplyGrants({}, aCase.entries_);
      double part = std::uniform_real_distribution<double>()(random_);
      Duration offset =
        std::chrono::duration_cast<Duration>(part * kBusyReportInterval);
      events_.At(events_.Now() + offset, [this, i] { ReportAtIntervals(i); });
    }
    events_.At(events_.Now(), [this] { Arrive(); });
  }

  void Run()
  {
    events_.RunUntil(events_.Now() + kFloodAt);
    if (case_.flooding_) {
      weights_.at(*case_.flooding_) *= case_.flood_;
      organisation_ = { weights_.begin(), weights_.end() };
      double sum = std::accumulate(weights_.begin(), weights_.end(), 0.0);
      case_.requestsPerSecond_ *= sum / usualSum_;
    }
    events_.RunUntil(events_.Now() + kLength - kFloodAt);
  }

  /// The most cost that an organisation was admitted within a window, as a part
  /// of what its limit tolerates.
  double MostOfTolerated() const
  {
    double most = 0.0;
    for (int i = 0; i < kOrganisations; ++i) {
      most = std::max(most, MostInWindow(admitted_[i]) / ToleratedOf(i));
    }
    return most;
  }

  double RefusedShare() const
  {
    return static_cast<double>(refused_) / static_cast<double>(arrived_);
  }

  /// The reports that the leader handled in a second.
  double ReportsPerSecond() const
  {
    return static_cast<double>(reports_) / InSeconds(kLength);
  }

private:
  static constexpr const char* kLeader = "leader";
  static constexpr int kOrganisations = 19;
  /// An organisation's limit relative to its usual cost.
  static constexpr double kLimitOfUsual = 1.8;
  static constexpr double kTolerated = 72'000;
  static constexpr Duration kLength = 14s;
  static constexpr Duration kFloodAt = 2s;
  static constexpr Duration kWindow = 8s;
  static constexpr Duration kNearDelay = 1ms;
  static constexpr Duration kPoll = 15ms;
  static constexpr Duration kWait = 250ms;

  double ToleratedOf(int aOrganisation) const
  {
    const CostLimit& limit = limits_[aOrganisation];
    double within = limit.ratePerSecond_ * InSeconds(kWindow) + limit.burst_;
    return 1.1 * within + kTolerated;
  }

  static double MostInWindow(
    const std::vector<std::pair<TimePoint, double>>& aAdmitted)
  {
    double most = 0.0;
    double sum = 0.0;
    std::size_t first = 0;
    for (const auto& [at, cost] : aAdmitted) {
      sum += cost;
      while (at - aAdmitted[first].first > kWindow) {
        sum -= aAdmitted[first++].second;
      }
      most = std::max(most, sum);
    }
    return most;
  }

  static std::string NameOf(int aOrganisation)
  {
    return "o" + std::to_string(aOrganisation);
  }

  Duration DelayOf(std::uint32_t aEntry) const
  {
    return aEntry % 2 == 0 ? kNearDelay : case_.farDelay_;
  }

  void Arrive()
  {
    std::uniform_int_distribution<std::uint32_t> entry(0, case_.entries_ - 1);
    std::uint32_t at = entry(random_);
    int organisation = organisation_(random_);
    double draw = std::uniform_real_distribution<double>()(random_);
    double cost = kKinds.back().cost_;
    for (const auto& kind : kKinds) {
      if (draw < kind.part_) {
        cost = kind.cost_;
        break;
      }
      draw -= kind.part_;
    }
    ++arrived_;
    TimePoint now = events_.Now();
    entries_[at]->AddWaiting(NameOf(organisation), cost);
    Admit(at, organisation, cost, now + kWait);
    double next =
      std::exponential_distribution<double>(case_.requestsPerSecond_)(random_);
    events_.At(now + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(next)),
               [this] { Arrive(); });
  }

  void Admit(std::uint32_t aEntry,
             int aOrganisation,
             double aCost,
             TimePoint aUntil)
  {
    TimePoint now = events_.Now();
    CostLimits& entry = *entries_[aEntry];
    std::string name = NameOf(aOrganisation);
    auto decision = entry.TryAdmit(name, limits_[aOrganisation], aCost, now);
    if (decision == CostDecision::Admitted || now >= aUntil) {
      if (decision == CostDecision::Admitted) {
        admitted_.at(aOrganisation).emplace_back(now, aCost);
      } else if (aOrganisation != case_.flooding_) {
        ++refused_;
      }
      entry.RemoveWaiting(name, aCost);
      return;
    }
    if (entry.TakeRequestToken(name, now)) {
      Report(aEntry);
    }
    events_.At(now + kPoll,
               [=, this] { Admit(aEntry, aOrganisation, aCost, aUntil); });
  }

  void Report(std::uint32_t aEntry)
  {
    if (!flights_[aEntry].Start(kLeader)) {
      return;
    }
    TimePoint now = events_.Now();
    auto requests = entries_[aEntry]->NextGrantRequests(now);
    Duration delay = DelayOf(aEntry);
    handledAt_ = std::max(handledAt_, now + delay) + case_.handling_;
    events_.At(handledAt_, [=, this] {
      TimePoint at = events_.Now();
      ++reports_;
      std::string name = std::to_string(aEntry);
      leases_.RecordReport(name, case_.entries_, requests, at);
      auto grants = leases_.Grant(name, requests, at);
      AdvanceAdmission advance{ now + kAdvanceTime,
                                leases_.NearlyExhausted(at) };
      events_.At(at + delay, [=, this] {
        entries_[aEntry]->ApplyGrants(grants, case_.entries_, advance);
        if (flights_[aEntry].Finish(kLeader)) {
          Report(aEntry);
        }
      });
    });
  }

  void ReportAtIntervals(std::uint32_t aEntry)
  {
    Report(aEntry);
    events_.At(events_.Now() + kBusyReportInterval,
               [=, this] { ReportAtIntervals(aEntry); });
  }

  FleetCase case_;
  std::mt19937 random_{ 1 };
  EventQueue events_;
  CostLeases leases_;
  std::vector<CostLimit> limits_;
  std::discrete_distribution<int> organisation_;
  std::vector<double> weights_;
  double usualSum_ = 0.0;
  std::vector<std::vector<std::pair<TimePoint, double>>> admitted_{
    kOrganisations
  };
  std::vector<std::unique_ptr<CostLimits>> entries_;
  /// Each entry's reports to the leader.
  std::vector<SingleFlight> flights_;
  /// When the leader has handled the reports sent so far.
  TimePoint handledAt_;
  std::size_t arrived_ = 0;
  std::size_t refused_ = 0;
  std::size_t reports_ = 0;
};

/// All organisations stay below their limits, so that hardly any request is to
/// be refused.
constexpr double kMostRefused = 0.01;
/// The same for the others while one sends many times its usual.
constexpr double kMostRefusedInFlood = 0.02;

} // namespace

// Guards against requests that are refused for their organisation's rate while
// it is far below it, since they can't all be granted in time.
BOOST_TEST_DECORATOR(*boost::unit_test::label("limits"))
BOOST_DATA_TEST_CASE(Organisations_below_their_limits_are_not_refused,
                     data::make(kFleets),
                     row)
{
  FleetSimulation simulation(row);
  simulation.Run();
  BOOST_TEST_MESSAGE(row << ": refused " << simulation.RefusedShare() << ", "
                         << simulation.ReportsPerSecond()
                         << " reports a second");
  BOOST_TEST(simulation.RefusedShare() <= kMostRefused);
}

// Guards against an organisation that sends many times its usual, whose
// requests all entries admit before the leader has seen them.
BOOST_TEST_DECORATOR(*boost::unit_test::label("limits"))
BOOST_DATA_TEST_CASE(A_flood_stays_within_its_limit_and_hinders_nobody,
                     data::make(MakeFloods()),
                     row)
{
  FleetSimulation simulation(row);
  simulation.Run();
  BOOST_TEST_MESSAGE(row << ": most " << simulation.MostOfTolerated()
                         << ", refused " << simulation.RefusedShare());
  BOOST_TEST(simulation.MostOfTolerated() <= 1.0);
  BOOST_TEST(simulation.RefusedShare() <= kMostRefusedInFlood);
}
