// The soak's judges find each broken promise, and nothing in a run that keeps
// them all.
#define BOOST_TEST_MODULE soak_checker
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_soak_checker.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace tanagerstall::soak;
namespace data = boost::unit_test::data;

namespace {

/// Judges that note the rules of their findings.
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
  /// The rules that are found broken, in order.
  const char* rules_;
  std::function<void(Checkers&)> run_;
};

std::ostream&
operator<<(std::ostream& aOut, const Scenario& aScenario)
{
  return aOut << aScenario.name_;
}

/// Sends a non-idempotent request and lets it run.
void
RunOnce(Checkers& aCheckers)
{
  aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
  aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
}

/// Sends a stream, lets it run, and shows an answer of it.
void
RespondWithStream(Checkers& aCheckers, bool aIsWhole, const std::string& aBody)
{
  aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::Stream));
  aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
  ReceivedResponse response{ 200, aIsWhole, MakeSeal("id-1", 200), aBody };
  aCheckers.requests_.OnResponse("id-1", response);
}

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
  { "served once",
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
  { "refused as not run after it ran",
    "REFUSED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnResponse("id-1", { 503, true, "", "" });
    } },
  { "runs after it was refused as not run",
    "REFUSED ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
      aCheckers.requests_.OnResponse("id-1", { 429, true, "", "" });
      aCheckers.requests_.OnStarted("plain", MakeReceivedRequest(aCheckers));
    } },
  { "cut off with an unknown outcome",
    "",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      aCheckers.requests_.OnResponse("id-1", { 502, true, "", "" });
    } },
  { "success without a seal",
    "MIXED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.seal_.clear();
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "the answer to another request",
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
  { "half an answer that looks whole",
    "MIXED ",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.body_.resize(10);
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "half an answer that ends visibly",
    "",
    [](Checkers& aCheckers) {
      RunOnce(aCheckers);
      auto response = MakeResponse(RequestKind::NonIdempotent, 200);
      response.body_.resize(10);
      response.isWhole_ = false;
      aCheckers.requests_.OnResponse("id-1", response);
    } },
  { "a success that ran nowhere",
    "MIXED ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
      aCheckers.requests_.OnResponse(
        "id-1", MakeResponse(RequestKind::NonIdempotent, 200));
    } },
  { "a whole stream",
    "",
    [](Checkers& aCheckers) {
      RespondWithStream(
        aCheckers, true, ExpectedBody(RequestKind::Stream, "id-1"));
    } },
  { "a stream without its last events that looks whole",
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
  { "a proper request is denied",
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
  { "another body",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers, [](HttpRequest& aIt) { aIt.body_ = "other"; });
    } },
  { "another target",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers, [](HttpRequest& aIt) { aIt.target_ = "/y"; });
    } },
  { "another organisation",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers,
                  [](HttpRequest& aIt) { aIt.headers_[1].value_ = "other"; });
    } },
  { "the caller's key goes on",
    "UNASKED ",
    [](Checkers& aCheckers) {
      RunModified(aCheckers, [&](HttpRequest& aIt) {
        aIt.headers_.push_back({ aCheckers.protocol_.key_, "secret" });
      });
    } },
  { "another service",
    "ROUTE ",
    [](Checkers& aCheckers) {
      aCheckers.requests_.OnSent(MakeSentRequest(RequestKind::NonIdempotent));
      aCheckers.requests_.OnStarted("model", MakeReceivedRequest(aCheckers));
    } },
  { "duties change hands",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall("usage", 3, "a", false);
      aCheckers.leaderTasks_.OnCall("usage", 4, "b", false);
    } },
  { "an old holder acts again",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall("usage", 4, "b", false);
      aCheckers.leaderTasks_.OnCall("usage", 3, "a", false);
    } },
  { "an old holder acts again right after it was cut off",
    "",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall("usage", 4, "b", false);
      aCheckers.leaderTasks_.OnCall("usage", 3, "a", true);
    } },
  { "two holders under one number",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnCall("usage", 4, "b", false);
      aCheckers.leaderTasks_.OnCall("usage", 4, "a", true);
    } },
  { "a window is reported again with other counts",
    "ONE ",
    [](Checkers& aCheckers) {
      aCheckers.leaderTasks_.OnReport(7, "1");
      aCheckers.leaderTasks_.OnReport(7, "1");
      aCheckers.leaderTasks_.OnReport(7, "2");
    } },
  { "a read shows the newest",
    "",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnSent(5, "five");
      aCheckers.configuration_.OnAcknowledged(5);
      aCheckers.configuration_.OnRead("control-1", 5, 5, "five");
    } },
  { "a read is older than what was acknowledged",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnSent(4, "four");
      aCheckers.configuration_.OnSent(5, "five");
      aCheckers.configuration_.OnAcknowledged(5);
      aCheckers.configuration_.OnRead("control-1", 5, 4, "four");
    } },
  { "a read shows other content",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnSent(5, "five");
      aCheckers.configuration_.OnRead("control-1", 0, 5, "other");
    } },
  { "an entry goes back",
    "CONFIG ",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnProbe("entry-1", 5, true, false);
      aCheckers.configuration_.OnProbe("entry-1", 5, false, false);
    } },
  { "an entry that doesn't have to know it yet",
    "",
    [](Checkers& aCheckers) {
      aCheckers.configuration_.OnProbe("entry-1", 4, true, false);
      aCheckers.configuration_.OnProbe("entry-1", 5, false, false);
    } },
  { "an entry is late",
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
