// A log that is bounded and never holds up the work that it tells of.
#define BOOST_TEST_MODULE log
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_log_volume.hpp"

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
  LineVerdict verdict_;
};

struct VolumeCase
{
  const char* name_;
  std::vector<Line> lines_;
};

std::ostream&
operator<<(std::ostream& aOut, const VolumeCase& aCase)
{
  return aOut << aCase.name_;
}

const LineVerdict kWritten{ true, 0 };
const LineVerdict kLeftOut{ false, 0 };

const std::vector<VolumeCase> kVolumeCases{
  { "within the bound",
    { { "a", 0ms, kWritten },
      { "a", 1ms, kWritten },
      { "a", 2ms, kWritten } } },
  { "beyond it, told by the next line written",
    { { "a", 0ms, kWritten },
      { "a", 1ms, kWritten },
      { "a", 2ms, kWritten },
      { "a", 3ms, kLeftOut },
      { "a", 999ms, kLeftOut },
      { "a", 1000ms, { true, 2 } },
      { "a", 1001ms, kWritten } } },
  { "a flood of one event leaves room for another",
    { { "a", 0ms, kWritten },
      { "a", 0ms, kWritten },
      { "a", 0ms, kWritten },
      { "a", 0ms, kLeftOut },
      { "b", 0ms, kWritten } } },
};

/// A stream whose reader has stopped: writes wait until it goes on.
class StoppedReader : public std::streambuf
{
public:
  void GoOn()
  {
    std::scoped_lock lock(mutex_);
    isStopped_ = false;
    goesOn_.notify_all();
  }

protected:
  std::streamsize xsputn(const char* /*aText*/, std::streamsize aSize) override
  {
    std::unique_lock lock(mutex_);
    goesOn_.wait(lock, [this] { return !isStopped_; });
    return aSize;
  }
  int_type overflow(int_type aLetter) override { return aLetter; }

private:
  std::mutex mutex_;
  std::condition_variable goesOn_;
  bool isStopped_ = true;
};

} // namespace

BOOST_DATA_TEST_CASE(Lines_of_one_event_are_bounded_in_a_second,
                     data::make(kVolumeCases))
{
  LogVolume volume(kLinesPerSecond);
  std::uint64_t leftOut = 0;
  for (const auto& line : sample.lines_) {
    auto verdict = volume.Take(line.event_, kStart + line.after_);
    BOOST_TEST((verdict == line.verdict_));
    leftOut += verdict.isWritten_ ? 0 : 1;
  }
  BOOST_TEST(volume.LeftOut() == leftOut);
}

BOOST_AUTO_TEST_CASE(A_long_text_is_cut)
{
  std::string text(10 * kMaxLogText, 'x');
  BOOST_TEST(LogField("request", text).value_.as_string().size() ==
             kMaxLogText);
}

BOOST_AUTO_TEST_CASE(A_reader_that_stops_blocks_nobody)
{
  // They outlive the log's thread, which ends with the process.
  static StoppedReader reader;
  static std::ostream stream(&reader);
  StartLog("test", Severity::Info, stream);
  constexpr int kEvents = 100;
  constexpr int kLines = 100;
  for (int line = 0; line < kLines; ++line) {
    for (int event = 0; event < kEvents; ++event) {
      LogEvent(Severity::Info, "event " + std::to_string(event));
    }
  }
  BOOST_TEST(LogLinesLeftOut() > 0U);
  BOOST_TEST(LogLinesLeftOut() < std::uint64_t{ kEvents } * kLines);
  reader.GoOn();
}
