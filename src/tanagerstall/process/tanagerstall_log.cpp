#include "tanagerstall/process/tanagerstall_log.hpp"

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_log_rate_limiter.hpp"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <csignal>
#include <cstdlib>
#include <future>
#include <thread>

namespace tanagerstall {

namespace {

namespace sinks = boost::log::sinks;

/// The capacity of the queue to the writer thread.
constexpr std::size_t kMaxQueuedLines = 4096;
/// Bound for one event. It is many times the number of requests that a busy
/// entry answers in a second.
constexpr std::uint32_t kMaxLinesPerSecond = 400;
/// How long EndProcess() waits for the queue to be written, since the reader of
/// the stream may have stopped.
constexpr Duration kFlushTimeout = std::chrono::milliseconds(300);

std::atomic<std::uint64_t> gOverflowedLines{ 0 };

/// Drops lines while the queue is full, and counts them.
struct CountOverflow : sinks::drop_on_overflow
{
  template<class Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&)
  {
    ++gOverflowedLines;
    return false;
  }
};

using Sink = sinks::asynchronous_sink<
  sinks::text_ostream_backend,
  sinks::bounded_fifo_queue<kMaxQueuedLines, CountOverflow>>;

boost::shared_ptr<Sink>&
TheSink()
{
  static boost::shared_ptr<Sink> sink;
  return sink;
}

LogRateLimiter&
TheRateLimiter()
{
  static LogRateLimiter limiter(kMaxLinesPerSecond);
  return limiter;
}

using Logger = boost::log::sources::severity_logger_mt<Severity>;

std::string&
ProgramName()
{
  static std::string name;
  return name;
}

Logger&
TheLogger()
{
  static Logger logger;
  return logger;
}

/// Blocks all signals in threads that are started during its lifetime, so that
/// signals are delivered to the thread that waits for them.
class SignalsBlocked
{
public:
  SignalsBlocked()
  {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~SignalsBlocked() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  SignalsBlocked(const SignalsBlocked&) = delete;
  SignalsBlocked& operator=(const SignalsBlocked&) = delete;

private:
  sigset_t before_{};
};

const char*
Name(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Debug:
      return "debug";
    case Severity::Info:
      return "info";
    case Severity::Warning:
      return "warning";
    case Severity::Error:
      return "error";
  }
  return "info";
}

} // namespace

void
StartLog(std::string aProgram, Severity aLowest, std::ostream& aStream)
{
  namespace expr = boost::log::expressions;
  ProgramName() = std::move(aProgram);
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&aStream, boost::null_deleter()));
  backend->auto_flush(true);
  {
    SignalsBlocked blocked;
    TheSink() = boost::make_shared<Sink>(backend);
  }
  TheSink()->set_formatter(expr::stream << expr::smessage);
  boost::log::core::get()->add_sink(TheSink());
  boost::log::core::get()->set_filter(expr::attr<Severity>("Severity") >=
                                      aLowest);
}

void
LogEvent(Severity aSeverity,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  static Clock clock;
  LineDecision decision = TheRateLimiter().Admit(aEvent, clock.Now());
  if (!decision.isWritten_) {
    return;
  }
  boost::json::object line;
  line["time_ms"] = ReadWallTime().time_since_epoch().count();
  line["severity"] = Name(aSeverity);
  line["program"] = ProgramName();
  line["event"] = aEvent;
  for (const auto& field : aFields) {
    line[field.name_] = field.value_;
  }
  if (decision.droppedLines_ > 0) {
    line["left_out"] = decision.droppedLines_;
  }
  BOOST_LOG_SEV(TheLogger(), aSeverity) << boost::json::serialize(line);
}

std::uint64_t
DroppedLogLines()
{
  return TheRateLimiter().DroppedLines() + gOverflowedLines.load();
}

void
EndProcess(int aStatus)
{
  if (TheSink()) {
    auto written = std::make_shared<std::promise<void>>();
    auto isWritten = written->get_future();
    std::thread([sink = TheSink(), written] {
      sink->flush();
      written->set_value();
    }).detach();
    isWritten.wait_for(kFlushTimeout);
  }
  std::_Exit(aStatus);
}

Severity
ParseSeverity(std::string_view aText)
{
  if (aText == "debug") {
    return Severity::Debug;
  }
  if (aText == "warning") {
    return Severity::Warning;
  }
  if (aText == "error") {
    return Severity::Error;
  }
  return Severity::Info;
}

} // namespace tanagerstall
