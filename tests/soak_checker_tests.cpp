// The soak's checkers report each kind of violation, and report nothing for
// correct behaviour.
#define BOOST_TEST_MODULE soak_checker
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_soak_checker.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace tanagerstall::soak;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// All checkers. Collects the rules of their findings, each followed by a
/// space.
struct Checkers
{
  void operator()(const Finding& aFinding) { rules_ += aFinding.rule_ + " "; }

  std::string rules_;
  RequestChecker::FindingHook addFinding_ = [this](const Finding& aIt) {
    (*this)(aIt);
  };
  CallerProtocol protocol_ = platform::MakeCallerProtocol();
  RequestChecker requests_{ protocol_, addFinding_ };
  LeaderTaskChecker leaderTasks_{ addFinding_ };
  ConfigurationChecker configuration_{ addFinding_ };
};

SentRequest
MakeSentRequest(RequestKind aKind)
{
  return { "id-1",   aKind, aKind == RequestKind::Idempotent,
           "plain",  "/x",  "body",
           "office", false };
}

HttpRequest
MakeReceivedRequest(const Checkers& aCheckers)
{
  return { "POST",
           "/x",
           { { aCheckers.protocol_.requestId_, "id-1" },
             { aCheckers.protocol_.organisation_, "office" } },
           "body" };
}

ReceivedResponse
MakeResponse(RequestKind aKind, int aStatus)
{
  return {
    aStatus, true, MakeSeal("id-1", aStatus), ExpectedBody(aKind, "id-1")
  };
}

struct Scenario
{
  const char* name_;
  /// The rules of the expected findings, in order.
  const char* rules_;
  std::function<void(Checkers&)> run_;
};

std::ostream&
operator<<(std::ostream& aOut, const Scenario& aScenario)
{
  return aOut << aScenario.name_;
}

/// Records a non-idempotent request that runs once.
void
RunOnce(Checkers& aCheckers)
{
  aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
  aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
}

/// Records a stream request that runs once and gets this response.
void
RespondWithStream(Checkers& aCheckers, bool aIsWhole, const std::string& aBody)
{
  aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::Stream));
  aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
  ReceivedResponse response{ 200, aIsWhole, MakeSeal("id-1", 200), aBody };
  aCheckers.requests_.OnResponse("id-1", response);
}

/// Returns a call that the cloud receives `aAfter` the start of the run.
LeaderCall
MakeCall(std::uint64_t aFencingToken, const char* aSender, Duration aAfter)
{
  return { "usage", aFencingToken, aSender, TimePoint(1h) + aAfter, false };
}

LeaderCall
MakeLateCall(std::uint64_t aFencingToken, const char* aSender, Duration aAfter)
{
  LeaderCall call = MakeCall(aFencingToken, aSender, aAfter);
  call.canBeLate_ = true;
  return call;
}

/// Records a request that reaches the replica with a modification.
void
RunModified(Checkers& aCheckers,
            const std::function<void(HttpRequest&)>& aModify)
{
  aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
  HttpRequest received = MakeReceivedRequest(aCheckers);
  aModify(received);
  aCheckers.requests_.OnStarted("plain", received);
}

const std::vector<Scenario> kScenarios = {
  { "a non-idempotent request is served once",
    "",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnResponse(
        "id-1", MakeResponse(RequestKind::NonIdempotent, 200));
    } },
  { "an idempotent request runs again",
    "",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::Idempotent));
      aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
      aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
    } },
  { "a non-idempotent request runs again",
    "TWICE ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
    } },
  { "a request is reported as not run after it ran",
    "REFUSED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnResponse("id-1", { 503, true, "", "" });
    } },
  { "a request runs after it was reported as not run",
    "REFUSED ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
      aCheckers.requests_.OnResponse("id-1", { 429, true, "", "" });
      aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
    } },
  { "a request runs and is answered with an unknown outcome",
    "",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnResponse("id-1", { 502, true, "", "" });
    } },
  { "a success without a seal",
    "MIXED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.seal_.clear();
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "the response to another request",
    "MIXED MIXED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnResponse(
        "id-1",
        { 200,
          true,
          MakeSeal("id-2", 200),
          ExpectedBody(RequestKind::NonIdempotent, "id-2") });
    } },
  { "a failure turned into a success",
    "MIXED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.seal_ = MakeSeal("id-1", 500);
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "a truncated response that looks complete",
    "MIXED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.body_.resize(10);
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "a response that is visibly truncated",
    "",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.body_.resize(10);
      response.isWhole_ = false;
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "a success of a request that no replica ran",
    "MIXED ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
      aCheckers.requests_.OnResponse(
        "id-1", MakeResponse(RequestKind::NonIdempotent, 200));
    } },
  { "a complete stream",
    "",
    [](Checkers& aCheckers) {
      RespondWithStream(
        aCheckers, true, ExpectedBody(RequestKind::Stream, "id-1"));
    } },
  { "a stream without its last events that looks complete",
    "ORDER ",
    [](Checkers& aCheckers) {
      RespondWithStream(aCheckers, true, MakeStreamEvent("id-1", 1));
    } },
  { "a stream with an event twice",
    "ORDER ",
    [](Checkers& aCheckers) {
      RespondWithStream(aCheckers,
                        false,
                        MakeStreamEvent("id-1", 1) +
                          MakeStreamEvent("id-1", 1));
    } },
  { "a stream that lacks an event",
    "ORDER ",
    [](Checkers& aCheckers) {
      RespondWithStream(aCheckers,
                        false,
                        MakeStreamEvent("id-1", 1) +
                          MakeStreamEvent("id-1", 3));
    } },
  { "a valid request is rejected",
    "DENIED ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::Idempotent));
      aCheckers.requests_.OnResponse("id-1", { 404, true, "", "" });
    } },
  { "a request that no caller sent",
    "UNASKED ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
    } },
  { "a request reaches the replica with another body",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers, [](HttpRequest& aIt) { aIt.body_ = "other"; });
    } },
  { "a request reaches the replica with another target",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers, [](HttpRequest& aIt) { aIt.target_ = "/y"; });
    } },
  { "a request reaches the replica under another organisation",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers,
                  [](HttpRequest& aIt) { aIt.headers_[1].value_ = "other"; });
    } },
  { "a request reaches the replica with the caller's key",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers, [&](HttpRequest& aIt) {
        aIt.headers_.push_back({ aCheckers.protocol_.key_, "secret" });
      });
    } },
  { "a request runs at another service",
    "ROUTE ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
      aCheckers.requests_.OnStarted("model", MakeReceivedRequest(aCheckers));
    } },
  { "a new leader executes the leader tasks",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 100ms));
    } },
  { "a leader executes the leader tasks repeatedly",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 100ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 200ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 300ms));
    } },
  { "a former leader calls with an outdated token",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 5000ms));
    } },
  { "a former leader calls late with an outdated token",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeLateCall(3, "a", 100ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 200ms));
    } },
  { "a late call carries the newest token",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeLateCall(5, "b", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "a", 5000ms));
    } },
  { "another leader calls between two calls of one within a lease",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 1000ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(5, "a", 2999ms));
    } },
  { "another leader calls between two calls of one, a lease apart",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 1000ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(5, "a", 3000ms));
    } },
  { "a former leader calls between two calls of its successor",
    "ONE ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 500ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 1000ms));
    } },
  { "other leaders call between two calls of one within a lease",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 500ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(5, "c", 1000ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(6, "a", 1500ms));
    } },
  { "a late call between two calls of one leader",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(3, "a", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeLateCall(4, "b", 500ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(5, "a", 1000ms));
    } },
  { "two leaders call with the same token",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "a", 5000ms));
    } },
  { "two leaders call with the same token, one of them late",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 0ms));
      aCheckers.leaderTasks_.OnCall(MakeLateCall(4, "a", 100ms));
    } },
  { "leaders call for different subjects in turn",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 0ms));
      LeaderCall other = MakeCall(3, "a", 100ms);
      other.subject_ = "plain a";
      aCheckers.leaderTasks_.OnCall(other);
      aCheckers.leaderTasks_.OnCall(MakeCall(4, "b", 200ms));
    } },
  { "a window is reported again with other counts",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnReport(7, "1");
      aCheckers.leaderTasks_.OnReport(7, "1");
      aCheckers.leaderTasks_.OnReport(7, "2");
    } },
  { "a read returns the newest configuration",
    "",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnSent(5, "five");
      aCheckers.configuration_.OnAcknowledged(5);
      aCheckers.configuration_.OnRead("control-1", 5, 5, "five");
    } },
  { "a read returns a configuration older than the acknowledged one",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnSent(4, "four");
      aCheckers.configuration_.OnSent(5, "five");
      aCheckers.configuration_.OnAcknowledged(5);
      aCheckers.configuration_.OnRead("control-1", 5, 4, "four");
    } },
  { "a read returns other content than was sent",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnSent(5, "five");
      aCheckers.configuration_.OnRead("control-1", 0, 5, "other");
    } },
  { "an entry returns to an older configuration",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnProbe("entry-1", 5, true, false);
      aCheckers.configuration_.OnProbe("entry-1", 5, false, false);
    } },
  { "an entry lacks a change within the time limit",
    "",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnProbe("entry-1", 4, true, false);
      aCheckers.configuration_.OnProbe("entry-1", 5, false, false);
    } },
  { "an entry lacks a change after the time limit",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnProbe("entry-1", 5, false, true);
    } },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("soak"))
BOOST_DATA_TEST_CASE(Violations_are_reported_and_correct_runs_are_not,
                     data::make(kScenarios),
                     scenario)
{
  Checkers checkers;
  scenario.run_(checkers);
  BOOST_TEST(checkers.rules_ == scenario.rules_);
}
