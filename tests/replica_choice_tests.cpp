// Tests of the choice of replicas and of the number that is ordered.
#define BOOST_TEST_MODULE replica_choice
#include "tanagerstall/process/tanagerstall_replica_placement.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart{ 1h };

/// Returns replicas "a-0", "a-1", ... of one service, for each domain.
std::shared_ptr<const ReplicasByService>
MakeReplicas(const std::map<std::string, std::size_t>& aCounts)
{
  auto replicas = std::make_shared<ReplicasByService>();
  for (const auto& [domain, count] : aCounts) {
    for (std::size_t i = 0; i < count; ++i) {
      Replica replica;
      replica.id_ = domain + "-" + std::to_string(i);
      replica.service_ = "model";
      replica.failureDomain_ = domain;
      replica.startTimeMs_ = 1;
      (*replicas)["model"].push_back(replica);
    }
  }
  return replicas;
}

ReplicaChooser
MakeChooser(const std::map<std::string, std::size_t>& aCounts,
            std::uint64_t aSeed = 1)
{
  ReplicaChooser chooser(
    { "a", { { "a", "north" }, { "b", "north" }, { "c", "south" } } }, aSeed);
  chooser.SetReplicas(MakeReplicas(aCounts));
  return chooser;
}

ChoiceRequest
MakeRequest(std::uint64_t aKey = 0, WorkClass aWork = WorkClass::Short)
{
  return { "model", aKey, aWork, 1000.0, {} };
}

} // namespace

BOOST_AUTO_TEST_CASE(Requests_with_the_same_affinity_key_go_to_one_replica)
{
  auto one = MakeChooser({ { "a", 6 } }, 1);
  auto other = MakeChooser({ { "a", 6 } }, 2);
  auto first = one.Choose(MakeRequest(42), kStart);
  BOOST_TEST(one.Choose(MakeRequest(42), kStart)->id_ == first->id_);
  BOOST_TEST(other.Choose(MakeRequest(42), kStart)->id_ == first->id_);
}

BOOST_AUTO_TEST_CASE(A_hot_affinity_key_overflows_to_other_replicas)
{
  auto chooser = MakeChooser({ { "a", 6 } });
  std::map<std::string, int> counts;
  for (int i = 0; i < 60; ++i) {
    ++counts[chooser.Choose(MakeRequest(42), kStart)->id_];
  }
  BOOST_TEST(counts.size() >= 4U);
  for (const auto& [id, count] : counts) {
    BOOST_TEST(count <= 20);
  }
}

BOOST_AUTO_TEST_CASE(The_own_region_is_preferred)
{
  auto chooser = MakeChooser({ { "b", 2 }, { "c", 6 } });
  for (std::uint64_t key = 0; key < 4; ++key) {
    BOOST_TEST(chooser.Choose(MakeRequest(key), kStart)->failureDomain_ == "b");
  }
}

BOOST_AUTO_TEST_CASE(Long_answers_and_long_prompts_are_kept_apart)
{
  auto chooser = MakeChooser({ { "a", 10 } });
  std::set<std::string> longAnswers;
  std::set<std::string> others;
  for (std::uint64_t key = 1; key < 200; ++key) {
    longAnswers.insert(
      chooser.Choose(MakeRequest(key, WorkClass::Long), kStart)->id_);
    others.insert(
      chooser.Choose(MakeRequest(key, WorkClass::Short), kStart)->id_);
  }
  BOOST_TEST(longAnswers.size() == 2U);
  BOOST_TEST(others.size() == 8U);
  for (const auto& id : longAnswers) {
    BOOST_TEST(!others.contains(id));
  }
}

namespace {

struct OutcomeCase
{
  AttemptOutcome outcome_;
  /// The least and the longest time for which the replica is avoided.
  Duration least_;
  Duration most_;
};

std::ostream&
operator<<(std::ostream& aOut, const OutcomeCase& aCase)
{
  return aOut << static_cast<int>(aCase.outcome_);
}

const std::vector<OutcomeCase> kOutcomeCases{
  { AttemptOutcome::Answered, 0ms, 0ms },
  { AttemptOutcome::Failed, 0ms, 0ms },
  { AttemptOutcome::Abandoned, 0ms, 0ms },
  { AttemptOutcome::Refused, 10ms, 200ms },
  { AttemptOutcome::Unreachable, 300ms, 2s },
  { AttemptOutcome::Broken, 300ms, 2s },
  { AttemptOutcome::Misdirected, 10min, Duration::max() },
};

} // namespace

BOOST_DATA_TEST_CASE(A_failed_replica_is_avoided_for_a_limited_time,
                     data::make(kOutcomeCases))
{
  auto chooser = MakeChooser({ { "a", 2 } });
  auto failed = chooser.Choose(MakeRequest(7), kStart);
  chooser.Finish(*failed, 1000.0, sample.outcome_, kStart);
  auto isChosen = [&](Duration aAfter) {
    auto chosen = chooser.Choose(MakeRequest(7), kStart + aAfter);
    chooser.Finish(*chosen, 1000.0, AttemptOutcome::Abandoned, kStart + aAfter);
    return chosen->id_ == failed->id_;
  };
  if (sample.least_ > 0ms) {
    BOOST_TEST(!isChosen(sample.least_));
  }
  if (sample.most_ != Duration::max()) {
    BOOST_TEST(isChosen(sample.most_));
  }
}

BOOST_AUTO_TEST_CASE(A_slow_replica_is_avoided_until_its_slowness_decays)
{
  auto chooser = MakeChooser({ { "a", 3 } });
  auto slow = chooser.Choose(MakeRequest(7), kStart);
  chooser.Finish(*slow, 1000.0, AttemptOutcome::Answered, kStart);
  for (int i = 0; i < 300; ++i) {
    auto chosen = chooser.Choose(MakeRequest(), kStart);
    bool isSlow = chosen->id_ == slow->id_;
    chooser.ObserveFirstPart(*chosen, isSlow ? 2000ms : 100ms, kStart);
    chooser.Finish(*chosen, 1000.0, AttemptOutcome::Answered, kStart);
  }
  BOOST_TEST(chooser.Choose(MakeRequest(7), kStart)->id_ != slow->id_);
  BOOST_TEST(chooser.Choose(MakeRequest(7), kStart + 1min)->id_ == slow->id_);
}

namespace {

struct ErrorPattern
{
  const char* name_;
  /// The part of its requests that each replica fails.
  std::vector<double> errorShares_;
  /// The most failed requests and the least requests of any sound replica, as
  /// parts of all requests.
  double mostFailed_;
  double leastForSound_;
};

std::ostream&
operator<<(std::ostream& aOut, const ErrorPattern& aPattern)
{
  return aOut << aPattern.name_;
}

const std::vector<ErrorPattern> kErrorPatterns{
  { "no errors", { 0, 0, 0, 0, 0, 0, 0 }, 0.0, 0.08 },
  { "two of seven fail all", { 1, 1, 0, 0, 0, 0, 0 }, 0.1, 0.1 },
  { "two of seven fail half", { 0.5, 0.5, 0, 0, 0, 0, 0 }, 0.09, 0.1 },
  { "all but one fail most", { 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0 }, 0.35, 0.4 },
  { "the requests cause the errors",
    { 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3 },
    0.35,
    0.05 },
  { "a few requests fail anywhere",
    { 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05 },
    0.07,
    0.1 },
};

} // namespace

BOOST_DATA_TEST_CASE(Replicas_that_fail_their_requests_get_few,
                     data::make(kErrorPatterns))
{
  constexpr int kRequests = 1200;
  constexpr Duration kInterval = 200ms;
  auto chooser = MakeChooser({ { "a", sample.errorShares_.size() } });
  std::mt19937_64 random(3);
  std::map<std::string, int> counts;
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    TimePoint now = kStart + i * kInterval;
    auto replica = chooser.Choose(MakeRequest(0, WorkClass::Plain), now);
    double errorShare = sample.errorShares_.at(
      std::stoul(replica->id_.substr(replica->id_.find('-') + 1)));
    bool isError = std::bernoulli_distribution(errorShare)(random);
    chooser.Finish(*replica,
                   1000.0,
                   isError ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                   now + 50ms);
    ++counts[replica->id_];
    failed += isError ? 1 : 0;
  }
  BOOST_TEST(failed <= sample.mostFailed_ * kRequests);
  double least =
    *std::min_element(sample.errorShares_.begin(), sample.errorShares_.end());
  for (std::size_t i = 0; i < sample.errorShares_.size(); ++i) {
    if (sample.errorShares_[i] == least) {
      BOOST_TEST(counts["a-" + std::to_string(i)] >=
                 sample.leastForSound_ * kRequests);
    }
  }
}

BOOST_AUTO_TEST_CASE(All_replicas_are_used_while_all_are_avoided)
{
  auto chooser = MakeChooser({ { "a", 2 } });
  for (int i = 0; i < 4; ++i) {
    auto chosen = chooser.Choose(MakeRequest(), kStart);
    chooser.Finish(*chosen, 1000.0, AttemptOutcome::Broken, kStart);
  }
  BOOST_TEST(chooser.Choose(MakeRequest(), kStart).has_value());
}

namespace {

ScalingBounds
MakeBounds()
{
  return { 1, 8, 4s, 0.2, { { "a", 0.85 }, { "b", 1.0 }, { "c", 1.2 } } };
}

/// A placement and a cloud that delivers its orders.
struct PlacementSimulation
{
  PlacementSimulation()
  {
    for (const auto* domain : { "a", "b", "c" }) {
      input_.domains_[domain] = { 0, 4 };
    }
  }

  /// Advances the time. Orders are delivered at once unless reclaimable
  /// replicas are unavailable in their domain.
  void Advance(Duration aFor)
  {
    for (TimePoint until = now_ + aFor; now_ < until; now_ += 500ms) {
      for (const auto& order : placement_.Next(input_, now_)) {
        bool isUnavailable =
          order.isReclaimable_ && unavailable_.contains(order.failureDomain_);
        placement_.OnAnswer(order,
                            isUnavailable ? CloudAnswer::Unavailable
                                          : CloudAnswer::Accepted,
                            now_);
        auto& domain = input_.domains_[order.failureDomain_];
        ++orders_;
        if (!isUnavailable) {
          (order.isReclaimable_ ? domain.reclaimable_ : domain.onDemand_) =
            order.count_;
        }
      }
    }
  }

  std::uint32_t Count(bool aReclaimable) const
  {
    std::uint32_t count = 0;
    for (const auto& [domain, replicas] : input_.domains_) {
      count += aReclaimable ? replicas.reclaimable_ : replicas.onDemand_;
    }
    return count;
  }

  ReplicaPlacement placement_;
  PlacementInput input_{ "model", MakeBounds(), {}, 0, 0, 0.0 };
  std::set<std::string> unavailable_;
  std::size_t orders_ = 0;
  TimePoint now_ = kStart;
};

} // namespace

BOOST_AUTO_TEST_CASE(Replicas_that_announce_late_count_as_needed)
{
  PlacementSimulation simulation;
  simulation.Advance(1s);
  BOOST_TEST(simulation.orders_ == 0U);
  for (const auto* domain : { "a", "b", "c" }) {
    simulation.input_.domains_[domain].onDemand_ = 7;
  }
  simulation.Advance(1500ms);
  BOOST_TEST(simulation.orders_ == 0U);
  simulation.Advance(10s);
  BOOST_TEST(simulation.placement_.Needed("model") >= 19U);
}

BOOST_AUTO_TEST_CASE(A_new_leader_orders_at_once_while_there_is_traffic)
{
  PlacementSimulation simulation;
  simulation.input_.running_ = 200;
  simulation.Advance(500ms);
  BOOST_TEST(simulation.orders_ > 0U);
}

BOOST_AUTO_TEST_CASE(Reclaimable_replicas_replace_on_demand_replicas)
{
  PlacementSimulation simulation;
  simulation.input_.running_ = 60;
  simulation.Advance(20s);
  BOOST_TEST(simulation.Count(true) >= 6U);
  BOOST_TEST(simulation.Count(false) == 0U);
}

BOOST_AUTO_TEST_CASE(Existing_capacity_is_kept_until_traffic_shows_the_need)
{
  PlacementSimulation simulation;
  std::uint32_t found = simulation.Count(false);
  simulation.Advance(20s);
  // The remaining domains suffice if one failure domain is lost.
  BOOST_TEST(simulation.Count(true) -
               simulation.input_.domains_["a"].reclaimable_ >=
             found);
}

namespace {

const std::vector<std::uint32_t> kDemands{ 140, 560, 2240 };

} // namespace

BOOST_DATA_TEST_CASE(The_needed_count_decays_by_the_same_share_at_any_size,
                     data::make(kDemands))
{
  PlacementSimulation simulation;
  simulation.input_.running_ = sample;
  simulation.Advance(1s);
  std::uint32_t before = simulation.placement_.Needed("model");
  // One request rather than none: without traffic, the needed count is kept.
  simulation.input_.running_ = 1;
  simulation.Advance(50s);
  std::uint32_t after = simulation.placement_.Needed("model");
  BOOST_TEST(after < 0.7 * before);
  BOOST_TEST(after > 0.5 * before);
}

BOOST_AUTO_TEST_CASE(A_lost_failure_domain_is_covered_on_demand)
{
  PlacementSimulation simulation;
  simulation.input_.running_ = 70;
  simulation.Advance(20s);
  simulation.unavailable_ = { "a", "b", "c" };
  simulation.input_.domains_["a"] = {};
  simulation.Advance(2s);
  std::uint32_t left = simulation.Count(true);
  BOOST_TEST(left + simulation.Count(false) >= 5U);
  simulation.input_.domains_["b"].reclaimable_ = 0;
  simulation.Advance(2s);
  BOOST_TEST(simulation.Count(false) >= 3U);
}

BOOST_AUTO_TEST_CASE(
  On_demand_replicas_are_removed_once_reclaimable_ones_return)
{
  PlacementSimulation simulation;
  simulation.input_.running_ = 70;
  simulation.Advance(20s);
  simulation.unavailable_ = { "a" };
  simulation.input_.domains_["a"] = {};
  simulation.Advance(10s);
  simulation.unavailable_ = {};
  simulation.Advance(20s);
  BOOST_TEST(simulation.Count(false) == 0U);
}

BOOST_AUTO_TEST_CASE(Steady_demand_causes_few_orders)
{
  PlacementSimulation simulation;
  simulation.input_.running_ = 60;
  simulation.Advance(60s);
  std::size_t before = simulation.orders_;
  simulation.Advance(60s);
  BOOST_TEST(simulation.orders_ - before <= 3U);
}

BOOST_AUTO_TEST_CASE(Every_order_keeps_the_bounds_of_a_domain)
{
  PlacementSimulation simulation;
  for (std::uint32_t running : { 0U, 40U, 900U, 10U }) {
    simulation.input_.running_ = running;
    simulation.Advance(15s);
    for (const auto& [domain, replicas] : simulation.input_.domains_) {
      BOOST_TEST(replicas.reclaimable_ + replicas.onDemand_ >= 1U);
      BOOST_TEST(replicas.reclaimable_ <= 8U);
      BOOST_TEST(replicas.onDemand_ <= 8U);
    }
  }
}

// Guards against callers that wait at the few replicas that are left to them
// while the others take only a part of their requests.
BOOST_AUTO_TEST_CASE(Capacity_that_replicas_withdraw_is_ordered)
{
  PlacementSimulation simulation;
  simulation.input_.running_ = 60;
  simulation.Advance(20s);
  std::uint32_t before = simulation.Count(true);
  simulation.input_.withdrawn_ = 4.0;
  simulation.Advance(2s);
  // Two of the three domains suffice.
  BOOST_TEST(simulation.Count(true) * 2 / 3 >=
             simulation.placement_.Needed("model") + 4);
  simulation.input_.withdrawn_ = 0.0;
  simulation.Advance(10s);
  BOOST_TEST(simulation.Count(true) <= before);
}
