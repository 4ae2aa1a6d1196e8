// Sides, sessions, leases and ends of roll-outs at one entry, and its counts.
#define BOOST_TEST_MODULE rollout_router
#include "tanagerstall/request/tanagerstall_rollout_counter.hpp"
#include "tanagerstall/request/tanagerstall_rollout_router.hpp"
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kNow{ 1h };
const WallTime kEnd{ 500s };
constexpr std::uint64_t kBeforeEnd = 400'000;
constexpr std::uint64_t kAfterEnd = 600'000;

Rollout
MakeRollout(std::uint64_t aId,
            const std::string& aVersion,
            RolloutState aState = RolloutState::Running)
{
  return { aId, { "s", aVersion, 12s, WallTime() }, aState, kEnd };
}

Replica
MakeVersion(const std::string& aId,
            const std::string& aVersion,
            std::uint64_t aStartMs = kBeforeEnd)
{
  Replica replica;
  replica.id_ = aId;
  replica.service_ = "s";
  replica.version_ = aVersion;
  replica.startTimeMs_ = aStartMs;
  return replica;
}

std::shared_ptr<const ReplicasByService>
MakePresent(std::size_t aOld, std::size_t aNew)
{
  auto present = std::make_shared<ReplicasByService>();
  for (std::size_t i = 0; i < aOld; ++i) {
    (*present)["s"].push_back(MakeVersion("old-" + std::to_string(i), "v1"));
  }
  for (std::size_t i = 0; i < aNew; ++i) {
    (*present)["s"].push_back(MakeVersion("new-" + std::to_string(i), "v2"));
  }
  return present;
}

RolloutRouter
MakeRouter(double aRequestShare, double aReplicaShare, std::uint64_t aSeed = 1)
{
  RolloutRouter router(aSeed);
  router.Adopt({ { MakeRollout(1, "v2"), aRequestShare, aReplicaShare } },
               "leader",
               kNow + kDirectiveLease);
  return router;
}

struct ShareCase
{
  const char* name_;
  double share_;
  /// The number of sessions; 0 for requests without one.
  std::uint64_t sessions_;
};

std::ostream&
operator<<(std::ostream& aOut, const ShareCase& aCase)
{
  return aOut << aCase.name_ << " " << aCase.share_;
}

const std::vector<ShareCase> kShareCases{
  { "no sessions", 0.08, 0 },     { "one session", 0.08, 1 },
  { "a few sessions", 0.08, 5 },  { "many sessions", 0.08, 500 },
  { "many sessions", 0.25, 500 }, { "many sessions", 1.0, 500 },
  { "many sessions", 0.0, 500 },
};

} // namespace

// Guards against an entry that sends the new version more than its share, for
// example because one large session is assigned to it, or nothing at all.
BOOST_DATA_TEST_CASE(The_new_side_gets_its_share_of_the_requests,
                     data::make(kShareCases))
{
  constexpr int kRequests = 1000;
  auto router = MakeRouter(sample.share_, 1.0);
  std::mt19937_64 random(7);
  int sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    std::uint64_t session =
      sample.sessions_ == 0 ? 0 : 1 + random() % sample.sessions_;
    sent += router.Assign("s", session, kNow) == RolloutSide::New ? 1 : 0;
    BOOST_REQUIRE(sent <= sample.share_ * (i + 1) + 1.0);
  }
  BOOST_TEST(sent >= sample.share_ * kRequests - 4.0);
}

// Guards against entries that exceed the share together, each by the fraction
// of a request.
BOOST_AUTO_TEST_CASE(Many_entries_together_send_the_share)
{
  constexpr int kEntries = 300;
  constexpr double kShare = 0.05;
  int sent = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    auto router = MakeRouter(kShare, 1.0, static_cast<std::uint64_t>(entry));
    for (int i = 0; i < 4; ++i) {
      sent += router.Assign("s", 0, kNow) == RolloutSide::New ? 1 : 0;
    }
  }
  BOOST_TEST(sent > 30);
  BOOST_TEST(sent < 90);
}

// Guards against sessions that alternate between the versions, whose prompt
// caches are separate.
BOOST_AUTO_TEST_CASE(Most_requests_of_a_session_go_to_the_same_side)
{
  constexpr std::uint64_t kSessions = 200;
  constexpr std::uint64_t kRequests = 20'000;
  auto router = MakeRouter(0.1, 1.0);
  std::map<std::uint64_t, std::pair<int, int>> sides;
  std::mt19937_64 random(11);
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    std::uint64_t session = 1 + random() % kSessions;
    auto& [old, isNew] = sides[session];
    ++(router.Assign("s", session, kNow) == RolloutSide::New ? isNew : old);
  }
  int minority = 0;
  for (const auto& [session, counts] : sides) {
    minority += std::min(counts.first, counts.second);
  }
  BOOST_TEST(minority < 0.05 * kRequests);
}

// Guards against an entry that goes on sending to a version after it lost the
// leader, which may have found the version bad.
BOOST_AUTO_TEST_CASE(Shares_end_with_the_lease_of_their_leader)
{
  auto router = MakeRouter(1.0, 1.0);
  TimePoint end = kNow + kDirectiveLease;
  BOOST_TEST((router.Assign("s", 0, end - 1ms) == RolloutSide::New));
  BOOST_TEST((router.Assign("s", 0, end) == RolloutSide::Old));
  router.Renew("another", end + 1s);
  BOOST_TEST((router.Assign("s", 0, end) == RolloutSide::Old));
  router.Renew("leader", end + 1s);
  BOOST_TEST((router.Assign("s", 0, end) == RolloutSide::New));
  // What another control process knows of the record doesn't change the share.
  router.Adopt({ { MakeRollout(1, "v2"), 0.0, 0.0 } }, "other", std::nullopt);
  BOOST_TEST((router.Assign("s", 0, end) == RolloutSide::New));
}

BOOST_AUTO_TEST_CASE(A_service_without_a_rollout_has_no_sides)
{
  auto router = MakeRouter(1.0, 1.0);
  BOOST_TEST((router.Assign("other", 0, kNow) == RolloutSide::Any));
  auto present = MakePresent(2, 2);
  BOOST_TEST((RolloutRouter(1).Filter(present) == present));
}

namespace {

struct EndCase
{
  const char* name_;
  /// Adopted in this order, each from another control process.
  std::vector<Rollout> adopted_;
  /// The ids of the replicas that may get requests.
  std::string kept_;
};

std::ostream&
operator<<(std::ostream& aOut, const EndCase& aCase)
{
  return aOut << aCase.name_;
}

constexpr auto kRunning = RolloutState::Running;
constexpr auto kCompleted = RolloutState::Completed;
constexpr auto kRolledBack = RolloutState::RolledBack;

const std::vector<EndCase> kEndCases{
  { "none", {}, "v1 v1-late v2 v2-late v3 " },
  { "running", { MakeRollout(1, "v2") }, "v1 v1-late v3 " },
  { "completed", { MakeRollout(1, "v2", kCompleted) }, "v1-late v2 v2-late " },
  { "rolled back", { MakeRollout(1, "v2", kRolledBack) }, "v1 v1-late v3 " },
  { "an end, then an older state",
    { MakeRollout(1, "v2", kCompleted), MakeRollout(1, "v2") },
    "v1-late v2 v2-late " },
  { "an earlier rollout after a later one",
    { MakeRollout(2, "v3", kRolledBack), MakeRollout(1, "v2", kCompleted) },
    "v1 v1-late v2 v2-late " },
  { "another version after a roll-back",
    { MakeRollout(1, "v2", kRolledBack), MakeRollout(2, "v3") },
    "v1 v1-late " },
  { "the same version after a roll-back",
    { MakeRollout(1, "v2", kRolledBack), MakeRollout(2, "v2", kCompleted) },
    "v1-late v2 v2-late " },
  { "back to the earlier version",
    { MakeRollout(1, "v2", kCompleted), MakeRollout(2, "v1", kCompleted) },
    "v1 v1-late v2-late " },
};

} // namespace

// Guards against requests to replicas that the platform is stopping, and to a
// version that was found bad.
BOOST_DATA_TEST_CASE(The_end_of_a_rollout_decides_which_replicas_serve,
                     data::make(kEndCases))
{
  auto present = std::make_shared<ReplicasByService>();
  (*present)["s"] = { MakeVersion("v1", "v1"),
                      MakeVersion("v1-late", "v1", kAfterEnd),
                      MakeVersion("v2", "v2"),
                      MakeVersion("v2-late", "v2", kAfterEnd),
                      MakeVersion("v3", "v3") };
  RolloutRouter router(1);
  for (const auto& rollout : sample.adopted_) {
    router.Adopt({ { rollout, 0.0, 0.0 } }, "control", std::nullopt);
  }
  auto filtered = router.Filter(present);
  std::string kept;
  for (const auto& replica : filtered->at("s")) {
    kept += replica.id_ + " ";
  }
  BOOST_TEST(kept == sample.kept_);
}

// Guards against entries that select different new replicas, which would each
// get a small load.
BOOST_AUTO_TEST_CASE(All_entries_select_the_same_new_replicas)
{
  auto present = MakePresent(20, 20);
  auto one = MakeRouter(0.1, 0.1, 1).Filter(present);
  auto other = MakeRouter(0.1, 0.1, 2).Filter(present);
  BOOST_TEST((*one == *other));
  BOOST_TEST(one->at("s").size() == 22U);
  BOOST_TEST(MakeRouter(0.1, 0.01).Filter(present)->at("s").size() == 21U);
  BOOST_TEST(MakeRouter(0.0, 0.0).Filter(present)->at("s").size() == 20U);
}

namespace {

struct ChoiceCase
{
  const char* name_;
  RolloutSide side_;
  std::size_t old_;
  std::size_t new_;
  bool isNewAvoided_;
  /// The beginning of the id that is chosen; "" if none is.
  std::string chosen_;
};

std::ostream&
operator<<(std::ostream& aOut, const ChoiceCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ChoiceCase> kChoiceCases{
  { "new", RolloutSide::New, 2, 2, false, "new" },
  { "old", RolloutSide::Old, 2, 2, false, "old" },
  { "new, none there", RolloutSide::New, 2, 0, false, "old" },
  { "new, none healthy", RolloutSide::New, 2, 1, true, "old" },
  { "old, none there", RolloutSide::Old, 0, 2, false, "" },
  { "assigned before the order", RolloutSide::Any, 2, 2, false, "old" },
};

} // namespace

// Guards against requests of the old side that spill over to a version that
// may be bad, and against requests that fail although the old side is healthy.
BOOST_DATA_TEST_CASE(Requests_without_a_healthy_replica_go_to_the_old_side,
                     data::make(kChoiceCases))
{
  auto router = MakeRouter(1.0, 1.0);
  ReplicaChooser chooser({ "", {} }, 1);
  chooser.SetReplicas(router.Filter(MakePresent(sample.old_, sample.new_)));
  ChoiceRequest request;
  request.service_ = "s";
  if (sample.isNewAvoided_) {
    RolloutSide side = RolloutSide::New;
    auto first = router.Choose(chooser, request, side, kNow);
    chooser.Finish(*first, 1.0, AttemptOutcome::Unreachable, kNow);
  }
  RolloutSide side = sample.side_;
  auto replica = router.Choose(chooser, request, side, kNow);
  BOOST_TEST((replica ? replica->id_.substr(0, 3) : "") == sample.chosen_);
}

// Guards against an old side that never becomes idle, because requests that
// fail at the new one return to it.
BOOST_AUTO_TEST_CASE(Failed_requests_return_to_the_old_side_until_all_have_left)
{
  BOOST_TEST(
    (MakeRouter(0.5, 1.0).SideAfterFailure("s", kNow) == RolloutSide::Old));
  BOOST_TEST(
    (MakeRouter(1.0, 1.0).SideAfterFailure("s", kNow) == RolloutSide::New));
  BOOST_TEST((MakeRouter(1.0, 1.0).SideAfterFailure(
                "s", kNow + kDirectiveLease) == RolloutSide::Old));
}

// Guards against old replicas that look idle while they run requests that came
// before the order.
BOOST_AUTO_TEST_CASE(Requests_before_the_order_count_as_in_progress)
{
  RolloutCounter counter;
  auto early = counter.OnSent(MakeVersion("a", "v1"), "r", kNow);
  auto ended = counter.OnSent(MakeVersion("a", "v1"), "r", kNow);
  counter.OnEnd(ended, SentOutcome::Answered, kNow + 1ms);
  BOOST_TEST(counter.Report().empty());
  counter.Begin(MakeRollout(1, "v2"));
  auto later = counter.OnSent(MakeVersion("b", "v2"), "r", kNow);
  BOOST_REQUIRE(counter.Report().size() == 2U);
  BOOST_TEST(counter.Report()[0].sent_ == 1U);
  BOOST_TEST(counter.Report()[0].ended_ == 0U);
  counter.OnFirstPart(later, kNow + 300ms);
  counter.OnEnd(later, SentOutcome::Answered, kNow + 900ms);
  counter.OnEnd(early, SentOutcome::Failed, kNow + 1s);
  // A repeated order doesn't reset the counts.
  counter.Begin(MakeRollout(1, "v2"));
  auto report = counter.Report();
  BOOST_TEST(report[0].ended_ == 1U);
  BOOST_TEST(report[0].failed_ == 1U);
  BOOST_TEST(report[1].isNewVersion_);
  BOOST_TEST(report[1].failed_ == 0U);
  BOOST_TEST(report[1].firstParts_[RolloutBucketOf(300ms)] == 1U);
  counter.Begin(MakeRollout(2, "v3"));
  BOOST_TEST(counter.Report().empty());
}

namespace {

struct AnswerCase
{
  const char* name_;
  const char* path_;
  Script script_;
  std::uint64_t failed_;
  std::uint64_t firstParts_;
  int status_;
};

std::ostream&
operator<<(std::ostream& aOut, const AnswerCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<AnswerCase> kAnswerCases{
  { "whole", "/safe/x", { kWhole }, 0, 1, 200 },
  { "server error", "/safe/x", { kFailed }, 1, 0, 200 },
  { "server error, not repeated", "/once/x", { kFailed }, 1, 0, 500 },
  { "broken", "/safe/x", { kHalf, After::Close }, 1, 0, 200 },
  { "no seal", "/safe/x", { kUnsealed }, 1, 0, 200 },
  { "not run", "/once/x", { kNotRun }, 0, 0, 200 },
  { "withheld server error",
    "/once/x",
    { Head("503 X") + "Content-Length: 0\r\n\r\n" },
    1,
    0,
    502 },
  { "withheld response",
    "/once/x",
    { Head("429 X") + "Content-Length: 0\r\n\r\n" },
    0,
    1,
    502 },
  { "no response", "/once/x", { "" }, 1, 0, 504 },
  { "stream",
    "/stream/x",
    { kStreamHead + Chunk(kEvent1) + "0\r\n\r\n" },
    0,
    1,
    200 },
  { "broken stream",
    "/stream/x",
    { kStreamHead + Chunk(kEvent1), After::Close },
    1,
    1,
    kBroken },
};

} // namespace

// Guards against a bad version whose failures aren't counted, a refusal that is
// counted as one, and a caller that gets a failure which could be repeated.
BOOST_DATA_TEST_CASE(An_entry_counts_the_responses_of_the_new_version,
                     data::make(kAnswerCases))
{
  ScriptedUpstream oldReplica(Script{ .bytes_ = kWhole, .isParallel_ = true });
  ScriptedUpstream newReplica(sample.script_);
  Environment environment({ &oldReplica });
  auto present = std::make_shared<ReplicasByService>();
  (*present)["s"] = { MakeReplica("old", "s", oldReplica),
                      MakeReplica("new", "s", newReplica) };
  (*present)["s"][1].version_ = "v2";
  environment.Call<bool>([&](Forwarder& aForwarder) {
    aForwarder.SetReplicas(present);
    aForwarder.Rollouts().Adopt(
      { { MakeRollout(1, "v2"), 0.9999, 1.0 } }, "leader", TimePoint::max());
    // Spends the credit that may be left, so that the next request goes to the
    // new side.
    while (aForwarder.Rollouts().Assign("s", 0, kNow) != RolloutSide::Old) {
    }
    return true;
  });
  auto response = environment.Fetch(sample.path_);
  BOOST_TEST((response ? response->status_ : kBroken) == sample.status_);
  auto counts = environment.Call<std::vector<RolloutCounts>>(
    [](Forwarder& aForwarder) { return aForwarder.Report().rolloutCounts_; });
  std::erase_if(counts, [](const auto& aIt) { return !aIt.isNewVersion_; });
  BOOST_REQUIRE(counts.size() == 1U);
  BOOST_TEST(counts[0].sent_ == 1U);
  BOOST_TEST(counts[0].ended_ == 1U);
  BOOST_TEST(counts[0].failed_ == sample.failed_);
  std::uint64_t firstParts = 0;
  for (auto count : counts[0].firstParts_) {
    firstParts += count;
  }
  BOOST_TEST(firstParts == sample.firstParts_);
}
