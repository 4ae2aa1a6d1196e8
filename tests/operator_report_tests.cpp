// Faults that operators of similar systems reported, played against an entry.
#define BOOST_TEST_MODULE operator_report
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct RefusalCase
{
  const char* name_;
  /// What arrives on a kept connection before the answer to the request.
  std::string copy_;
};

std::ostream&
operator<<(std::ostream& aOut, const RefusalCase& aCase)
{
  return aOut << aCase.name_;
}

std::string
Refusal(const std::string& aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
         "Content-Length: 0\r\n\r\n";
}

const std::string kOtherId = "Tanagerstall-Request-Id: other\r\n";
const std::string kNotExecuted = "Tanagerstall-Not-Executed: 1\r\n";

const std::vector<RefusalCase> kRefusals{
  { "503, another id",
    Refusal("503 Service Unavailable", kOtherId + kNotExecuted) },
  { "503, no id", Refusal("503 Service Unavailable", kNotExecuted) },
  { "429, another id",
    Refusal("429 Too Many Requests", kOtherId + kNotExecuted) },
  { "421, another id", Refusal("421 Misdirected Request", kOtherId) },
  { "421, no id", Refusal("421 Misdirected Request", "") },
};

/// Sends two requests one after the other. Returns the status of the first that
/// fails, or 200.
std::string
FetchTwice(Environment& aEnvironment, const std::string& aPath)
{
  for (int i = 0; i < 2; ++i) {
    auto answer = aEnvironment.Fetch(aPath);
    if (!answer || answer->status_ != 200) {
      return answer ? std::to_string(answer->status_) : "broken";
    }
  }
  return "200";
}

} // namespace

// Guards against a copy of an earlier refusal on a kept connection that makes a
// request count as not run, though the replica runs it.
BOOST_DATA_TEST_CASE(An_earlier_refusal_says_nothing_of_the_next_request,
                     data::make(kRefusals) *
                       data::make({ "/once/x", "/stream/x" }),
                     refusal,
                     path)
{
  bool isStream = std::string(path) == "/stream/x";
  std::string whole =
    isStream ? kStreamHead + Chunk(kEvent1) + "0\r\n\r\n" : kWhole;
  ScriptedUpstream faulty(
    { whole, After::Keep, "", 0ms, refusal.copy_ + whole });
  Environment environment({ &faulty });
  BOOST_TEST(FetchTwice(environment, path) == "200");
  BOOST_TEST(faulty.Requests() == 2);
}

// The same where the answer to the request never comes: the request may have
// run, so that its caller must not be told to send it again.
BOOST_DATA_TEST_CASE(A_request_behind_an_earlier_refusal_may_have_run,
                     data::make(kRefusals),
                     refusal)
{
  ScriptedUpstream faulty({ kWhole, After::Keep, "", 0ms, refusal.copy_ });
  Environment environment({ &faulty });
  BOOST_TEST(environment.Fetch("/once/x")->status_ == 200);
  auto second = environment.Fetch("/once/x");
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->status_ >= 502);
  BOOST_TEST(second->status_ <= 504);
  BOOST_TEST(second->status_ != 503);
  BOOST_TEST(faulty.Requests() == 2);
}

namespace {

/// Environments that are set up until the stream begins at the replica that
/// breaks off.
constexpr int kMostTries = 40;

struct NextAnswerCase
{
  const char* name_;
  /// The answer of the replica that is to resume the stream.
  std::string answer_;
};

std::ostream&
operator<<(std::ostream& aOut, const NextAnswerCase& aCase)
{
  return aOut << aCase.name_;
}

/// Text that looks like a head and an event, for the body of an error.
const std::string kErrorText = "HTTP/1.1 500 Oops\r\n\r\ndata: no\n\n";

std::string
WithBody(const std::string& aHead)
{
  return aHead + "Content-Length: " + std::to_string(kErrorText.size()) +
         "\r\n\r\n" + kErrorText;
}

const std::vector<NextAnswerCase> kNextAnswers{
  { "500", WithBody(Head("500 Internal Server Error")) },
  { "500 in chunks",
    Head("500 Internal Server Error") + "Transfer-Encoding: chunked\r\n\r\n" +
      Chunk(kErrorText) + "0\r\n\r\n" },
  { "500 until the end of the connection",
    Head("500 Internal Server Error") + "\r\n" + kErrorText },
  { "404", WithBody(Head("404 Not Found")) },
  { "503, may have run", WithBody(Head("503 Service Unavailable")) },
  { "503, not run", WithBody(Head("503 Service Unavailable", kNotExecuted)) },
  { "421", WithBody(Head("421 Misdirected Request", "")) },
  { "redirect", WithBody(Head("302 Found")) },
  { "success without a seal", WithBody(Head("200 OK", "")) },
  { "success that is no stream",
    WithBody(Head("200 OK",
                  kSeal + std::string("Content-Type: "
                                      "application/json\r\n"))) },
  { "not an HTTP response", kErrorText },
};

} // namespace

// Guards against the text of an error, or its head, in the middle of a stream
// that broke off, and against a stream that ends there as if it were complete.
BOOST_DATA_TEST_CASE(An_error_of_the_next_replica_is_no_part_of_the_stream,
                     data::make(kNextAnswers),
                     sample)
{
  ScriptedUpstream cut({ kStreamHead + Chunk(kEvent1), After::Reset });
  ScriptedUpstream next({ sample.answer_, After::Close });
  // The chooser decides which of the two receives the request first.
  for (int i = 0; i < kMostTries && cut.Requests() == 0; ++i) {
    Environment environment({ &cut, &next });
    auto answer = environment.Fetch("/resume/x");
    if (cut.Requests() > 0) {
      BOOST_TEST(!answer.has_value());
    }
  }
  BOOST_TEST(cut.Requests() == 1);
}

namespace {

struct HeadCase
{
  const char* name_;
  /// A whole head, with the empty line at its end.
  std::string head_;
};

std::ostream&
operator<<(std::ostream& aOut, const HeadCase& aCase)
{
  return aOut << aCase.name_;
}

const std::string kLengthHead = Head("200 OK") + "Content-Length: 5\r\n\r\n";

const std::vector<HeadCase> kHeads{
  { "with a length", kLengthHead },
  { "in chunks", kStreamHead },
  { "until the end of the connection", Head("200 OK") + "\r\n" },
  { "after an interim one", "HTTP/1.1 100 Continue\r\n\r\n" + kLengthHead },
};

/// Checks that the caller isn't told of a success, nor that it has not run.
void
CheckUnknown(const tl::expected<HttpResponse, TransportError>& aAnswer,
             std::size_t aCut)
{
  BOOST_TEST_CONTEXT("cut after " << aCut << " bytes")
  {
    BOOST_REQUIRE(aAnswer.has_value());
    BOOST_TEST((aAnswer->status_ == 502 || aAnswer->status_ == 504),
               aAnswer->status_);
    BOOST_TEST(aAnswer->body_.find("unknown") != std::string::npos);
  }
}

} // namespace

// Guards against a success with an empty or short body from a replica that
// stopped in the middle of its answer's head and closed.
BOOST_DATA_TEST_CASE(An_answer_that_ends_within_its_head_is_no_success,
                     data::make(kHeads) *
                       data::make({ "/safe/x", "/once/x", "/stream/x" }),
                     sample,
                     path)
{
  for (std::size_t cut = 0; cut < sample.head_.size(); ++cut) {
    ScriptedUpstream upstream({ sample.head_.substr(0, cut), After::Close });
    Environment environment({ &upstream });
    CheckUnknown(environment.Fetch(path), cut);
    BOOST_TEST(upstream.Requests() == 1);
  }
}

// The same where the connection is reset.
BOOST_AUTO_TEST_CASE(An_answer_that_is_reset_within_its_head_is_no_success)
{
  for (std::size_t cut = 0; cut < kLengthHead.size(); ++cut) {
    ScriptedUpstream upstream({ kLengthHead.substr(0, cut), After::Reset });
    Environment environment({ &upstream });
    CheckUnknown(environment.Fetch("/once/x"), cut);
  }
}

// The same on a kept connection, whose last answer was whole.
BOOST_DATA_TEST_CASE(A_second_answer_that_ends_within_its_head_is_no_success,
                     data::make({ "/safe/x", "/once/x" }),
                     path)
{
  for (std::size_t cut = 1; cut < kLengthHead.size(); ++cut) {
    ScriptedUpstream upstream(
      { kWhole, After::Keep, "", 0ms, kLengthHead.substr(0, cut), true });
    Environment environment({ &upstream });
    BOOST_TEST(environment.Fetch(path)->status_ == 200);
    CheckUnknown(environment.Fetch(path), cut);
    BOOST_TEST(upstream.Requests() == 2);
  }
}
