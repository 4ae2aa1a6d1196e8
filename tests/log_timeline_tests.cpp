// The logs of an entry and a control process must be enough to tell how a
// request ended and why.
#define BOOST_TEST_MODULE log_timeline
#include "tanagerstall/process/commands/tanagerstall_log_timeline.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

const std::string kId = "7b41";

struct TimelineCase
{
  const char* name_;
  /// Log of an entry.
  const char* entry_;
  /// Log of a control process.
  const char* control_;
  /// Expected number of lines.
  std::size_t matches_;
  std::size_t context_;
  const char* cause_;
};

std::ostream&
operator<<(std::ostream& aOut, const TimelineCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<TimelineCase> kTimelineCases{
  { "a refused request",
    R"({"time_ms":5000,"event":"control lost","address":"10.0.0.1:1"}
{"time_ms":9000,"event":"request refused","request":"7b41","status":429,"reason":"over the organisation's rate"}
{"time_ms":9000,"event":"request refused","request":"other","status":404,"reason":"no route"})",
    R"({"time_ms":8000,"event":"leads","term":4})",
    1,
    2,
    "refused with status 429, not run: over the organisation's rate" },
  { "a request that was not granted in time",
    R"({"time_ms":9000,"event":"request refused","request":"7b41","status":429,"reason":"no grant of the organisation's rate in time"})",
    R"({"time_ms":8000,"event":"control thread delayed","delay_ms":140,"reports":500})",
    1,
    1,
    "refused with status 429, not run: no grant of the organisation's rate in "
    "time" },
  { "an attempt at a replica that limits its rate",
    R"({"time_ms":8000,"event":"replica limits its rate","replica":"r1","per_s":4.0}
{"time_ms":9000,"event":"attempt failed","request":"7b41","replica":"r1","detail":"connection lost"}
{"time_ms":9001,"event":"outcome unknown","request":"7b41","replica":"r1","late":true,"detail":""})",
    "",
    2,
    1,
    "it may have run at replica r1, but no answer came: its time ran out" },
  { "a stream that broke off",
    R"({"time_ms":9000,"event":"attempt failed","request":"7b41","replica":"r1","detail":"connection lost"}
{"time_ms":9001,"event":"stream broken off","request":"7b41","replica":"r1","last_event":"11","late":false,"detail":"connection lost"})",
    R"({"time_ms":8500,"event":"replica left","replica":"r1"}
{"time_ms":8600,"event":"replica left","replica":"r2"})",
    2,
    1,
    "its stream was broken off after event \"11\" of replica r1: connection "
    "lost" },
  { "an unknown outcome",
    R"({"time_ms":9000,"event":"outcome unknown","request":"7b41","replica":"r1","late":true,"detail":""})",
    R"({"time_ms":1000,"event":"leads","term":4})",
    1,
    0,
    "it may have run at replica r1, but no answer came: its time ran out" },
  { "a request that no process received",
    R"({"time_ms":9000,"event":"answered","request":"other"}
no line of ours
{"time_ms":)",
    "",
    0,
    0,
    "" },
};

} // namespace

BOOST_DATA_TEST_CASE(The_timeline_of_an_id_includes_its_cause,
                     data::make(kTimelineCases))
{
  std::vector<LogLine> lines;
  std::istringstream control(sample.control_);
  ReadLog(control, "control-1", kId, lines);
  std::istringstream entry(sample.entry_);
  ReadLog(entry, "entry-1", kId, lines);
  LogTimeline timeline = BuildTimeline(std::move(lines), kId);
  BOOST_TEST(timeline.matches_.size() == sample.matches_);
  BOOST_TEST(timeline.context_.size() == sample.context_);
  BOOST_TEST(timeline.cause_ == sample.cause_);
}
