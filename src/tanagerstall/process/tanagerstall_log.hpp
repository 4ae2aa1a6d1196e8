#ifndef TANAGERSTALL_LOG_HPP_INCLUDED
#define TANAGERSTALL_LOG_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerstall {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error
};

/// The maximum length of a text field in bytes. Some texts come from callers
/// and upstreams, which must not determine the size of a line.
constexpr std::size_t kMaxLogText = 256;

/// A named value of a log line. Texts are truncated to `kMaxLogText`.
struct LogField
{
  template<std::integral Number>
  LogField(std::string_view aName, Number aValue)
    : name_(aName)
    , value_(aValue)
  {
  }
  /// An absent number is written as null.
  template<std::integral Number>
  LogField(std::string_view aName, const std::optional<Number>& aValue)
    : name_(aName)
    , value_(aValue ? boost::json::value(*aValue) : boost::json::value())
  {
  }
  LogField(std::string_view aName, double aValue)
    : name_(aName)
    , value_(aValue)
  {
  }
  LogField(std::string_view aName, std::string_view aValue)
    : name_(aName)
    , value_(boost::json::string(aValue.substr(0, kMaxLogText)))
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : LogField(aName, std::string_view(aValue))
  {
  }

  std::string_view name_;
  boost::json::value value_;
};

/// Starts a thread that writes this process's log as JSON lines to standard
/// error or to `aStream`. A reader that stops never blocks a caller: lines are
/// dropped while the queue is full.
void
StartLog(std::string aProgram,
         Severity aLowest,
         std::ostream& aStream = std::cerr);

/// Logs one line with time, severity, program, event and the fields. Lines of
/// one event beyond a maximum per second are dropped; the next line of the
/// event carries their number as "left_out".
void
LogEvent(Severity aSeverity,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/// Returns the number of lines dropped since the start, by the bound per event
/// or by a full queue.
std::uint64_t
DroppedLogLines();

/// Flushes the log, for a bounded time, and ends the process without running
/// destructors.
[[noreturn]] void
EndProcess(int aStatus);

/// Parses "debug", "info", "warning" or "error". Returns Info for any other
/// text.
Severity
ParseSeverity(std::string_view aText);

} // namespace tanagerstall

#endif
