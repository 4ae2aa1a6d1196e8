// An entry's requests while the replicas of their service have too little
// capacity.
#define BOOST_TEST_MODULE admission_forward
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* kEngine =
  R"({"version":1,"services":[{"name":"s","engine":{"slots":16,)"
  R"("kvCapacityTokens":1000}}],"routes":[)"
  R"({"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe",)"
  R"("timeoutMs":1500,"targetLatencyMs":1000,"service":"s","attempts":2},)"
  R"({"name":"plain","host":"h","pathPrefix":"/plain/","kind":"safe",)"
  R"("timeoutMs":1500,"service":"s","attempts":2}]})";

constexpr int kCalls = 40;

struct AdmissionCase
{
  const char* name_;
  const char* path_;
  /// The work that waits at all replicas, of which 1000 is served per second.
  double waiting_;
  /// Requests that all entries run at 16 slots.
  std::uint32_t running_;
  /// The age of these sums.
  Duration age_;
  bool isRefused_;
  bool isOn_ = true;
};

std::ostream&
operator<<(std::ostream& aOut, const AdmissionCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<AdmissionCase> kCases{
  { "overload", "/safe/x", 5000.0, 40, 0ms, true },
  { "short wait", "/safe/x", 300.0, 16, 0ms, false },
  { "free slots", "/safe/x", 5000.0, 7, 0ms, false },
  { "old sums", "/safe/x", 5000.0, 40, 1100ms, false },
  { "route without a target", "/plain/x", 5000.0, 40, 0ms, false },
  { "admission switched off", "/safe/x", 5000.0, 40, 0ms, false, false },
};

void
SetUp(Environment& aEnvironment,
      const ScriptedUpstream& aUpstream,
      const AdmissionCase& aCase)
{
  auto replicas = std::make_shared<ReplicasByService>();
  Replica replica = MakeReplica("r0", "s", aUpstream);
  replica.slots_ = 16;
  (*replicas)["s"] = { replica };
  AdmissionSumsByService sums;
  sums["s"] = { aCase.running_, { { 0, { aCase.waiting_, 1000.0 } } } };
  aEnvironment.Call<bool>([&](Forwarder& aForwarder) {
    aForwarder.SetReplicas(replicas);
    aForwarder.AdoptAdmissionSums(sums, Clock().Now() - aCase.age_);
    return true;
  });
}

} // namespace

// Guards against a refusal that isn't marked as not run, that was sent all the
// same, that names no time to come back or that has no reason.
BOOST_DATA_TEST_CASE(Requests_are_refused_under_overload_only,
                     data::make(kCases))
{
  Script script{ WithHeader(kWhole, "Connection: close\r\n"), After::Close };
  script.isParallel_ = true;
  ScriptedUpstream upstream(script);
  Environment environment({}, kEngine, 1, sample.isOn_);
  int refused = 0;
  for (int i = 0; i < kCalls; ++i) {
    SetUp(environment, upstream, sample);
    // Callers with other sessions have other places in their rank.
    auto answer =
      environment.Fetch(sample.path_, std::to_string(i + 1) + ":100,7:1");
    BOOST_REQUIRE(answer.has_value());
    if (answer->status_ == 200) {
      continue;
    }
    ++refused;
    BOOST_TEST(answer->status_ == 503);
    BOOST_TEST(
      answer->body_.find(R"("code":"overloaded","outcome":"not_run")") !=
      std::string::npos);
    double retryAfter = std::stod(std::string(answer->Header("Retry-After")));
    BOOST_TEST(retryAfter > 0.0);
    BOOST_TEST(retryAfter <= 0.4);
  }
  BOOST_TEST(upstream.Requests() == kCalls - refused);
  if (sample.isRefused_) {
    // A tenth of the callers is never refused.
    BOOST_TEST(refused >= kCalls / 2);
  } else {
    BOOST_TEST(refused == 0);
  }
}
