#include "tanagerstall/process/tanagerstall_log.hpp"

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>

namespace tanagerstall {

namespace {

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
  boost::log::add_console_log(aStream,
                              boost::log::keywords::format = expr::stream
                                                             << expr::smessage,
                              boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(expr::attr<Severity>("Severity") >=
                                      aLowest);
}

void
LogEvent(Severity aSeverity,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  boost::json::object line;
  line["time_ms"] = ReadWallTime().time_since_epoch().count();
  line["severity"] = Name(aSeverity);
  line["program"] = ProgramName();
  line["event"] = aEvent;
  for (const auto& field : aFields) {
    line[field.name_] = field.value_;
  }
  BOOST_LOG_SEV(TheLogger(), aSeverity) << boost::json::serialize(line);
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
