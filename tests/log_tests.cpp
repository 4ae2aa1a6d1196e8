// Guards against a log that grows without bound or blocks the threads that
// write to it.
#define BOOST_TEST_MODULE log
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_log_rate_limiter.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart{ 1h };
constexpr std::uint32_t kLinesPerSecond = 3;

struct Line
{
  const char* event_;
  Duration after_;
  LineDecision decision_;
};

struct RateCase
{
  const char* name_;
  std::vector<Line> lines_;
};

std::ostream&
operator<<(std::ostream& aOut, const RateCase& aCase)
{
  return aOut << aCase.name_;
}

const LineDecision kWritten{ true, 0 };
const LineDecision kDropped{ false, 0 };

const std::vector<RateCase> kRateCases{
  { "up to the maximum",
    { { "a", 0ms, kWritten },
      { "a", 1ms, kWritten },
      { "a", 2ms, kWritten } } },
  { "the next written line reports the dropped lines",
    { { "a", 0ms, kWritten },
      { "a", 1ms, kWritten },
      { "a", 2ms, kWritten },
      { "a", 3ms, kDropped },
      { "a", 999ms, kDropped },
      { "a", 1000ms, { true, 2 } },
      { "a", 1001ms, kWritten } } },
  { "a flood of one event does not affect another",
    { { "a", 0ms, kWritten },
      { "a", 0ms, kWritten },
      { "a", 0ms, kWritten },
      { "a", 0ms, kDropped },
      { "b", 0ms, kWritten } } },
};

/// A stream whose reader has stopped: writes block until Resume() is called.
class BlockedStream : public std::streambuf
{
public:
  void Resume()
  {
    std::scoped_lock lock(mutex_);
    isStopped_ = false;
    resumed_.notify_all();
  }

protected:
  std::streamsize xsputn(const char* /*aText*/, std::streamsize aSize) override
  {
    std::unique_lock lock(mutex_);
    resumed_.wait(lock, [this] { return !isStopped_; });
    return aSize;
  }
  int_type overflow(int_type aLetter) override { return aLetter; }

private:
  std::mutex mutex_;
  std::condition_variable resumed_;
  bool isStopped_ = true;
};

} // namespace

BOOST_DATA_TEST_CASE(The_lines_of_one_event_are_bounded_per_second,
                     data::make(kRateCases))
{
  LogRateLimiter limiter(kLinesPerSecond);
  std::uint64_t droppedLines = 0;
  for (const auto& line : sample.lines_) {
    auto decision = limiter.Admit(line.event_, kStart + line.after_);
    BOOST_TEST((decision == line.decision_));
    droppedLines += decision.isWritten_ ? 0 : 1;
  }
  BOOST_TEST(limiter.DroppedLines() == droppedLines);
}

BOOST_AUTO_TEST_CASE(A_long_text_is_truncated)
{
  std::string text(10 * kMaxLogText, 'x');
  BOOST_TEST(LogField("request", text).value_.as_string().size() ==
             kMaxLogText);
}

BOOST_AUTO_TEST_CASE(A_blocked_stream_does_not_block_callers)
{
  // Static, since the log's thread uses them until the process ends.
  static BlockedStream reader;
  static std::ostream stream(&reader);
  StartLog("test", Severity::Info, stream);
  constexpr int kEvents = 100;
  constexpr int kLines = 100;
  for (int line = 0; line < kLines; ++line) {
    for (int event = 0; event < kEvents; ++event) {
      LogEvent(Severity::Info, "event " + std::to_string(event));
    }
  }
  BOOST_TEST(DroppedLogLines() > 0U);
  BOOST_TEST(DroppedLogLines() < std::uint64_t{ kEvents } * kLines);
  reader.Resume();
}
