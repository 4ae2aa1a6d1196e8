// What an entry takes for a whole answer: how the head of a response and the
// end of its body are read.
#define BOOST_TEST_MODULE answer_framing
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// The largest body that callers may send by default. It doesn't fit into the
/// buffers of a socket whose peer reads nothing.
constexpr std::size_t kUploadBytes = 4UL << 20U;

const std::string kUnframed = Head("200 OK") + "\r\n";

/// The upstreams read the head of a long upload only.
const std::vector<FaultCase> kDuringUpload{
  { "unframed and reset",
    "/safe/x",
    { kUnframed + "hello", After::Reset },
    502,
    2 },
  { "unframed and reset",
    "/once/x",
    { kUnframed + "hello", After::Reset },
    502,
    1 },
  { "unframed and reset before an event",
    "/stream/x",
    { kUnframed, After::Reset },
    502,
    1 },
  { "unframed and reset after an event",
    "/stream/x",
    { kUnframed + kEvent1, After::Reset },
    kBroken,
    1 },
  { "unframed and reset after an event",
    "/resume/x",
    { kUnframed + kEvent1, After::Reset },
    kBroken,
    2 },
  { "unframed failure and reset",
    "/once/x",
    { Head("500 Internal Server Error") + "\r\nhello", After::Reset },
    502,
    1 },
  { "half and reset", "/once/x", { kHalf, After::Reset }, 502, 1 },
  { "whole and reset", "/once/x", { kWhole, After::Reset }, 200, 1 },
  { "refused and reset", "/once/x", { kNotRun, After::Reset }, 503, 2 },
};

} // namespace

// Guards against a reset that the send of the request gets, so that the part of
// an answer that was read before it counts as the whole.
BOOST_DATA_TEST_CASE(A_reset_during_an_upload_ends_no_answer,
                     data::make(kDuringUpload))
{
  CheckFault(sample, std::string(kUploadBytes, 'x'));
}

namespace {

FaultCase
WithStatus(const char* aStatus)
{
  return { aStatus,
           "/safe/x",
           { Head(aStatus) + "Content-Length: 2\r\n\r\nno", After::Keep },
           502,
           2 };
}

FaultCase
WithField(const char* aName, const std::string& aField)
{
  return { aName,
           "/safe/x",
           { WithHeader(kWhole, aField + "\r\n"), After::Keep },
           502,
           2 };
}

FaultCase
WithCoding(const char* aCoding)
{
  return { aCoding,
           "/safe/x",
           { Head("200 OK") + "Transfer-Encoding: " + aCoding +
               "\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
             After::Close },
           502,
           2 };
}

/// The upstreams keep the connection open where the entry has to notice by
/// itself.
const std::vector<FaultCase> kInvalidHeads{
  WithStatus("000 Trouble"),
  WithStatus("099 Trouble"),
  WithStatus("600 Trouble"),
  WithStatus("999 Trouble"),
  WithStatus("101 Switching Protocols"),
  WithStatus("-20 Trouble"),
  WithField("a blank in a name", "Bad Name: x"),
  WithField("a control byte in a name", "Bad\x01Name: x"),
  WithField("a blank before the colon", "Name : x"),
  WithField("no name", ": x"),
  WithField("no colon", "Name"),
  WithField("a control byte in a value", std::string("Name: a\0b", 9)),
  WithField("two lengths", "Content-Length: 4"),
  WithCoding("gzip"),
  WithCoding("gzip, chunked"),
  WithCoding("chunked, chunked"),
  WithCoding("chunked\r\nTransfer-Encoding: gzip"),
};

} // namespace

// Guards against a head that is no answer but is relayed as one, or is waited
// on until the deadline.
BOOST_DATA_TEST_CASE(An_invalid_head_is_refused_at_once,
                     data::make(kInvalidHeads))
{
  CheckFault(sample);
}

namespace {

struct InterimCase
{
  const char* name_;
  int count_;
  bool isAnswered_;
};

std::ostream&
operator<<(std::ostream& aOut, const InterimCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<InterimCase> kInterim{
  { "none", 0, true },
  { "one", 1, true },
  { "three", 3, true },
  { "four", 4, false },
};

} // namespace

// Guards against an interim response that is taken for the answer.
BOOST_DATA_TEST_CASE(A_client_waits_for_the_final_response,
                     data::make(kInterim))
{
  std::string bytes;
  for (int i = 0; i < sample.count_; ++i) {
    bytes += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  }
  ScriptedUpstream upstream({ bytes + kWhole, After::Close });
  TrafficThreads threads(1);
  std::promise<tl::expected<HttpResponse, TransportError>> promise;
  threads.Spawn([&](Fiber& aFiber) {
    promise.set_value(FetchHttp(
      aFiber, *ParseAddress(upstream.Address()), { "GET", "/", {}, "" }, 3s));
  });
  auto answer = promise.get_future().get();
  threads.Stop();
  BOOST_TEST(answer.has_value() == sample.isAnswered_);
  if (answer) {
    BOOST_TEST(answer->status_ == 200);
    BOOST_TEST(answer->body_ == "hello");
  }
}
