// Documents, announcements and settings of the platform must be decoded or
// refused as a whole: a field with a wrong type or value must not be ignored.
#define BOOST_TEST_MODULE platform
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"
#include "tanagerstall_platform_control.hpp"
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_platform_plan.hpp"
#include "tanagerstall_platform_settings.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace tanagerstall::platform;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* kRoute =
  R"({"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"safe",)"
  R"("timeoutMs":1000,"service":"s1","attempts":2})";
constexpr const char* kService = R"({"name":"s1","healthPath":"/health"})";

std::string
Document(const std::string& aRoutes,
         const std::string& aServices = kService,
         const std::string& aMore = "")
{
  return R"({"version":7,"routes":[)" + aRoutes + R"(],"services":[)" +
         aServices + "]" + aMore + "}";
}

std::string
With(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

struct DocumentCase
{
  const char* name_;
  std::string document_;
  /// Substring of the error; empty for a valid document.
  const char* error_;
};

std::ostream&
operator<<(std::ostream& aOut, const DocumentCase& aCase)
{
  return aOut << aCase.name_;
}

const std::string kValid = Document(kRoute);
const std::string kOtherRoute = With(kRoute, "/a/", "/a/b/");

const std::vector<DocumentCase> kDocuments{
  { "valid", kValid, "" },
  { "two prefixes", Document(kRoute + ("," + kOtherRoute)), "" },
  { "unknown fields", Document(With(kRoute, "{", R"({"new":[1],)")), "" },
  { "truncated", kValid.substr(0, kValid.size() - 1), "JSON" },
  { "empty", "", "JSON" },
  { "trailing characters", kValid + "x", "JSON" },
  { "an array instead of an object", "[]", "no object" },
  { "no version", With(kValid, "version", "v"), "\"version\"" },
  { "version as text", With(kValid, "7", "\"7\""), "\"version\"" },
  { "negative version", With(kValid, "7", "-7"), "\"version\"" },
  { "no services", With(kValid, "services", "s"), "\"services\"" },
  { "unknown service",
    Document(With(kRoute, "\"s1\"", "\"s2\"")),
    "unknown service" },
  { "unknown kind", Document(With(kRoute, "safe", "odd")), "unknown kind" },
  { "no timeout", Document(With(kRoute, "1000", "0")), "timeout" },
  { "two routes with one prefix",
    Document(kRoute + ("," + std::string(kRoute))),
    "share" },
  { "prefix without slash", Document(With(kRoute, "/a/", "/a")), "slash" },
  { "weights of 0",
    Document(With(kRoute,
                  R"("service":"s1")",
                  R"("trafficSplit":[{"service":"s1","weight":0}])")),
    "add up to 0" },
  { "two organisations, one key",
    Document(
      kRoute,
      kService,
      R"(,"tenants":[{"name":"t1","apiKeys":["k"]},{"name":"t2","apiKeys":["k"]}])"),
    "share a key" },
  { "no organisation is left",
    Document(kRoute, kService, R"(,"tenants":[])"),
    "" },
  { "organisations are null",
    Document(kRoute, kService, R"(,"tenants":null)"),
    "\"tenants\"" },
  { "one organisation, its key twice",
    Document(kRoute,
             kService,
             R"(,"tenants":[{"name":"t1","apiKeys":["k","k"]}])"),
    "" },
};

} // namespace

BOOST_DATA_TEST_CASE(Invalid_declarations_are_refused, data::make(kDocuments))
{
  auto plan = DecodePlan(sample.document_);
  BOOST_TEST(plan.has_value() == (*sample.error_ == '\0'));
  if (!plan) {
    BOOST_TEST(plan.error().message_.find(sample.error_) != std::string::npos,
               plan.error().message_);
  }
}

namespace {

/// A declaration's number as it is written, and as it is read; nullopt if the
/// declaration is refused.
struct WrittenNumber
{
  const char* text_;
  std::optional<std::uint64_t> number_;
};

std::ostream&
operator<<(std::ostream& aOut, const WrittenNumber& aCase)
{
  return aOut << aCase.text_;
}

const std::vector<WrittenNumber> kWrittenNumbers{
  { "0", 0 },
  { "-0", 0 },
  { "7", 7 },
  { "1.0", 1 },
  { "1e2", 100 },
  { "9007199254740992", 9007199254740992U },
  { "9007199254740993", 9007199254740993U },
  { "9223372036854775808", 9223372036854775808U },
  { "18446744073709551615", 18446744073709551615U },
  { "18446744073709551616", std::nullopt },
  { "1000000000000000.0", 1000000000000000U },
  { "9007199254740991.0", std::nullopt },
  { "9007199254740993.0", std::nullopt },
  { "1e17", std::nullopt },
  { "-1", std::nullopt },
  { "1.5", std::nullopt },
  { R"("7")", std::nullopt },
  { "null", std::nullopt },
  { "true", std::nullopt },
  { "[7]", std::nullopt },
};

} // namespace

// Guards against a number that is rounded, so that a declaration takes the
// place of another one.
BOOST_DATA_TEST_CASE(A_declaration_number_is_read_exactly_or_refused,
                     data::make(kWrittenNumbers))
{
  auto plan = DecodePlan(With(kValid, "7", sample.text_));
  BOOST_TEST(plan.has_value() == sample.number_.has_value());
  if (plan) {
    BOOST_TEST(plan->number_ == *sample.number_);
  } else {
    BOOST_TEST(plan.error().message_.find("\"version\"") != std::string::npos);
  }
}

// Guards against a sequence or start time that is rounded to that of another
// announcement.
BOOST_AUTO_TEST_CASE(A_sequence_above_the_exact_numbers_is_refused)
{
  auto announce = [](const std::string& aSequence) {
    return DecodeAnnouncement(
      "i",
      R"({"service":"s","address":"10.0.0.1:80","state":"ready","sequence":)" +
        aSequence + "}");
  };
  BOOST_TEST(announce("9007199254740992").has_value());
  BOOST_TEST(!announce("9007199254740993").has_value());
}

BOOST_AUTO_TEST_CASE(The_longest_matching_path_prefix_selects_the_route)
{
  auto plan =
    DecodePlan(Document(kRoute + ("," + With(kOtherRoute, "r1", "r2"))));
  BOOST_TEST(plan->FindRoute("h.example", "/a/x")->name_ == "r1");
  BOOST_TEST(plan->FindRoute("h.example", "/a/b/x")->name_ == "r2");
  BOOST_TEST(plan->FindRoute("h.example", "/a/bx")->name_ == "r1");
  BOOST_TEST(plan->FindRoute("h.example", "/ax") == nullptr);
  BOOST_TEST(plan->FindRoute("other.example", "/a/x") == nullptr);
}

namespace {

/// Declarations in the order of their arrival, and the one that is kept.
struct DeclareCase
{
  const char* name_;
  std::vector<Declaration> declared_;
  Declaration kept_;
};

std::ostream&
operator<<(std::ostream& aOut, const DeclareCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<DeclareCase> kDeclareCases{
  { "higher", { { 3, "x" }, { 5, "y" } }, { 5, "y" } },
  { "lower", { { 5, "x" }, { 3, "y" } }, { 5, "x" } },
  { "repeated", { { 5, "x" }, { 5, "x" } }, { 5, "x" } },
  { "other content under the same number",
    { { 5, "x" }, { 5, "y" } },
    { 5, "x" } },
  { "an older one arrives again",
    { { 3, "x" }, { 5, "y" }, { 3, "x" } },
    { 5, "y" } },
  { "0 first", { { 0, "x" } }, { 0, "x" } },
  { "0 first, then 1", { { 0, "x" }, { 1, "y" } }, { 1, "y" } },
  { "0 twice", { { 0, "x" }, { 0, "x" } }, { 0, "x" } },
  { "other content under 0", { { 0, "x" }, { 0, "y" } }, { 0, "x" } },
  { "0 after 5", { { 5, "x" }, { 0, "y" } }, { 5, "x" } },
};

} // namespace

BOOST_DATA_TEST_CASE(The_highest_declaration_number_wins,
                     data::make(kDeclareCases))
{
  FleetState state;
  auto machine = state.AsStateMachine();
  for (const auto& declaration : sample.declared_) {
    machine.apply_(FleetState::EncodeDeclare(declaration));
  }
  FleetState other;
  other.AsStateMachine().installSnapshot_(machine.takeSnapshot_());
  for (const auto* it : { &state, &other }) {
    BOOST_REQUIRE(it->Current().has_value());
    BOOST_TEST(it->Current()->number_ == sample.kept_.number_);
    BOOST_TEST(it->Current()->document_ == sample.kept_.document_);
  }
  auto read = FleetState::DecodeDeclaration(machine.query_({}));
  BOOST_TEST(read->document_ == sample.kept_.document_);
}

BOOST_AUTO_TEST_CASE(The_first_usage_counts_of_a_window_are_final)
{
  FleetState state;
  auto machine = state.AsStateMachine();
  machine.apply_(FleetState::EncodeUsage({ 9, { { "t1", 4 } } }));
  auto second = FleetState::DecodeUsage(
    machine.apply_(FleetState::EncodeUsage({ 9, { { "t1", 5 } } })));
  BOOST_TEST(second.counts_.at("t1") == 4U);
  BOOST_TEST(state.AgreedUsage(9)->at("t1") == 4U);
}

namespace {

struct AnnouncementCase
{
  const char* name_;
  const char* body_;
  bool isAccepted_;
};

std::ostream&
operator<<(std::ostream& aOut, const AnnouncementCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<AnnouncementCase> kAnnouncements{
  { "ready",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4})",
    true },
  { "draining",
    R"({"service":"s","address":"1.2.3.4:5","state":"draining","sequence":4})",
    true },
  { "unknown state",
    R"({"service":"s","address":"1.2.3.4:5","state":"odd","sequence":4})",
    false },
  { "no state",
    R"({"service":"s","address":"1.2.3.4:5","sequence":4})",
    false },
  { "no sequence",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready"})",
    false },
  { "sequence as text",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":"4"})",
    false },
  { "service of another type",
    R"({"service":5,"address":"1.2.3.4:5","state":"ready","sequence":4})",
    false },
  { "malformed address",
    R"({"service":"s","address":"here","state":"ready","sequence":4})",
    false },
  { "binary data", "\x01\x02", false },
  { "empty", "", false },
  { "port out of range",
    R"({"service":"s","address":"1.2.3.4:70000","state":"ready","sequence":4})",
    false },
  { "port 0",
    R"({"service":"s","address":"1.2.3.4:0","state":"ready","sequence":4})",
    false },
  { "sequence too large",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":1e300})",
    false },
  { "sequence of 64 bits",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready",)"
    R"("sequence":18446744073709551615})",
    false },
  { "slots beyond 32 bits",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("slots":4294967297})",
    false },
  { "negative slots",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("slots":-1})",
    false },
  { "start time too large",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("born":1e300})",
    false },
  { "number beyond all doubles",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("born":1e999})",
    false },
  { "time until warm too large",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("coldRemainingMs":1e300})",
    false },
  { "negative time until warm",
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("coldRemainingMs":-1})",
    false },
};

constexpr std::size_t kDeepNesting = 100'000;

struct LeaveCase
{
  const char* name_;
  const char* body_;
  std::optional<std::uint64_t> startTimeMs_;
};

std::ostream&
operator<<(std::ostream& aOut, const LeaveCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<LeaveCase> kLeaves{
  { "empty", "", 0 },
  { "without a start time", "{}", 0 },
  { "with a start time", R"({"born":1780457230076})", 1780457230076 },
  { "negative", R"({"born":-1})", std::nullopt },
  { "too large", R"({"born":1e300})", std::nullopt },
  { "a text", R"({"born":"x"})", std::nullopt },
  { "no object", "[]", std::nullopt },
  { "binary data", "\x01\x02", std::nullopt },
};

} // namespace

// Guards against odd entries of other writers that end a control process, or
// that are taken for replicas.
BOOST_DATA_TEST_CASE(Malformed_announcements_are_refused,
                     data::make(kAnnouncements))
{
  BOOST_TEST(DecodeAnnouncement("r1", sample.body_).has_value() ==
             sample.isAccepted_);
}

BOOST_DATA_TEST_CASE(A_deeply_nested_announcement_is_refused,
                     data::make({ "[", "{\"a\":" }),
                     opening)
{
  std::string nested;
  for (std::size_t i = 0; i < kDeepNesting; ++i) {
    nested += opening;
  }
  std::string inside =
    R"({"service":"s","address":"1.2.3.4:5","state":"ready","sequence":4,)"
    R"("more":)" +
    nested;
  BOOST_TEST(!DecodeAnnouncement("r1", nested));
  BOOST_TEST(!DecodeAnnouncement("r1", inside));
}

// Guards against an odd entry that takes a sound replica out of use.
BOOST_DATA_TEST_CASE(A_malformed_leave_is_refused, data::make(kLeaves))
{
  auto startTime = DecodeLeave(sample.body_);
  BOOST_TEST(startTime.has_value() == sample.startTimeMs_.has_value());
  if (startTime && sample.startTimeMs_) {
    BOOST_TEST(*startTime == *sample.startTimeMs_);
  }
}

namespace {

constexpr const char* kEntryFile =
  "nodeName=front-1\nzone=a\nregion=north\nzones.a=north\nzones.b=south\n"
  "ipAddress=10.1.0.14\nlisten.front=10.1.0.14:8221\n"
  "listen.ready=10.1.0.14:8224\ninternalPortRange=7600,7615\n"
  "seeds=10.1.0.17:8229,10.2.0.7:8229\nbounds.graceS=8\n"
  "bounds.retryBudgetRatio=0.2\nbounds.retryBudgetSlack=56\n"
  "bounds.usageWindowS=5\nnew.field=1\n";

struct SettingsCase
{
  const char* from_;
  const char* to_;
  /// Key that the error has to name.
  const char* setting_;
};

std::ostream&
operator<<(std::ostream& aOut, const SettingsCase& aCase)
{
  return aOut << aCase.from_;
}

const std::vector<SettingsCase> kSettingsCases{
  { "nodeName=front-1\n", "", "nodeName" },
  { "listen.front=10.1.0.14:8221", "listen.front=here", "listen.front" },
  { "bounds.graceS=8", "bounds.graceS=soon", "bounds.graceS" },
  { "new.field=1", "bounds.rollbackMs=soon", "bounds.rollbackMs" },
  { "new.field=1", "admission=maybe", "admission" },
  { "internalPortRange=7600,7615", "internalPortRange=x", "internalPortRange" },
};

} // namespace

BOOST_AUTO_TEST_CASE(An_entry_reads_its_settings)
{
  auto settings = ReadEntrySettings(ParseSettingsFile(kEntryFile));
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->callerAddress_.ToString() == "10.1.0.14:8221");
  BOOST_TEST(settings->control_.at(1).ToString() == "10.2.0.7:7601");
  BOOST_TEST((settings->grace_ == 8s));
  BOOST_TEST((settings->directiveLease_ == 1500ms));
  BOOST_TEST(settings->forwarder_.regions_.at("b") == "south");
}

BOOST_DATA_TEST_CASE(Errors_name_the_missing_or_malformed_setting,
                     data::make(kSettingsCases))
{
  auto settings = ReadEntrySettings(
    ParseSettingsFile(With(kEntryFile, sample.from_, sample.to_)));
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().message_.find(sample.setting_) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Reserved_headers_of_callers_are_not_forwarded)
{
  auto protocol = MakeCallerProtocol();
  auto plan = std::make_shared<TrafficPlan>(*DecodePlan(kValid));
  ForwardedRequest request;
  request.plan_ = plan;
  request.route_ = &plan->routes_.front();
  request.deadline_ = TimePoint(1h) + 700ms;
  HttpRequest from{ "GET", "/a/x?q=1", {}, "" };
  for (const auto& name : protocol.reserved_) {
    from.headers_.push_back({ name, "smuggled" });
  }
  for (const auto& name : { protocol.key_,
                            protocol.organisation_,
                            protocol.expectedReplica_,
                            protocol.urgency_,
                            protocol.timeRemaining_,
                            std::string("X-Hop"),
                            std::string("Transfer-Encoding") }) {
    from.headers_.push_back({ name, "smuggled" });
  }
  from.headers_.push_back({ "Connection", "close, X-Hop" });
  from.headers_.push_back({ "X-Other", "kept" });
  Replica replica;
  replica.id_ = "r1";
  auto to =
    MakeUpstreamRequest(from, request, replica, protocol, TimePoint(1h));
  for (const auto& header : to.headers_) {
    BOOST_TEST(header.value_ != "smuggled", header.name_);
  }
  BOOST_TEST(to.target_ == "/a/x?q=1");
  BOOST_TEST(to.Header("X-Other") == "kept");
  BOOST_TEST(to.Header(protocol.timeRemaining_) == "700");
  BOOST_TEST(to.Header(protocol.expectedReplica_) == "r1");
}
