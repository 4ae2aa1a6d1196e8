// Replicas whose answers never end: what they may hold of an entry's memory,
// and what becomes of the answers of the others.
#define BOOST_TEST_MODULE endless_answer
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <fstream>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Half of what the smallest entry of the users' deployments has.
constexpr std::size_t kMaxGrowthKb = 130UL * 1024;

/// The most resident memory that the process has had.
std::size_t
PeakMemoryKb()
{
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

/// The peak before the first test. It never falls, so that what each test adds
/// counts against one bound.
const std::size_t kInitialPeakKb = PeakMemoryKb();

struct EndlessCase
{
  const char* name_;
  Script script_;
};

std::ostream&
operator<<(std::ostream& aOut, const EndlessCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<EndlessCase> kEndless{
  { "a header field", { "HTTP/1.1 200 OK\r\nX: ", After::Endless, "x" } },
  { "header fields", { "HTTP/1.1 200 OK\r\n", After::Endless, "X: x\r\n" } },
  { "a body", { Head("200 OK") + "\r\n", After::Endless, "x" } },
  { "chunks", { kStreamHead, After::Endless, Chunk("xxxxxxxx") } },
  { "a chunk extension", { kStreamHead + "5;a=", After::Endless, "b" } },
};

using Answers =
  std::vector<std::future<tl::expected<HttpResponse, TransportError>>>;

/// Sends requests at the same time.
Answers
SendTogether(Environment& aEnvironment, int aCount)
{
  Answers answers;
  for (int i = 0; i < aCount; ++i) {
    answers.push_back(std::async(std::launch::async, [&aEnvironment] {
      return aEnvironment.Fetch("/once/x");
    }));
  }
  return answers;
}

int
CountSuccesses(Answers& aAnswers)
{
  int successes = 0;
  for (auto& pending : aAnswers) {
    auto answer = pending.get();
    BOOST_TEST(answer.has_value());
    successes += answer && answer->status_ == 200 ? 1 : 0;
  }
  return successes;
}

std::string
BodyOf(std::size_t aBytes)
{
  return Head("200 OK") + "Content-Length: " + std::to_string(aBytes) +
         "\r\n\r\n";
}

} // namespace

// Guards against a process that keeps all that a faulty replica sends, in a
// head or a body, and runs out of memory.
BOOST_DATA_TEST_CASE(Answers_without_end_take_bounded_memory,
                     data::make(kEndless))
{
  constexpr int kCallers = 64;
  Script script = sample.script_;
  script.isParallel_ = true;
  ScriptedUpstream faulty(script);
  Environment environment({ &faulty });
  auto answers = SendTogether(environment, kCallers);
  BOOST_TEST(CountSuccesses(answers) == 0);
  BOOST_TEST(PeakMemoryKb() - kInitialPeakKb < kMaxGrowthKb);
}

namespace {

/// Routes of two services: "/once/" and "/other/".
constexpr const char* kTwoServices =
  R"({"version":2,"services":[{"name":"s"},{"name":"t"}],"routes":[)"
  R"({"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe",)"
  R"("timeoutMs":1500,"service":"s"},)"
  R"({"name":"other","host":"h","pathPrefix":"/other/","kind":"unsafe",)"
  R"("timeoutMs":1500,"service":"t"}]})";

Script
ParallelScript(std::string aBytes)
{
  Script script{ std::move(aBytes), After::Keep };
  script.isParallel_ = true;
  return script;
}

/// Gives each service one replica.
void
SetReplicas(Environment& aEnvironment,
            const std::map<std::string, const ScriptedUpstream*>& aUpstreams)
{
  auto replicas = std::make_shared<ReplicasByService>();
  for (const auto& [service, upstream] : aUpstreams) {
    (*replicas)[service].push_back(
      MakeReplica("replica-of-" + service, service, *upstream));
  }
  aEnvironment.Call<bool>([&](Forwarder& aForwarder) {
    aForwarder.SetReplicas(replicas);
    return true;
  });
}

} // namespace

// Guards against answers of sound replicas that are refused since those of one
// faulty replica hold all buffers.
BOOST_AUTO_TEST_CASE(Stalled_answers_of_one_replica_leave_room_for_the_others)
{
  constexpr std::size_t kStalledBytes = 15UL << 20U;
  constexpr std::size_t kSoundBytes = 4UL << 20U;
  ScriptedUpstream stalled(ParallelScript(BodyOf(kStalledBytes + 1) +
                                          std::string(kStalledBytes, 'x')));
  ScriptedUpstream sound(
    ParallelScript(BodyOf(kSoundBytes) + std::string(kSoundBytes, 'x')));
  Environment environment({}, kTwoServices);
  SetReplicas(environment, { { "s", &stalled }, { "t", &sound } });
  auto held = SendTogether(environment, 3);
  // The stalled answers take what they may.
  std::this_thread::sleep_for(400ms);
  BOOST_TEST(environment.Fetch("/other/x")->status_ == 200);
  BOOST_TEST(CountSuccesses(held) == 0);
}
