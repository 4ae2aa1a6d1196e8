// What an entry sends to replicas that have said in answers that they leave,
// that they want a pause, or how many requests they take.
#define BOOST_TEST_MODULE forwarder_notice
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const std::string kLeaving = "Server-Leaving: 1\r\n";

struct LeavingCase
{
  const char* name_;
  const char* path_;
  Script script_;
  int status_;
};

std::ostream&
operator<<(std::ostream& aOut, const LeavingCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<LeavingCase> kLeavingCases{
  { "success", "/safe/x", { WithHeader(kWhole, kLeaving) }, 200 },
  { "failure", "/once/x", { WithHeader(kFailed, kLeaving) }, 500 },
  { "refusal", "/once/x", { WithHeader(kNotRun, kLeaving) }, 503 },
  { "misdirected", "/once/x", { WithHeader(kMisdirected, kLeaving) }, 503 },
  { "stream",
    "/stream/x",
    { WithHeader(kStreamHead, kLeaving) + Chunk(kEvent1) + "0\r\n\r\n" },
    200 },
  { "stream that breaks off",
    "/stream/x",
    { WithHeader(kStreamHead, kLeaving) + Chunk(kEvent1), After::Close },
    kBroken },
  { "answer to another request",
    "/once/x",
    { WithHeader(kForeign, kLeaving), After::Close },
    502 },
  { "answer without a seal",
    "/once/x",
    { WithHeader(kUnsealed, kLeaving), After::Close },
    502 },
};

} // namespace

// Guards against requests to a replica that has said in an answer that it
// leaves, while its announcement still says that it is ready.
BOOST_DATA_TEST_CASE(A_replica_that_leaves_gets_no_further_request,
                     data::make(kLeavingCases),
                     sample)
{
  ScriptedUpstream upstream(sample.script_);
  Environment environment({ &upstream });
  auto first = environment.Fetch(sample.path_);
  BOOST_TEST((first ? first->status_ : kBroken) == sample.status_);
  int before = upstream.Requests();
  auto second = environment.Fetch("/safe/x");
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->status_ == 503);
  BOOST_TEST(upstream.Requests() == before);
}

BOOST_AUTO_TEST_CASE(A_late_copy_also_says_that_its_replica_leaves)
{
  ScriptedUpstream upstream(
    { kWhole, After::Keep, "", 0ms, WithHeader(kForeign, kLeaving) + kWhole });
  Environment environment({ &upstream });
  BOOST_TEST(environment.Fetch("/safe/x")->status_ == 200);
  BOOST_TEST(environment.Fetch("/safe/x")->status_ == 200);
  BOOST_TEST(environment.Fetch("/safe/x")->status_ == 503);
  BOOST_TEST(upstream.Requests() == 2);
}

namespace {

struct BackoffCase
{
  const char* name_;
  std::string response_;
  /// Whether the entry backs off.
  bool isBackingOff_;
};

std::ostream&
operator<<(std::ostream& aOut, const BackoffCase& aCase)
{
  return aOut << aCase.name_;
}

const std::string kShortBackoff = "Retry-After: 0.4\r\n";
const std::string kUnavailableRun =
  Head("503 Service Unavailable") + "Content-Length: 0\r\n\r\n";

const std::vector<BackoffCase> kBackoffs{
  { "not run", WithHeader(kNotRun, kShortBackoff), true },
  { "may have run", WithHeader(kUnavailableRun, kShortBackoff), true },
  { "without a time", kNotRun, false },
  { "with another status", WithHeader(kFailed, kShortBackoff), false },
  { "a date",
    WithHeader(kNotRun, "Retry-After: Sat, 05 Dec 2026 10:00:00 GMT\r\n"),
    false },
};

} // namespace

// Guards against requests to a replica that has asked for none for a while, and
// against callers that wait for it.
BOOST_DATA_TEST_CASE(A_replica_that_asks_for_a_back_off_gets_no_request,
                     data::make(kBackoffs),
                     sample)
{
  ScriptedUpstream upstream({ sample.response_, After::Close });
  Environment environment({ &upstream });
  (void)environment.Fetch("/once/x");
  int before = upstream.Requests();
  std::this_thread::sleep_for(100ms);
  auto second = environment.Fetch("/once/x");
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(upstream.Requests() == before + (sample.isBackingOff_ ? 0 : 1));
  if (sample.isBackingOff_) {
    BOOST_TEST(second->status_ == 503);
    BOOST_TEST(second->body_.find("backing_off") != std::string::npos);
    double retryAfter = std::stod(std::string(second->Header("Retry-After")));
    BOOST_TEST(retryAfter > 0.0);
    BOOST_TEST(retryAfter <= 1.4);
  }
}

BOOST_AUTO_TEST_CASE(A_request_refused_with_a_back_off_goes_to_another_replica)
{
  ScriptedUpstream full({ WithHeader(kNotRun, "Retry-After: 5\r\n") });
  ScriptedUpstream free({ kWhole, After::Close });
  Environment environment({ &full, &free });
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(environment.Fetch("/once/x")->status_ == 200);
  }
  BOOST_TEST(full.Requests() <= 1);
}

// Guards against callers whose requests wait for their organisation's limit,
// and are charged to it, although no replica takes any.
BOOST_AUTO_TEST_CASE(
  Requests_are_refused_before_limits_while_all_replicas_pause)
{
  constexpr const char* kKey = "k1";
  std::string document = kDocument;
  document.insert(
    document.size() - 1,
    R"(,"tenants":[{"name":"o","apiKeys":["k1"],"unit":"requests",)"
    R"("ratePerS":1,"burst":1}])");
  ScriptedUpstream upstream({ WithHeader(kNotRun, "Retry-After: 5\r\n") });
  Environment environment({ &upstream }, document);
  environment.forwarder_.Limits().ApplyGrants({ { "o", 1.0 } }, 1);
  auto first = environment.Fetch("/once/x", "", kKey);
  BOOST_TEST(first->body_.find("backing_off") != std::string::npos);
  // The only grant is spent: another request would wait for the limit.
  Clock clock;
  TimePoint begin = clock.Now();
  auto second = environment.Fetch("/once/x", "", kKey);
  BOOST_TEST(second->status_ == 503);
  BOOST_TEST(second->body_.find("backing_off") != std::string::npos);
  BOOST_TEST((clock.Now() - begin < 200ms));
  BOOST_TEST(upstream.Requests() == 1);
}

namespace {

const std::string kRate = "Server-Limit: 2\r\n";

struct RateCase
{
  const char* name_;
  const char* path_;
  std::string response_;
};

std::ostream&
operator<<(std::ostream& aOut, const RateCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<RateCase> kRates{
  { "success", "/safe/x", WithHeader(kWhole, kRate) },
  { "failure", "/once/x", WithHeader(kFailed, kRate) },
  { "refusal", "/once/x", WithHeader(kNotRun, kRate) },
  { "stream",
    "/stream/x",
    WithHeader(kStreamHead, kRate) + Chunk(kEvent1) + "0\r\n\r\n" },
};

/// Requests that one entry of many sends in a short time.
constexpr int kManyRequests = 8;
constexpr std::uint32_t kManyEntries = 1000;

} // namespace

// Guards against many entries that each send a replica in need as many requests
// as all of them together may.
BOOST_DATA_TEST_CASE(A_replica_gets_no_more_than_the_rate_that_it_named,
                     data::make(kRates),
                     sample)
{
  ScriptedUpstream upstream({ sample.response_, After::Close });
  Environment environment({ &upstream }, kDocument, kManyEntries);
  (void)environment.Fetch(sample.path_);
  int before = upstream.Requests();
  for (int i = 0; i < kManyRequests; ++i) {
    auto answer = environment.Fetch("/safe/x");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status_ == 503);
    BOOST_TEST(!answer->Header("Retry-After").empty());
  }
  BOOST_TEST(upstream.Requests() == before);
}

BOOST_AUTO_TEST_CASE(Requests_beyond_a_named_rate_go_to_other_replicas)
{
  ScriptedUpstream limited({ WithHeader(kWhole, kRate), After::Close });
  ScriptedUpstream free({ kWhole, After::Close });
  Environment environment({ &limited, &free }, kDocument, kManyEntries);
  for (int i = 0; i < kManyRequests; ++i) {
    BOOST_TEST(environment.Fetch("/safe/x")->status_ == 200);
  }
  BOOST_TEST(limited.Requests() <= 1);
}

// Guards against a late copy on a kept connection that changes a limit.
BOOST_AUTO_TEST_CASE(An_answer_to_another_request_names_no_limit)
{
  ScriptedUpstream upstream(
    { kWhole, After::Keep, "", 0ms, WithHeader(kForeign, kRate) + kWhole });
  Environment environment({ &upstream }, kDocument, kManyEntries);
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(environment.Fetch("/safe/x")->status_ == 200);
  }
  auto limited = environment.Call<std::size_t>([](Forwarder& aForwarder) {
    return aForwarder.CountRateLimitedReplicas()["s"];
  });
  BOOST_TEST(limited == 0U);
}
