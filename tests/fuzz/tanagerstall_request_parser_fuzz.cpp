// Fuzz target for heads, chunks and trailers of requests: whatever arrives, in
// whatever steps, the parser ends, and holds no more than it may. The first
// byte is the size of the steps.
#include "tanagerstall/connection/tanagerstall_request_parser.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstdlib>

using namespace tanagerstall;

namespace {

constexpr std::size_t kBudgetBytes = 8UL << 20U;
constexpr std::uint32_t kMaxHeadBytes = 512;
constexpr std::uint64_t kMaxBodyBytes = 1024;
constexpr std::uint64_t kMaxOverheadBytes = 256;

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  std::size_t step = std::max<std::size_t>(aData[0], 1);
  std::size_t position = 1;
  auto budget =
    std::make_shared<MemoryBudget>(MemoryBudget::DivideBytes(kBudgetBytes));
  {
    boost::beast::flat_buffer buffer;
    RequestParser parser(buffer,
                         { kMaxHeadBytes, kMaxBodyBytes, kMaxOverheadBytes },
                         { budget, "client" });
    auto progress = parser.Advance();
    while (progress == RequestParser::Progress::NeedsBytes &&
           position < aSize) {
      std::size_t count = std::min({ step, parser.Wanted(), aSize - position });
      if (count == 0) {
        break;
      }
      boost::asio::buffer_copy(
        buffer.prepare(count),
        boost::asio::const_buffer(aData + position, count));
      buffer.commit(count);
      position += count;
      progress = parser.Advance();
    }
    Require(progress != RequestParser::Progress::NeedsMemory);
    if (progress == RequestParser::Progress::Done) {
      HttpRequest request = parser.TakeRequest();
      Require(request.body_.size() <= kMaxBodyBytes);
    }
  }
  Require(budget->UsedBytes() == 0);
  return 0;
}
