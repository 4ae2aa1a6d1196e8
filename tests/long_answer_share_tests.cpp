// A service with few long responses beside many long prompts: replicas that are
// reserved for the long responses and stay mostly idle.
#define BOOST_TEST_MODULE long_answer_share
#include "tanagerstall/process/tanagerstall_long_response_demand.hpp"
#include "tanagerstall/request/tanagerstall_long_answer_share.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart{ 1h };
constexpr const char* kService = "model";

struct Case
{
  const char* name_;
  std::uint32_t longRunning_;
  std::uint32_t replicas_;
  std::uint32_t slots_;
  /// Replicas that have to be reserved, at least and at most.
  std::size_t least_;
  std::size_t most_;
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<Case> kCases{
  { "none", 0, 100, 16, 11, 13 },
  { "few", 60, 100, 16, 11, 13 },
  { "as many as a tenth of the slots", 160, 100, 16, 13, 16 },
  { "more than a fifth of the slots", 800, 100, 16, 19, 21 },
  { "large replicas", 160, 100, 64, 11, 13 },
  { "unknown slots", 160, 100, 0, 19, 21 },
};

std::shared_ptr<const ReplicasByService>
MakeReplicas(const Case& aCase)
{
  auto replicas = std::make_shared<ReplicasByService>();
  for (std::uint32_t i = 0; i < aCase.replicas_; ++i) {
    Replica replica;
    replica.id_ = "r" + std::to_string(i);
    replica.service_ = kService;
    replica.failureDomain_ = "a";
    replica.slots_ = aCase.slots_;
    (*replicas)[kService].push_back(replica);
  }
  return replicas;
}

std::set<std::string>
ReplicasUsed(ReplicaChooser& aChooser, WorkClass aWork)
{
  std::set<std::string> used;
  for (std::uint64_t key = 1; key < 4000; ++key) {
    used.insert(
      aChooser.Choose({ kService, key, aWork, 1.0, {} }, kStart)->id_);
  }
  return used;
}

} // namespace

// Guards against replicas that wait for long responses that don't come, while
// more urgent requests queue at the others.
BOOST_TEST_DECORATOR(*boost::unit_test::label("routing"))
BOOST_DATA_TEST_CASE(The_reserved_part_follows_the_demand,
                     data::make(kCases),
                     row)
{
  ReplicaChooser chooser({ "a", {} }, 1);
  chooser.SetReplicas(MakeReplicas(row));
  for (Duration passed = 0s; passed < 20s; passed += 200ms) {
    chooser.SetLongResponses({ { kService, row.longRunning_ } },
                             kStart + passed);
  }
  auto reserved = ReplicasUsed(chooser, WorkClass::Long);
  auto others = ReplicasUsed(chooser, WorkClass::Short);
  BOOST_TEST(reserved.size() >= row.least_);
  BOOST_TEST(reserved.size() <= row.most_);
  BOOST_TEST(reserved.size() + others.size() == row.replicas_);
}

// Guards against entries that reserve different replicas because they know
// slightly different demands.
BOOST_AUTO_TEST_CASE(The_replicas_of_a_smaller_part_belong_to_a_larger_one)
{
  const Case& row = kCases[2];
  std::set<std::string> smaller;
  for (std::uint32_t demand : { 130U, 160U }) {
    ReplicaChooser chooser({ "a", {} }, demand);
    chooser.SetReplicas(MakeReplicas(row));
    for (Duration passed = 0s; passed < 20s; passed += 200ms) {
      chooser.SetLongResponses({ { kService, demand } }, kStart + passed);
    }
    auto reserved = ReplicasUsed(chooser, WorkClass::Long);
    BOOST_TEST(std::includes(
      reserved.begin(), reserved.end(), smaller.begin(), smaller.end()));
    smaller = reserved;
  }
}

// Guards against a single wave of long responses that moves many replicas from
// one use to the other and back, with the prompts that they hold.
BOOST_AUTO_TEST_CASE(The_share_follows_a_change_within_seconds)
{
  LongAnswerShare share;
  BOOST_TEST(share.Of(kService) == 0.2);
  share.Update(kService, 0, 1600, kStart);
  share.Update(kService, 0, 1600, kStart + 200ms);
  BOOST_TEST(share.Of(kService) > 0.18);
  for (Duration passed = 400ms; passed < 10s; passed += 200ms) {
    share.Update(kService, 0, 1600, kStart + passed);
  }
  BOOST_TEST(share.Of(kService) < 0.13);
}

namespace {

struct LatenessCase
{
  const char* name_;
  LateShare long_;
  LateShare others_;
  /// What is reserved for after 60 s, with 100 long responses in progress;
  /// nullopt for the usual part.
  std::optional<std::uint32_t> reserved_;
};

std::ostream&
operator<<(std::ostream& aOut, const LatenessCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<LatenessCase> kLatenessCases{
  { "no responses", {}, {}, {} },
  { "all in time", 0.0, 0.0, {} },
  { "long ones late", 0.5, 0.1, {} },
  { "others late", 0.1, 0.5, 50 },
  { "as late as each other", 0.3, 0.3, {} },
};

} // namespace

// Guards against a rank order that turns round: long responses in time beside
// more urgent requests that are late, and the reverse.
BOOST_TEST_DECORATOR(*boost::unit_test::label("routing"))
BOOST_DATA_TEST_CASE(The_reserved_part_falls_while_the_others_are_late,
                     data::make(kLatenessCases),
                     row)
{
  LongResponseDemand demand;
  std::optional<std::uint32_t> reserved;
  for (Duration passed = 0s; passed < 60s; passed += 100ms) {
    reserved = demand.Update(100, row.long_, row.others_, kStart + passed);
  }
  BOOST_TEST((reserved == row.reserved_));
}

// Guards against a part that stays small once the load is over.
BOOST_DATA_TEST_CASE(The_usual_part_is_reserved_again,
                     data::make({ 0.0, 0.5 }),
                     lateLong)
{
  LongResponseDemand demand;
  TimePoint now = kStart;
  for (; now < kStart + 20s; now += 100ms) {
    demand.Update(100, 0.0, 0.5, now);
  }
  BOOST_TEST(demand.Update(100, 0.0, 0.5, now).has_value());
  for (; now < kStart + 40s; now += 100ms) {
    demand.Update(100, lateLong, 0.0, now);
  }
  BOOST_TEST(!demand.Update(100, lateLong, 0.0, now).has_value());
}
