// A request takes no more memory than its limits and its charge allow, however
// its bytes arrive.
#define BOOST_TEST_MODULE request_parser
#include "tanagerstall/connection/tanagerstall_request_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using Progress = RequestParser::Progress;
namespace data = boost::unit_test::data;

namespace {

const std::string kChunked =
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Input
{
  const char* name_;
  std::string begin_;
  /// Repeated without end.
  std::string part_;
  ClientFault fault_;
};

std::ostream&
operator<<(std::ostream& aOut, const Input& aInput)
{
  return aOut << aInput.name_;
}

const std::vector<Input> kEndless{
  { "head", "GET / HTTP/1.1\r\n", "X: x\r\n", ClientFault::HeadTooLarge },
  { "trailers", kChunked + "0\r\n", "X: x\r\n", ClientFault::HeadTooLarge },
  { "extension", kChunked + "1;", "x", ClientFault::HeadTooLarge },
  { "extensions",
    kChunked,
    "1;" + std::string(900, 'x') + "\r\nx\r\n",
    ClientFault::ChunkOverhead },
  { "body",
    kChunked,
    "3e8\r\n" + std::string(1000, 'x') + "\r\n",
    ClientFault::BodyTooLarge },
  { "one-byte chunks", kChunked, "1\r\nx\r\n", ClientFault::BodyTooLarge },
};

std::shared_ptr<MemoryBudget>
BudgetOf(std::size_t aBytes)
{
  return std::make_shared<MemoryBudget>(MemoryBudget::DivideBytes(aBytes));
}

/// Passes bytes to the parser in the steps that it asks for. Returns the rest.
Progress
Feed(RequestParser& aParser,
     boost::beast::flat_buffer& aBuffer,
     std::string_view aBytes)
{
  Progress progress = aParser.Advance();
  while (progress == Progress::NeedsBytes && !aBytes.empty()) {
    std::size_t count = std::min(aParser.Wanted(), aBytes.size());
    if (count == 0) {
      return Progress::Failed;
    }
    auto space = aBuffer.prepare(count);
    boost::asio::buffer_copy(space, boost::asio::buffer(aBytes));
    aBuffer.commit(count);
    aBytes.remove_prefix(count);
    progress = aParser.Advance();
  }
  return progress;
}

} // namespace

// Guards against a buffer that grows with whatever a client sends.
BOOST_DATA_TEST_CASE(Endless_input_ends_at_a_limit, data::make(kEndless))
{
  constexpr std::size_t kMostHeld = 512UL << 10U;
  auto budget = BudgetOf(8UL << 20U);
  boost::beast::flat_buffer buffer;
  RequestParser parser(
    buffer, { 4096, 100'000, 64UL << 10U }, { budget, "client" });
  Progress progress = Feed(parser, buffer, sample.begin_);
  while (progress == Progress::NeedsBytes) {
    progress = Feed(parser, buffer, sample.part_);
    BOOST_TEST_REQUIRE(budget->UsedBytes() < kMostHeld);
  }
  BOOST_TEST((progress == Progress::Failed));
  BOOST_TEST(ToString(parser.Fault()) == ToString(sample.fault_));
}

// Guards against a body that is read although the budget can't hold it, and
// against a charge that ends before the last holder of the body.
BOOST_AUTO_TEST_CASE(A_declared_body_is_charged_before_it_is_read)
{
  constexpr std::size_t kBody = 1UL << 20U;
  auto budget = BudgetOf(2 * kBody);
  MessageLimits limits{ 4096, kBody, 1024 };
  std::string head = "POST / HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n";
  boost::beast::flat_buffer buffer;
  boost::beast::flat_buffer otherBuffer;
  RequestParser first(buffer, limits, { budget, "a" });
  RequestParser second(otherBuffer, limits, { budget, "b" });
  BOOST_TEST(
    (Feed(first, buffer, head + std::string(kBody, 'x')) == Progress::Done));
  auto request = std::make_unique<HttpRequest>(first.TakeRequest());
  HttpRequest copy = *request;
  BOOST_TEST(copy.body_.Text().data() == request->body_.Text().data());
  request.reset();
  BOOST_TEST((Feed(second, otherBuffer, head) == Progress::NeedsMemory));
  BOOST_TEST((second.Fault() == ClientFault::OutOfMemory));
  copy = {};
  BOOST_TEST((second.Advance() == Progress::NeedsBytes));
}
