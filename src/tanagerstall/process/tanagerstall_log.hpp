#ifndef TANAGERSTALL_LOG_HPP_INCLUDED
#define TANAGERSTALL_LOG_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <iostream>
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

/// Bytes of a text in a line; callers and upstreams choose some of them.
constexpr std::size_t kMaxLogText = 256;

/// One named value of a line.
struct LogField
{
  template<std::integral Number>
  LogField(std::string_view aName, Number aValue)
    : name_(aName)
    , value_(aValue)
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

/// Sends this process's log as JSON lines to standard error, or to `aStream`,
/// from a thread of its own. A reader that stops never blocks a caller: lines
/// that find no room are left out.
void
StartLog(std::string aProgram,
         Severity aLowest,
         std::ostream& aStream = std::cerr);

/// Writes one line: time, severity, program, event, then the fields. Lines of
/// one event beyond a number in a second are left out; the next one written
/// tells how many in "left_out".
void
LogEvent(Severity aSeverity,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/// Lines that were left out since the start, for whatever reason.
std::uint64_t
DroppedLogLines();

/// Writes what is still to be written, waiting a moment at most, and ends the
/// process.
[[noreturn]] void
EndProcess(int aStatus);

/// Reads "debug", "info", "warning" or "error"; anything else gives Info.
Severity
ParseSeverity(std::string_view aText);

} // namespace tanagerstall

#endif
