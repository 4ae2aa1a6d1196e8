// What an entry does with requests when it ends in a planned stop: it takes
// only what can end before, and tells the callers of the others what is known.
#define BOOST_TEST_MODULE planned_stop
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct StopCase
{
  const char* name_;
  const char* path_;
  /// What the replica has sent when the entry ends its requests.
  std::string sent_;
  /// The caller's status, or kBroken.
  int status_;
};

std::ostream&
operator<<(std::ostream& aOut, const StopCase& aCase)
{
  return aOut << aCase.path_ << " " << aCase.name_;
}

const std::vector<StopCase> kStops{
  { "no answer yet", "/safe/x", "", 502 },
  { "no answer yet", "/once/x", "", 502 },
  { "half an answer", "/once/x", kHalf, 502 },
  { "no answer yet", "/stream/x", "", 502 },
  { "no event yet", "/stream/x", kStreamHead, 502 },
  { "an event", "/stream/x", kStreamHead + Chunk(kEvent1), kBroken },
  { "an event", "/resume/x", kStreamHead + Chunk(kEvent1), kBroken },
};

void
Stop(Environment& aEnvironment)
{
  aEnvironment.Call<bool>([](Forwarder& aForwarder) {
    aForwarder.EndRequests();
    return true;
  });
}

} // namespace

// Guards against requests that a planned stop cuts without an answer, and
// against ones that are called not run, or sent again, though they may run.
BOOST_DATA_TEST_CASE(A_request_that_outlasts_the_stop_gets_a_true_answer,
                     data::make(kStops),
                     sample)
{
  ScriptedUpstream upstream({ sample.sent_, After::Keep });
  ScriptedUpstream other({ sample.sent_, After::Keep });
  Environment environment({ &upstream, &other });
  auto answer = std::async(std::launch::async,
                           [&] { return environment.Fetch(sample.path_); });
  while (upstream.Requests() + other.Requests() == 0) {
    std::this_thread::sleep_for(1ms);
  }
  std::this_thread::sleep_for(50ms);
  Stop(environment);
  auto response = answer.get();
  BOOST_TEST((response ? response->status_ : kBroken) == sample.status_);
  if (response) {
    BOOST_TEST(response->body_.find("unknown") != std::string::npos);
  }
  BOOST_TEST(upstream.Requests() + other.Requests() == 1);
}

// Guards against requests that come late in a planned stop and are passed on,
// though the entry ends before their deadline.
BOOST_DATA_TEST_CASE(A_request_that_may_outlast_the_stop_is_refused_at_once,
                     data::make({ "/safe/x", "/once/x", "/stream/x" }),
                     path)
{
  ScriptedUpstream upstream({ kWhole, After::Close });
  Environment environment({ &upstream });
  environment.Call<bool>([](Forwarder& aForwarder) {
    // The caller waits for 1.2 s.
    aForwarder.RefuseBeyond(Clock().Now() + 1s);
    return true;
  });
  auto refused = environment.Fetch(path);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->status_ == 503);
  BOOST_TEST(refused->body_.find("not_run") != std::string::npos);
  BOOST_TEST(refused->Header("Retry-After") == "0.000");
  BOOST_TEST(upstream.Requests() == 0);
}

BOOST_AUTO_TEST_CASE(A_request_that_ends_before_the_stop_is_served)
{
  ScriptedUpstream upstream({ kWhole, After::Close });
  Environment environment({ &upstream });
  environment.Call<bool>([](Forwarder& aForwarder) {
    aForwarder.RefuseBeyond(Clock().Now() + 30s);
    return true;
  });
  BOOST_TEST(environment.Fetch("/once/x")->status_ == 200);
}

BOOST_AUTO_TEST_CASE(A_request_after_the_last_ones_were_ended_is_refused)
{
  ScriptedUpstream upstream({ kWhole, After::Close });
  Environment environment({ &upstream });
  Stop(environment);
  auto refused = environment.Fetch("/safe/x");
  BOOST_TEST(refused->status_ == 503);
  BOOST_TEST(refused->body_.find("not_run") != std::string::npos);
  BOOST_TEST(upstream.Requests() == 0);
}
