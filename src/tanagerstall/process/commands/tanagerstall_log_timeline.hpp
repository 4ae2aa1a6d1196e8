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
  /// Where it was read, as a rule the process's name.
  std::string source_;
  std::chrono::milliseconds time_{ 0 };
  std::string event_;
  boost::json::object fields_;
};

/// What the logs tell of one request, replica or process.
struct LogTimeline
{
  /// The lines that name it, in order.
  std::vector<LogLine> matches_;
  /// What the processes concerned believed or lost shortly before.
  std::vector<LogLine> context_;
  /// In words, why the request ended as it did; empty where no line says so.
  std::string cause_;
};

/// Adds the lines of a log that may matter for `aId`; what is no line of ours
/// is passed over.
void
ReadLog(std::istream& aLog,
        const std::string& aSource,
        const std::string& aId,
        std::vector<LogLine>& aLines);

LogTimeline
BuildTimeline(std::vector<LogLine> aLines, const std::string& aId);

/// explain ID [FILE...]: the story from the files, or from standard input.
/// ExitRefused where no line names the id.
std::vector<OperatorCommand>
LogCommands();

} // namespace tanagerstall

#endif
