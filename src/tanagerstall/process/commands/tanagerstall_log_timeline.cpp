#include "tanagerstall/process/commands/tanagerstall_log_timeline.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace tanagerstall {

namespace json = boost::json;

namespace {

/// How long before the first matching line related events are included.
constexpr std::chrono::milliseconds kContextPeriod{ 5000 };

/// Events that change a process's configuration, connections or life cycle.
/// They concern only requests that the same process handled.
const std::set<std::string, std::less<>> kProcessEvents{
  "declaration in force", "control lost", "control regained",
  "settings read",        "stopping",     "started"
};
/// Events of the control cluster, which concern every process.
const std::set<std::string, std::less<>> kClusterEvents{
  "leads",
  "no longer leads",
  "members change",
  "control thread delayed"
};
const std::set<std::string, std::less<>> kReplicaEvents{
  "replica announced",
  "replica left",
  "replica expired",
  "announcement out of date",
  "departure not recorded",
  "replica leaves",
  "replica backs off",
  "replica limits its rate",
  "replica no longer limits its rate"
};

std::string
TextOf(const json::object& aFields, std::string_view aName)
{
  const auto* value = aFields.if_contains(aName);
  if (value == nullptr) {
    return "";
  }
  return value->is_string() ? std::string(value->as_string())
                            : json::serialize(*value);
}

/// Returns whether any field of the line is a string that equals `aId`.
bool
HasFieldValue(const LogLine& aLine, const std::string& aId)
{
  return std::any_of(
    aLine.fields_.begin(), aLine.fields_.end(), [&](const auto& aIt) {
      return aIt.value().is_string() && aIt.value().as_string() == aId;
    });
}

/// Returns whether the timeline of `aId` may need the line. Whether it does is
/// only known once all logs are read.
bool
IsCandidate(const LogLine& aLine, const std::string& aId)
{
  return kProcessEvents.contains(aLine.event_) ||
         kClusterEvents.contains(aLine.event_) ||
         kReplicaEvents.contains(aLine.event_) || HasFieldValue(aLine, aId);
}

using Describe = std::string (*)(const json::object&);

/// A log event that ends a request, and how to describe it.
struct FinalEvent
{
  const char* event_;
  Describe describe_;
};

/// Returns why an attempt failed: the request's deadline or the error's detail.
std::string
FailureReason(const json::object& aFields)
{
  return TextOf(aFields, "late") == "true" ? "its time ran out"
                                           : TextOf(aFields, "detail");
}

const std::vector<FinalEvent> kFinalEvents{
  { "answered",
    [](const json::object& aIt) {
      return "answered with status " + TextOf(aIt, "status") + " by replica " +
             TextOf(aIt, "replica") + " after " + TextOf(aIt, "whole_ms") +
             " ms";
    } },
  { "request refused",
    [](const json::object& aIt) {
      return "refused with status " + TextOf(aIt, "status") +
             ", not run: " + TextOf(aIt, "reason");
    } },
  { "outcome unknown",
    [](const json::object& aIt) {
      return "it may have run at replica " + TextOf(aIt, "replica") +
             ", but no answer came: " + FailureReason(aIt);
    } },
  { "stream broken off",
    [](const json::object& aIt) {
      return "its stream was broken off after event \"" +
             TextOf(aIt, "last_event") + "\" of replica " +
             TextOf(aIt, "replica") + ": " + FailureReason(aIt);
    } },
  { "failure passed on",
    [](const json::object& aIt) {
      return "replica " + TextOf(aIt, "replica") +
             " answered with a failure, and no other replica answered better";
    } },
  { "caller left",
    [](const json::object& aIt) {
      return "the caller left after " + TextOf(aIt, "waited_ms") + " ms of " +
             TextOf(aIt, "allowed_ms");
    } },
};

/// Describes the last event that ended request `aId`.
std::string
DescribeCause(const std::vector<LogLine>& aMatches, const std::string& aId)
{
  std::string cause;
  for (const auto& line : aMatches) {
    for (const auto& finalEvent : kFinalEvents) {
      if (line.event_ == finalEvent.event_ &&
          TextOf(line.fields_, "request") == aId) {
        cause = finalEvent.describe_(line.fields_);
      }
    }
  }
  return cause;
}

void
SortByTime(std::vector<LogLine>& aLines)
{
  std::stable_sort(
    aLines.begin(), aLines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.time_ < aRight.time_;
    });
}

void
Print(const std::vector<LogLine>& aLines, std::chrono::milliseconds aStart)
{
  for (const auto& line : aLines) {
    std::cout << "  " << (line.time_ - aStart).count() << " ms  "
              << line.source_ << "  " << line.event_ << " ";
    for (const auto& field : line.fields_) {
      std::cout << " " << field.key() << "=" << json::serialize(field.value());
    }
    std::cout << "\n";
  }
}

int
Explain(const CommandContext& aContext)
{
  if (aContext.arguments_.empty()) {
    std::cerr << "error: explain needs the id of a request, a replica or a "
                 "process\n";
    return ExitUsage;
  }
  const std::string& id = aContext.arguments_.front();
  std::vector<LogLine> lines;
  for (std::size_t i = 1; i < aContext.arguments_.size(); ++i) {
    std::filesystem::path path = aContext.arguments_[i];
    std::ifstream log(path);
    if (!log) {
      std::cerr << "error: can't read " << path.string() << "\n";
      return ExitUsage;
    }
    ReadLog(log, path.stem().string(), id, lines);
  }
  if (aContext.arguments_.size() == 1) {
    ReadLog(std::cin, "standard input", id, lines);
  }
  LogTimeline timeline = BuildTimeline(std::move(lines), id);
  if (timeline.matches_.empty()) {
    std::cerr << "no log line contains " << id
              << ": no process received it, or its lines were dropped by the "
                 "rate limit (see \"left_out\" in the logs)\n";
    return ExitRefused;
  }
  auto start = timeline.matches_.front().time_;
  std::cout << id << ", from " << start.count() << " ms:\n";
  Print(timeline.matches_, start);
  if (!timeline.context_.empty()) {
    std::cout << "shortly before or meanwhile:\n";
    Print(timeline.context_, start);
  }
  if (!timeline.cause_.empty()) {
    std::cout << "cause: " << timeline.cause_ << "\n";
  }
  return ExitDone;
}

} // namespace

void
ReadLog(std::istream& aLog,
        const std::string& aSource,
        const std::string& aId,
        std::vector<LogLine>& aLines)
{
  std::string text;
  while (std::getline(aLog, text)) {
    auto begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    json::error_code error;
    auto value = json::parse(std::string_view(text).substr(begin), error);
    if (error || !value.is_object()) {
      continue;
    }
    LogLine line;
    line.source_ = aSource;
    line.fields_ = std::move(value.as_object());
    line.event_ = TextOf(line.fields_, "event");
    if (const auto* time = line.fields_.if_contains("time_ms");
        time != nullptr && time->is_int64()) {
      line.time_ = std::chrono::milliseconds(time->as_int64());
    }
    for (const auto* name : { "time_ms", "severity", "program", "event" }) {
      line.fields_.erase(name);
    }
    if (IsCandidate(line, aId)) {
      aLines.push_back(std::move(line));
    }
  }
}

LogTimeline
BuildTimeline(std::vector<LogLine> aLines, const std::string& aId)
{
  LogTimeline timeline;
  SortByTime(aLines);
  std::set<std::string> sources;
  std::set<std::string> replicas;
  for (const auto& line : aLines) {
    if (HasFieldValue(line, aId)) {
      timeline.matches_.push_back(line);
      sources.insert(line.source_);
      replicas.insert(TextOf(line.fields_, "replica"));
    }
  }
  if (timeline.matches_.empty()) {
    return timeline;
  }
  replicas.erase("");
  auto from = timeline.matches_.front().time_ - kContextPeriod;
  auto until = timeline.matches_.back().time_;
  for (const auto& line : aLines) {
    bool isInPeriod = line.time_ >= from && line.time_ <= until;
    bool isRelated = kClusterEvents.contains(line.event_) ||
                     (kProcessEvents.contains(line.event_) &&
                      sources.contains(line.source_)) ||
                     (kReplicaEvents.contains(line.event_) &&
                      replicas.contains(TextOf(line.fields_, "replica")));
    if (isInPeriod && isRelated && !HasFieldValue(line, aId)) {
      timeline.context_.push_back(line);
    }
  }
  timeline.cause_ = DescribeCause(timeline.matches_, aId);
  return timeline;
}

std::vector<OperatorCommand>
LogCommands()
{
  return { { "explain", "explain ID [FILE...]", nullptr, Explain, "" } };
}

} // namespace tanagerstall
