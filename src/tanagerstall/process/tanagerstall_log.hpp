#ifndef TANAGERSTALL_LOG_HPP_INCLUDED
#define TANAGERSTALL_LOG_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <concepts>
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
    , value_(boost::json::string(aValue))
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : LogField(aName, std::string_view(aValue))
  {
  }

  std::string_view name_;
  boost::json::value value_;
};

/// Sends this process's log as JSON lines to standard error, or to `aStream`.
void
StartLog(std::string aProgram,
         Severity aLowest,
         std::ostream& aStream = std::cerr);

/// Writes one line: time, severity, program, event, then the fields.
void
LogEvent(Severity aSeverity,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/// Reads "debug", "info", "warning" or "error"; anything else gives Info.
Severity
ParseSeverity(std::string_view aText);

} // namespace tanagerstall

#endif
