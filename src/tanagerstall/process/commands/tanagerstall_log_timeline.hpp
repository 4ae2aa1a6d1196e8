#ifndef TANAGERSTALL_LOG_TIMELINE_HPP_INCLUDED
#define TANAGERSTALL_LOG_TIMELINE_HPP_INCLUDED

#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace tanagerstall {

/// One line of a process's log.
struct LogLine
{
  /// Name of the log it was read from, usually the process's name.
  std::string source_;
  std::chrono::milliseconds time_{ 0 };
  std::string event_;
  /// The fields besides time, severity, program and event.
  boost::json::object fields_;
};

/// Log lines that concern one request, replica or process, ordered by time.
struct LogTimeline
{
  /// Lines with a field that equals the id.
  std::vector<LogLine> matches_;
  /// Related events from shortly before the first match to the last one:
  /// changes in the state of the processes, replicas and cluster involved.
  std::vector<LogLine> context_;
  /// How the request ended and why; empty if no line records its end.
  std::string cause_;
};

/// Adds the lines of a log that the timeline of `aId` may need. Lines that are
/// not JSON objects are ignored.
void
ReadLog(std::istream& aLog,
        const std::string& aSource,
        const std::string& aId,
        std::vector<LogLine>& aLines);

/// Builds the timeline of `aId` from lines in any order. It is empty if no line
/// has a field that equals the id.
LogTimeline
BuildTimeline(std::vector<LogLine> aLines, const std::string& aId);

/// Returns the command "explain ID [FILE...]", which prints a timeline from the
/// files or from standard input. It exits with ExitRefused if no line has the
/// id.
std::vector<OperatorCommand>
LogCommands();

} // namespace tanagerstall

#endif
