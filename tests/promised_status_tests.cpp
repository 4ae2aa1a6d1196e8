// What a caller gets for a status that promises that its request has not run.
#define BOOST_TEST_MODULE promised_status
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

/// The usual routes, and one without a key beside an organisation's key.
std::string
DocumentOfAllKinds()
{
  constexpr std::string_view kEnd = "]}";
  std::string document = kDocument;
  BOOST_REQUIRE(document.ends_with(kEnd));
  document.resize(document.size() - kEnd.size());
  return document +
         R"(,{"name":"open","host":"h","pathPrefix":"/open/",)"
         R"("kind":"unsafe","timeoutMs":1500,"service":"s","attempts":1,)"
         R"("anonymous":true}],"tenants":[{"name":"t","apiKeys":["k"]}]})";
}

std::string
Failure(const char* aStatus, const std::string& aMore = "")
{
  return WithHeader(Head(aStatus) + "Content-Length: 2\r\n\r\nno", aMore);
}

std::string
Refusal(const char* aStatus)
{
  return Failure(aStatus, "Tanagerstall-Not-Executed: 1\r\n");
}

/// A response of both upstreams, and what becomes of it.
struct StatusCase
{
  const char* path_;
  const char* name_;
  std::string response_;
  /// The caller's status.
  int status_;
  /// Whether the caller gets the upstream's own response.
  bool isUpstreams_;
  /// The number of requests that both upstreams received in total.
  int sends_;
};

std::ostream&
operator<<(std::ostream& aOut, const StatusCase& aCase)
{
  return aOut << aCase.path_ << " " << aCase.name_;
}

const std::string kBackoff = "Retry-After: 0.1\r\n";

/// Statuses that promise, of upstreams that state no refusal. The requests may
/// run once, or are those that may be repeated.
std::vector<StatusCase>
UnstatedRefusals()
{
  std::vector<StatusCase> cases;
  for (const char* path : { "/once/x", "/open/x", "/stream/x" }) {
    cases.push_back({ path, "503", Failure("503 X"), 502, false, 1 });
    cases.push_back(
      { path, "503 later", Failure("503 X", kBackoff), 502, false, 1 });
    cases.push_back({ path, "429", Failure("429 X"), 502, false, 1 });
    cases.push_back(
      { path, "429 later", Failure("429 X", kBackoff), 502, false, 1 });
    cases.push_back({ path, "408", Failure("408 X"), 502, false, 1 });
  }
  for (const char* path : { "/safe/x", "/resume/x" }) {
    cases.push_back({ path, "503", Failure("503 X"), 503, true, 2 });
    cases.push_back({ path, "429", Failure("429 X"), 429, true, 1 });
    cases.push_back({ path, "408", Failure("408 X"), 408, true, 1 });
  }
  return cases;
}

/// Responses that are what they say.
std::vector<StatusCase>
TrueResponses()
{
  std::vector<StatusCase> cases;
  for (const char* path : { "/once/x", "/open/x", "/stream/x" }) {
    cases.push_back({ path, "500", Failure("500 X"), 500, true, 1 });
    cases.push_back({ path, "502", Failure("502 X"), 502, true, 1 });
    cases.push_back({ path, "504", Failure("504 X"), 504, true, 1 });
    cases.push_back({ path, "400", Failure("400 X"), 400, true, 1 });
  }
  for (const char* path :
       { "/once/x", "/open/x", "/stream/x", "/safe/x", "/resume/x" }) {
    cases.push_back({ path, "refused 503", Refusal("503 X"), 503, false, 2 });
    cases.push_back({ path, "refused 429", Refusal("429 X"), 503, false, 2 });
    cases.push_back({ path, "refused 408", Refusal("408 X"), 503, false, 2 });
    cases.push_back({ path, "refused 421", Refusal("421 X"), 503, false, 2 });
    cases.push_back({ path, "refused 400", Refusal("400 X"), 503, false, 2 });
    cases.push_back({ path, "421", Failure("421 X"), 503, false, 2 });
  }
  return cases;
}

void
CheckStatus(const StatusCase& aCase, const std::string& aBody)
{
  ScriptedUpstream one({ aCase.response_ });
  ScriptedUpstream other({ aCase.response_ });
  Environment environment({ &one, &other }, DocumentOfAllKinds());
  auto answer = environment.Fetch(aCase.path_, "", "k", {}, aBody);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status_ == aCase.status_);
  BOOST_TEST(answer->Header("Tanagerstall-Response-Seal").empty() !=
             aCase.isUpstreams_);
  BOOST_TEST((answer->body_ == "no") == aCase.isUpstreams_);
  bool isRefused = answer->status_ == 503 && !aCase.isUpstreams_;
  BOOST_TEST((answer->body_.find("not_run") != std::string::npos) == isRefused);
  if (answer->status_ == 502) {
    BOOST_TEST(answer->Header("Retry-After").empty());
  }
  BOOST_TEST(one.Requests() + other.Requests() == aCase.sends_);
}

/// Bodies that are sent with the head, and that the upstreams leave unread.
const std::vector<std::size_t> kBodyBytes{ 0, 4UL << 20U };

} // namespace

// Guards against an upstream's 503, 429 or 408 after a run that tells the
// caller that its non-idempotent request has not run.
BOOST_DATA_TEST_CASE(A_promise_that_the_upstream_did_not_make_is_not_passed_on,
                     data::make(UnstatedRefusals()) * data::make(kBodyBytes),
                     sample,
                     bytes)
{
  CheckStatus(sample, std::string(bytes, 'x'));
}

// Guards against true refusals and failures that are withheld from the caller.
BOOST_DATA_TEST_CASE(A_true_refusal_or_failure_reaches_the_caller,
                     data::make(TrueResponses()))
{
  CheckStatus(sample, "");
}

// Guards against a run that isn't counted since its response is withheld.
BOOST_AUTO_TEST_CASE(A_failure_that_is_withheld_counts_as_usage)
{
  ScriptedUpstream upstream({ Failure("503 X") });
  Environment environment({ &upstream }, DocumentOfAllKinds());
  BOOST_TEST(environment.Fetch("/once/x", "", "k")->status_ == 502);
  auto report = environment.Call<TrafficReport>(
    [](Forwarder& aForwarder) { return aForwarder.Report(); });
  BOOST_REQUIRE(report.usage_.size() == 1U);
  BOOST_TEST(report.usage_.front().counts_.at("t") == 1U);
}

namespace {

struct RunCase
{
  AttemptOutcome outcome_;
  bool isSent_;
  bool mayHaveRun_;
};

std::ostream&
operator<<(std::ostream& aOut, const RunCase& aCase)
{
  return aOut << static_cast<int>(aCase.outcome_) << " " << aCase.isSent_;
}

const std::vector<RunCase> kRuns{
  { AttemptOutcome::Answered, true, true },
  { AttemptOutcome::Broken, true, true },
  { AttemptOutcome::Abandoned, true, true },
  { AttemptOutcome::Abandoned, false, false },
  { AttemptOutcome::Refused, true, false },
  { AttemptOutcome::Misdirected, true, false },
  { AttemptOutcome::Unreachable, false, false },
  { AttemptOutcome::Withdrawn, false, false },
};

} // namespace

// Guards against an attempt that may have run the request and that a later
// refusal forgets.
BOOST_DATA_TEST_CASE(Each_end_of_an_attempt_says_whether_it_may_have_run,
                     data::make(kRuns))
{
  AttemptResult result;
  result.outcome_ = sample.outcome_;
  result.isSent_ = sample.isSent_;
  BOOST_TEST(result.MayHaveRun() == sample.mayHaveRun_);
}
