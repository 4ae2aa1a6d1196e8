// An operator's order must be decoded or refused as a whole, and an order that
// was accepted anywhere must not be refused by a control process that knows
// less.
#define BOOST_TEST_MODULE rollout_order
#include "tanagerstall/process/tanagerstall_rollout_api.hpp"
#include "tanagerstall_platform_rollouts.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct BodyCase
{
  const char* body_;
  /// Substring of the error; empty for a valid order.
  const char* error_;
};

std::ostream&
operator<<(std::ostream& aOut, const BodyCase& aCase)
{
  return aOut << aCase.body_;
}

const std::string kLongName(kMaxVersionBytes + 1, 'v');
const std::string kLongVersion =
  R"({"service":"s","to":")" + kLongName + R"(","durationS":1})";

const std::vector<BodyCase> kPlatformBodies{
  { R"({"service":"s","to":"v2","durationS":12})", "" },
  { R"({"service":"s","to":"v2","durationS":0.5,"more":1})", "" },
  { R"({"service":"s","to":"v2","durationS":86400})", "" },
  { "", "JSON" },
  { R"({"service":"s","to":"v2","durationS":12)", "JSON" },
  { R"({"service":"s","to":"v2","durationS":NaN})", "JSON" },
  { R"(["s","v2",12])", "no object" },
  { "null", "no object" },
  { R"({"to":"v2","durationS":12})", "\"service\"" },
  { R"({"service":7,"to":"v2","durationS":12})", "\"service\"" },
  { R"({"service":null,"to":"v2","durationS":12})", "\"service\"" },
  { R"({"service":"s","durationS":12})", "\"to\"" },
  { R"({"service":"s","to":2,"durationS":12})", "\"to\"" },
  { R"({"service":"s","to":"","durationS":12})", "\"to\"" },
  { kLongVersion.c_str(), "\"to\"" },
  { R"({"service":"s","to":"v2"})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":"12"})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":true})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":[12]})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":0})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":-1})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":86400.5})", "\"durationS\"" },
  { R"({"service":"s","to":"v2","durationS":1e300})", "\"durationS\"" },
};

const std::vector<BodyCase> kOperatorBodies{
  { R"({"service":"s","version":"v2","duration_ms":1})", "" },
  { "[]", "object" },
  { R"({"service":"s","version":"v2","duration_ms":0})", "duration_ms" },
  { R"({"service":"s","version":"v2","duration_ms":86400001})", "duration_ms" },
  { R"({"service":"s","version":"v2","duration_ms":"1"})", "duration_ms" },
  { R"({"service":"s","version":"","duration_ms":1})", "version" },
  { R"({"version":"v2","duration_ms":1})", "service" },
};

/// Checks that a body is decoded unless the case names an error.
template<class Result, class MessageOf>
void
CheckBody(const BodyCase& aCase, const Result& aResult, MessageOf aMessageOf)
{
  BOOST_TEST(aResult.has_value() == (*aCase.error_ == '\0'));
  if (!aResult) {
    std::string message = aMessageOf(aResult.error());
    BOOST_TEST(message.find(aCase.error_) != std::string::npos, message);
  }
}

} // namespace

// Guards against an order with a wrong or missing field that starts a roll-out.
BOOST_DATA_TEST_CASE(Invalid_orders_are_refused, data::make(kPlatformBodies))
{
  CheckBody(sample,
            platform::DecodeRolloutOrder(sample.body_),
            [](const PlanError& aError) { return aError.message_; });
}

BOOST_DATA_TEST_CASE(Invalid_orders_of_tanagerctl_are_refused,
                     data::make(kOperatorBodies))
{
  CheckBody(sample,
            RolloutApi::ReadOrder(sample.body_),
            [](const std::string& aError) { return aError; });
}

BOOST_AUTO_TEST_CASE(A_fractional_duration_is_kept_in_milliseconds)
{
  auto order = platform::DecodeRolloutOrder(
    R"({"service":"s","to":"v2","durationS":12.3456})");
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((*order == RolloutOrder{ "s", "v2", 12346ms, {} }));
}

// Guards against a duration that tanagerctl and the platform's call convert
// differently, so that their orders would count as different ones, and against
// one that isn't a number of milliseconds.
BOOST_AUTO_TEST_CASE(A_duration_is_rounded_and_bounded)
{
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  for (double seconds : { 0.0, -1.0, 86400.001, kInfinity, -kInfinity, kNan }) {
    BOOST_TEST_CONTEXT(seconds)
    {
      BOOST_TEST(!ToRolloutDuration(seconds).has_value());
    }
  }
  BOOST_TEST((ToRolloutDuration(0.0001) == 1ms));
  BOOST_TEST((ToRolloutDuration(0.29) == 290ms));
  BOOST_TEST((ToRolloutDuration(1.0016) == 1002ms));
  BOOST_TEST((ToRolloutDuration(86400.0) == kMaxRolloutDuration));
}

namespace {

constexpr WallTime kNow{ 1'000'000s };
const RolloutOrder kOrder{ "s", "v2", 12s, kNow };

/// A service's replicas, by version, and what else decides about `kOrder`.
struct OrderCase
{
  const char* name_;
  std::vector<const char*> versions_;
  /// The roll-out in the log, if the version is not empty.
  const char* recorded_;
  RolloutState state_;
  /// Whether this process has applied that part of the log.
  bool isBehind_;
  bool hasHeardAll_;
  /// The reply, or nothing if the order can't be decided.
  std::optional<RolloutReply> reply_;
};

std::ostream&
operator<<(std::ostream& aOut, const OrderCase& aCase)
{
  return aOut << aCase.name_;
}

constexpr auto kRunning = RolloutState::Running;
constexpr auto kCompleted = RolloutState::Completed;
constexpr auto kRolledBack = RolloutState::RolledBack;
constexpr auto kAccepted = RolloutReply::Accepted;
constexpr auto kRepeated = RolloutReply::Repeated;
constexpr auto kInForce = RolloutReply::InForce;

const std::vector<OrderCase> kOrderCases{
  { "old version", { "v1", "v1" }, "", {}, false, true, kAccepted },
  { "old version, just started", { "v1" }, "", {}, false, false, kAccepted },
  { "no replicas", {}, "", {}, false, true, kAccepted },
  { "no replicas yet", {}, "", {}, false, false, {} },
  { "all have it", { "v2", "v2" }, "", {}, false, true, kInForce },
  { "all known ones have it", { "v2" }, "", {}, false, false, {} },
  { "some have it", { "v1", "v2" }, "", {}, false, true, kAccepted },
  { "no version", { "" }, "", {}, false, true, kAccepted },
  { "the same order runs", { "v2" }, "v2", kRunning, false, true, kRepeated },
  { "it runs, unknown here", { "v2" }, "v2", kRunning, true, true, kRepeated },
  { "it runs, hardly anything is known here",
    {},
    "v2",
    kRunning,
    true,
    false,
    kRepeated },
  { "completed, unknown here",
    { "v2" },
    "v2",
    kCompleted,
    true,
    true,
    kRepeated },
  { "another was rolled back, its replicas drain",
    { "v2", "v3" },
    "v3",
    kRolledBack,
    false,
    true,
    kInForce },
  { "another was completed, the order names the one before",
    { "v2", "v3" },
    "v3",
    kCompleted,
    false,
    true,
    kAccepted },
  { "a release followed after another was completed",
    { "later:v2", "later:v2" },
    "v3",
    kCompleted,
    false,
    true,
    kInForce },
};

Replica
MakeReplica(std::string aVersion)
{
  constexpr std::string_view kLater = "later:";
  auto start = kNow.time_since_epoch().count();
  Replica replica;
  replica.startTimeMs_ = static_cast<std::uint64_t>(start - 60'000);
  if (aVersion.starts_with(kLater)) {
    replica.startTimeMs_ = static_cast<std::uint64_t>(start + 60'000);
    aVersion.erase(0, kLater.size());
  }
  replica.version_ = aVersion;
  return replica;
}

/// A log with one member, and a control process that may not have applied it.
class Control
{
public:
  explicit Control(const OrderCase& aCase)
  {
    TrafficPlan plan;
    plan.services_["s"] = {};
    machine_.apply_(FleetState::EncodeDeclare({ 1, "document" }));
    if (*aCase.recorded_ != '\0') {
      machine_.apply_(FleetState::EncodeStartRollout(
        { "s", aCase.recorded_, kOrder.duration_, kNow }));
      machine_.apply_(FleetState::EncodeEndRollout(1, aCase.state_, kNow));
    }
    facts_ = { true, 1, true, aCase.hasHeardAll_, {}, {} };
    for (const char* version : aCase.versions_) {
      facts_.replicas_.push_back(MakeReplica(version));
    }
    if (!aCase.isBehind_ && state_.FindRollout("s") != nullptr) {
      facts_.latest_ = *state_.FindRollout("s");
    }
    hooks_ = { [this](const Bytes& aCommand) -> GroupResult {
                ++proposals_;
                return proposed_ ? *proposed_ : machine_.apply_(aCommand);
              },
               [this](const Bytes& aQuery) -> GroupResult {
                 if (!hasQuorum_) {
                   return tl::make_unexpected(
                     GroupError{ GroupFault::Unavailable, "no quorum" });
                 }
                 documents_ += aQuery.empty() ? 1 : 0;
                 return machine_.query_(aQuery);
               },
               [this](const std::string&) { return facts_; },
               [plan](std::string_view)
                 -> tl::expected<TrafficPlan, PlanError> { return plan; } };
  }

  RolloutResult Start(const RolloutOrder& aOrder) const
  {
    return RolloutOrders(hooks_).Start(aOrder);
  }

  RolloutFacts facts_;
  bool hasQuorum_ = true;
  int proposals_ = 0;
  /// How often the declaration's document was requested.
  int documents_ = 0;
  /// If set, the result of each proposal.
  std::optional<GroupResult> proposed_;

private:
  FleetState state_;
  StateMachine machine_ = state_.AsStateMachine();
  RolloutOrderHooks hooks_;
};

} // namespace

// Guards against a roll-out to the version that all replicas have, which would
// leave the service without replicas, and against 409 for an order that was
// accepted elsewhere.
BOOST_DATA_TEST_CASE(An_order_is_judged_by_replicas_and_record,
                     data::make(kOrderCases))
{
  Control control(sample);
  auto result = control.Start(kOrder);
  BOOST_TEST(result.has_value() == sample.reply_.has_value());
  if (result && sample.reply_) {
    BOOST_TEST((*result == *sample.reply_));
  }
  if (!result) {
    BOOST_TEST((result.error().fault_ == RolloutFault::Unavailable));
    BOOST_TEST(control.proposals_ == 0);
  }
}

// Guards against a refusal by what one process alone knows, and against a
// proposal, when no quorum can confirm the record.
BOOST_AUTO_TEST_CASE(
  Without_a_quorum_an_order_that_needs_the_record_may_be_repeated)
{
  for (const auto& row : kOrderCases) {
    Control control(row);
    control.hasQuorum_ = false;
    control.facts_.canAllApply_ = false;
    BOOST_TEST_CONTEXT(row.name_)
    {
      auto result = control.Start(kOrder);
      BOOST_REQUIRE(!result.has_value());
      BOOST_TEST((result.error().fault_ == RolloutFault::Unavailable));
      BOOST_TEST(result.error().detail_ == "no quorum");
      BOOST_TEST(control.proposals_ == 0);
    }
  }
  OrderCase inEffect{ "", { "v2" }, "", {}, false, true, kInForce };
  Control control(inEffect);
  control.hasQuorum_ = false;
  auto result = control.Start(kOrder);
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST((result.error().fault_ == RolloutFault::Unavailable));
}

// Guards against 400 for a service of a declaration that this process has not
// applied yet, and against any refusal without a quorum.
BOOST_AUTO_TEST_CASE(An_unknown_service_is_refused_once_a_quorum_confirms_it)
{
  Control control(kOrderCases.front());
  control.facts_.isServiceKnown_ = false;
  control.facts_.declaration_ = std::nullopt;
  BOOST_TEST((*control.Start(kOrder) == kAccepted));
  RolloutOrder other{ "other", "v2", 12s, kNow };
  BOOST_TEST(
    (control.Start(other).error().fault_ == RolloutFault::UnknownService));
  control.hasQuorum_ = false;
  BOOST_TEST(
    (control.Start(other).error().fault_ == RolloutFault::Unavailable));
  BOOST_TEST(control.proposals_ == 1);
}

// Guards against a leader that sends its whole declaration for each order with
// a wrong name of a service.
BOOST_AUTO_TEST_CASE(A_declaration_is_requested_only_if_it_is_another_one)
{
  Control control(kOrderCases.front());
  control.facts_.isServiceKnown_ = false;
  RolloutOrder other{ "other", "v2", 12s, kNow };
  BOOST_TEST(
    (control.Start(other).error().fault_ == RolloutFault::UnknownService));
  BOOST_TEST(control.documents_ == 0);
  control.facts_.declaration_ = std::nullopt;
  BOOST_TEST(
    (control.Start(other).error().fault_ == RolloutFault::UnknownService));
  BOOST_TEST(control.documents_ == 1);
}

// Guards against a command in the log that a member of an older build can't
// apply.
BOOST_AUTO_TEST_CASE(Nothing_is_proposed_until_all_members_can_apply_it)
{
  Control control(kOrderCases.front());
  control.facts_.canAllApply_ = false;
  BOOST_TEST(
    (control.Start(kOrder).error().fault_ == RolloutFault::Unavailable));
  BOOST_TEST(control.proposals_ == 0);
}

// Guards against a final refusal or an exception out of the handler when the
// outcome of a proposal is unknown: without a quorum, or with a leader whose
// build doesn't know the command or knows further replies.
BOOST_AUTO_TEST_CASE(An_order_with_an_unknown_outcome_may_be_repeated)
{
  Control control(kOrderCases.front());
  const std::vector<GroupResult> results{
    tl::make_unexpected(GroupError{ GroupFault::Unavailable, "no quorum" }),
    Bytes{},
    Bytes{ static_cast<std::uint8_t>(RolloutReply::Outdated) + 1 },
    Bytes{ 0, 0 },
  };
  for (const auto& result : results) {
    control.proposed_ = result;
    auto reply = control.Start(kOrder);
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST((reply.error().fault_ == RolloutFault::Unavailable));
  }
  BOOST_TEST(control.proposals_ == 4);
}

// Guards against 503 for a repeated order at a process that has just started
// and has neither heard all members nor applied the log.
BOOST_AUTO_TEST_CASE(A_recorded_rollout_shows_that_all_members_can_apply_it)
{
  OrderCase recorded{ "", { "v1" }, "v2", kRunning, true, false, kRepeated };
  Control control(recorded);
  control.facts_.canAllApply_ = false;
  BOOST_TEST((*control.Start(kOrder) == kRepeated));
}

// Guards against statuses that end an operator's call although the order may be
// repeated, or the reverse.
BOOST_AUTO_TEST_CASE(Each_result_has_its_status)
{
  auto fail = [](RolloutFault aFault) {
    return RolloutResult(tl::make_unexpected(RolloutError{ aFault, "why" }));
  };
  BOOST_TEST(AnswerTo(kAccepted).status_ == 200);
  BOOST_TEST(AnswerTo(kRepeated).status_ == 200);
  BOOST_TEST(AnswerTo(RolloutReply::Conflict).status_ == 409);
  BOOST_TEST(AnswerTo(kInForce).status_ == 409);
  BOOST_TEST(AnswerTo(RolloutReply::Outdated).status_ == 503);
  BOOST_TEST(AnswerTo(fail(RolloutFault::UnknownService)).status_ == 400);
  BOOST_TEST(AnswerTo(fail(RolloutFault::Unavailable)).status_ == 503);
}

BOOST_AUTO_TEST_CASE(Operators_read_the_state_and_the_version)
{
  Rollout rollout{ 1, kOrder, kRolledBack, kNow };
  BOOST_TEST(platform::EncodeRollout(rollout) ==
             R"({"state":"rolled_back","to":"v2"})");
}
