// The soak's judges find each broken promise, and nothing in a run that keeps
// them all.
#define BOOST_TEST_MODULE soak_judge
#include "tanagerstall_platform_names.hpp"
#include "tanagerstall_soak_judge.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace tanagerstall::soak;
namespace data = boost::unit_test::data;

namespace {

/// Judges that note the rules of their findings.
struct Court
{
  void operator()(const Finding& aFinding) { rules_ += aFinding.rule_ + " "; }

  std::string rules_;
  RequestJudge::FindingHook note_ = [this](const Finding& aIt) {
    (*this)(aIt);
  };
  CallerProtocol protocol_ = platform::MakeCallerProtocol();
  RequestJudge requests_{ protocol_, note_ };
  DutyJudge duties_{ note_ };
  ConfigurationJudge configuration_{ note_ };
};

SentRequest
MakeSent(RequestKind aKind)
{
  return { "id-1",   aKind, aKind == RequestKind::Idempotent,
           "plain",  "/x",  "body",
           "office", false };
}

HttpRequest
MakeArrived(const Court& aCourt)
{
  return { "POST",
           "/x",
           { { aCourt.protocol_.requestId_, "id-1" },
             { aCourt.protocol_.organisation_, "office" } },
           "body" };
}

SeenAnswer
MakeAnswer(RequestKind aKind, int aStatus)
{
  return { aStatus, true, SealOf("id-1", aStatus), WholeBody(aKind, "id-1") };
}

struct Story
{
  const char* name_;
  /// The rules that are found broken, in order.
  const char* rules_;
  std::function<void(Court&)> play_;
};

std::ostream&
operator<<(std::ostream& aOut, const Story& aStory)
{
  return aOut << aStory.name_;
}

/// Sends a non-idempotent request and lets it run.
void
RunOnce(Court& aCourt)
{
  aCourt.requests_.Sent(MakeSent(RequestKind::NonIdempotent));
  aCourt.requests_.Began("plain", MakeArrived(aCourt));
}

/// Sends a stream, lets it run, and shows an answer of it.
void
AnswerStream(Court& aCourt, bool aIsWhole, const std::string& aBody)
{
  aCourt.requests_.Sent(MakeSent(RequestKind::Stream));
  aCourt.requests_.Began("plain", MakeArrived(aCourt));
  SeenAnswer answer{ 200, aIsWhole, SealOf("id-1", 200), aBody };
  aCourt.requests_.Answered("id-1", answer);
}

void
RunChanged(Court& aCourt, const std::function<void(HttpRequest&)>& aChange)
{
  aCourt.requests_.Sent(MakeSent(RequestKind::NonIdempotent));
  HttpRequest arrived = MakeArrived(aCourt);
  aChange(arrived);
  aCourt.requests_.Began("plain", arrived);
}

const std::vector<Story> kStories = {
  { "served once",
    "",
    [](Court& aCourt) {
      RunOnce(aCourt);
      aCourt.requests_.Answered("id-1",
                                MakeAnswer(RequestKind::NonIdempotent, 200));
    } },
  { "an idempotent request runs again",
    "",
    [](Court& aCourt) {
      aCourt.requests_.Sent(MakeSent(RequestKind::Idempotent));
      aCourt.requests_.Began("plain", MakeArrived(aCourt));
      aCourt.requests_.Began("plain", MakeArrived(aCourt));
    } },
  { "a non-idempotent request runs again",
    "TWICE ",
    [](Court& aCourt) {
      RunOnce(aCourt);
      aCourt.requests_.Began("plain", MakeArrived(aCourt));
    } },
  { "refused as not run after it ran",
    "REFUSED ",
    [](Court& aCourt) {
      RunOnce(aCourt);
      aCourt.requests_.Answered("id-1", { 503, true, "", "" });
    } },
  { "runs after it was refused as not run",
    "REFUSED ",
    [](Court& aCourt) {
      aCourt.requests_.Sent(MakeSent(RequestKind::NonIdempotent));
      aCourt.requests_.Answered("id-1", { 429, true, "", "" });
      aCourt.requests_.Began("plain", MakeArrived(aCourt));
    } },
  { "cut off with an unknown outcome",
    "",
    [](Court& aCourt) {
      RunOnce(aCourt);
      aCourt.requests_.Answered("id-1", { 502, true, "", "" });
    } },
  { "success without a seal",
    "MIXED ",
    [](Court& aCourt) {
      RunOnce(aCourt);
      auto answer = MakeAnswer(RequestKind::NonIdempotent, 200);
      answer.seal_.clear();
      aCourt.requests_.Answered("id-1", answer);
    } },
  { "the answer to another request",
    "MIXED MIXED ",
    [](Court& aCourt) {
      RunOnce(aCourt);
      aCourt.requests_.Answered(
        "id-1",
        { 200,
          true,
          SealOf("id-2", 200),
          WholeBody(RequestKind::NonIdempotent, "id-2") });
    } },
  { "a failure turned into a success",
    "MIXED ",
    [](Court& aCourt) {
      RunOnce(aCourt);
      auto answer = MakeAnswer(RequestKind::NonIdempotent, 200);
      answer.seal_ = SealOf("id-1", 500);
      aCourt.requests_.Answered("id-1", answer);
    } },
  { "half an answer that looks whole",
    "MIXED ",
    [](Court& aCourt) {
      RunOnce(aCourt);
      auto answer = MakeAnswer(RequestKind::NonIdempotent, 200);
      answer.body_.resize(10);
      aCourt.requests_.Answered("id-1", answer);
    } },
  { "half an answer that ends visibly",
    "",
    [](Court& aCourt) {
      RunOnce(aCourt);
      auto answer = MakeAnswer(RequestKind::NonIdempotent, 200);
      answer.body_.resize(10);
      answer.isWhole_ = false;
      aCourt.requests_.Answered("id-1", answer);
    } },
  { "a success that ran nowhere",
    "MIXED ",
    [](Court& aCourt) {
      aCourt.requests_.Sent(MakeSent(RequestKind::NonIdempotent));
      aCourt.requests_.Answered("id-1",
                                MakeAnswer(RequestKind::NonIdempotent, 200));
    } },
  { "a whole stream",
    "",
    [](Court& aCourt) {
      AnswerStream(aCourt, true, WholeBody(RequestKind::Stream, "id-1"));
    } },
  { "a stream without its last events that looks whole",
    "ORDER ",
    [](Court& aCourt) { AnswerStream(aCourt, true, StreamEvent("id-1", 1)); } },
  { "a stream with an event twice",
    "ORDER ",
    [](Court& aCourt) {
      AnswerStream(
        aCourt, false, StreamEvent("id-1", 1) + StreamEvent("id-1", 1));
    } },
  { "a stream that lacks an event",
    "ORDER ",
    [](Court& aCourt) {
      AnswerStream(
        aCourt, false, StreamEvent("id-1", 1) + StreamEvent("id-1", 3));
    } },
  { "a proper request is denied",
    "DENIED ",
    [](Court& aCourt) {
      aCourt.requests_.Sent(MakeSent(RequestKind::Idempotent));
      aCourt.requests_.Answered("id-1", { 404, true, "", "" });
    } },
  { "a request that no caller sent",
    "UNASKED ",
    [](Court& aCourt) {
      aCourt.requests_.Began("plain", MakeArrived(aCourt));
    } },
  { "another body",
    "UNASKED ",
    [](Court& aCourt) {
      RunChanged(aCourt, [](HttpRequest& aIt) { aIt.body_ = "other"; });
    } },
  { "another target",
    "UNASKED ",
    [](Court& aCourt) {
      RunChanged(aCourt, [](HttpRequest& aIt) { aIt.target_ = "/y"; });
    } },
  { "another organisation",
    "UNASKED ",
    [](Court& aCourt) {
      RunChanged(aCourt,
                 [](HttpRequest& aIt) { aIt.headers_[1].value_ = "other"; });
    } },
  { "the caller's key goes on",
    "UNASKED ",
    [](Court& aCourt) {
      RunChanged(aCourt, [&](HttpRequest& aIt) {
        aIt.headers_.push_back({ aCourt.protocol_.key_, "secret" });
      });
    } },
  { "another service",
    "ROUTE ",
    [](Court& aCourt) {
      aCourt.requests_.Sent(MakeSent(RequestKind::NonIdempotent));
      aCourt.requests_.Began("model", MakeArrived(aCourt));
    } },
  { "duties change hands",
    "",
    [](Court& aCourt) {
      aCourt.duties_.Called("usage", 3, "a", false);
      aCourt.duties_.Called("usage", 4, "b", false);
    } },
  { "an old holder acts again",
    "ONE ",
    [](Court& aCourt) {
      aCourt.duties_.Called("usage", 4, "b", false);
      aCourt.duties_.Called("usage", 3, "a", false);
    } },
  { "an old holder acts again right after it was cut off",
    "",
    [](Court& aCourt) {
      aCourt.duties_.Called("usage", 4, "b", false);
      aCourt.duties_.Called("usage", 3, "a", true);
    } },
  { "two holders under one number",
    "ONE ",
    [](Court& aCourt) {
      aCourt.duties_.Called("usage", 4, "b", false);
      aCourt.duties_.Called("usage", 4, "a", true);
    } },
  { "a window is reported again with other counts",
    "ONE ",
    [](Court& aCourt) {
      aCourt.duties_.Reported(7, "1");
      aCourt.duties_.Reported(7, "1");
      aCourt.duties_.Reported(7, "2");
    } },
  { "a read shows the newest",
    "",
    [](Court& aCourt) {
      aCourt.configuration_.Sent(5, "five");
      aCourt.configuration_.Acknowledged(5);
      aCourt.configuration_.Read("control-1", 5, 5, "five");
    } },
  { "a read is older than what was acknowledged",
    "CONFIG ",
    [](Court& aCourt) {
      aCourt.configuration_.Sent(4, "four");
      aCourt.configuration_.Sent(5, "five");
      aCourt.configuration_.Acknowledged(5);
      aCourt.configuration_.Read("control-1", 5, 4, "four");
    } },
  { "a read shows other content",
    "CONFIG ",
    [](Court& aCourt) {
      aCourt.configuration_.Sent(5, "five");
      aCourt.configuration_.Read("control-1", 0, 5, "other");
    } },
  { "an entry goes back",
    "CONFIG ",
    [](Court& aCourt) {
      aCourt.configuration_.Probed("entry-1", 5, true, false);
      aCourt.configuration_.Probed("entry-1", 5, false, false);
    } },
  { "an entry that doesn't have to know it yet",
    "",
    [](Court& aCourt) {
      aCourt.configuration_.Probed("entry-1", 4, true, false);
      aCourt.configuration_.Probed("entry-1", 5, false, false);
    } },
  { "an entry is late",
    "CONFIG ",
    [](Court& aCourt) {
      aCourt.configuration_.Probed("entry-1", 5, false, true);
    } },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("soak"))
BOOST_DATA_TEST_CASE(A_broken_promise_is_found_and_a_kept_one_is_not,
                     data::make(kStories),
                     story)
{
  Court court;
  story.play_(court);
  BOOST_TEST(court.rules_ == story.rules_);
}
