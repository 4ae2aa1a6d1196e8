// Streams that callers resume while several software versions of a
// service accept work: what an entry, the leader and their reports know of the
// version that began them. Without a network.
#define BOOST_TEST_MODULE stream_origin

#include "tanagerstall/process/tanagerstall_stream_reports.hpp"
#include "tanagerstall/request/tanagerstall_stream_directory.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart = TimePoint(1h);

ReplicasByService
Present(const std::vector<std::string>& aVersions)
{
  ReplicasByService present;
  for (const auto& version : aVersions) {
    Replica replica;
    replica.id_ = "r" + std::to_string(present["s"].size());
    replica.service_ = "s";
    replica.version_ = version;
    present["s"].push_back(replica);
  }
  return present;
}

struct Seen
{
  Duration at_;
  std::vector<std::string> versions_;
};

struct FindCase
{
  const char* name_;
  std::vector<Seen> seen_;
  /// When and at which version the stream was recorded, if it was.
  std::optional<std::pair<Duration, std::string>> recorded_;
  /// When the replicas were confirmed last, and when it is resumed.
  Duration confirmedAt_;
  Duration at_;
  std::optional<std::string> expected_;
};

std::ostream&
operator<<(std::ostream& aOut, const FindCase& aCase)
{
  return aOut << aCase.name_;
}

// Streams may be resumed for 10 s.
const std::vector<FindCase> kFindCases{
  { "one version all the time", { { 0s, { "1", "1" } } }, {}, 20s, 20s, "1" },
  { "this process has just started", { { 0s, { "1" } } }, {}, 9s, 9s, {} },
  { "it just hears nobody", { { 0s, { "1" } } }, {}, 20s, 24s, {} },
  { "two versions",
    { { 0s, { "1" } }, { 12s, { "1", "2" } } },
    {},
    20s,
    20s,
    {} },
  { "recorded, two versions",
    { { 0s, { "1" } }, { 12s, { "1", "2" } } },
    { { 13s, "2" } },
    20s,
    20s,
    "2" },
  { "recorded, hears nobody",
    { { 0s, { "1" } } },
    { { 19s, "1" } },
    0s,
    23s,
    "1" },
  { "recorded, the version is gone",
    { { 0s, { "1" } }, { 12s, { "2" } } },
    { { 11s, "1" } },
    20s,
    20s,
    "1" },
  { "the old version has just gone",
    { { 0s, { "1" } }, { 12s, { "2" } } },
    {},
    20s,
    20s,
    {} },
  { "the old version is gone for long",
    { { 0s, { "1" } }, { 12s, { "2" } } },
    {},
    23s,
    23s,
    "2" },
  { "no replica was ever there", { { 0s, {} } }, {}, 20s, 20s, {} },
  { "all replicas are away for a moment",
    { { 0s, { "1" } }, { 18s, {} } },
    {},
    20s,
    20s,
    "1" },
  { "replicas that name no version",
    { { 0s, { "" } }, { 12s, { "", "2" } } },
    {},
    20s,
    20s,
    {} },
};

} // namespace

// Guards against a stream that goes on at another version than the one that
// began it, and against one that is refused though only one could have.
BOOST_DATA_TEST_CASE(A_stream_is_found_only_if_its_version_is_certain,
                     data::make(kFindCases))
{
  StreamDirectory directory(10);
  for (const auto& seen : sample.seen_) {
    directory.SetReplicas(Present(seen.versions_), kStart + seen.at_);
  }
  if (sample.recorded_) {
    directory.Record(
      7, { "s", sample.recorded_->second }, kStart + sample.recorded_->first);
  }
  directory.ConfirmReplicas(kStart + sample.confirmedAt_);
  directory.Tick(kStart + sample.at_);
  auto found = directory.Find(7, "s", kStart + sample.at_);
  BOOST_TEST(found.has_value() == sample.expected_.has_value());
  if (found && sample.expected_) {
    BOOST_TEST(found->version_ == *sample.expected_);
    BOOST_TEST(found->service_ == "s");
  }
}

// Guards against streams that the leader is never told of because they began
// before the second version came.
BOOST_AUTO_TEST_CASE(Streams_are_reported_once_while_versions_are_mixed)
{
  StreamDirectory directory(10);
  directory.SetReplicas(Present({ "1" }), kStart);
  directory.Record(1, { "s", "1" }, kStart + 20s);
  directory.Tick(kStart + 20s);
  BOOST_TEST(directory.TakeNew(kStart + 20s).empty());
  directory.SetReplicas(Present({ "1", "2" }), kStart + 21s);
  directory.Record(2, { "s", "2" }, kStart + 22s);
  directory.Record(3, { "s", "1" }, kStart + 22s);
  StreamGroups expected{ { { "s", "1" }, { 1, 3 } }, { { "s", "2" }, { 2 } } };
  BOOST_TEST((directory.TakeNew(kStart + 22s) == expected));
  BOOST_TEST(directory.TakeNew(kStart + 22s).empty());
}

// Guards against memory that grows with the streams of a caller.
BOOST_AUTO_TEST_CASE(The_oldest_streams_are_forgotten_first)
{
  StreamOrigins origins(3);
  for (StreamKey stream : { 1, 2, 3, 1, 4 }) {
    origins.Record(stream, { "s", std::to_string(stream) }, kStart);
  }
  BOOST_TEST(origins.Size() == 3U);
  BOOST_TEST(!origins.Find(1).has_value());
  BOOST_TEST(origins.Find(4)->version_ == "4");
  origins.Record(4, { "s", "other" }, kStart + 1s);
  BOOST_TEST(origins.Find(4)->version_ == "4");
  origins.ForgetBefore(kStart + 1s);
  BOOST_TEST(origins.Size() == 0U);
}

namespace {

struct ReportCase
{
  const char* name_;
  std::string control_;
  std::uint64_t run_;
  std::uint64_t confirmed_;
  /// The streams that the next report to control process "a" in run 1 has.
  std::vector<StreamKey> expected_;
};

std::ostream&
operator<<(std::ostream& aOut, const ReportCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ReportCase> kReportCases{
  { "nothing is confirmed", "a", 1, 0, { 1, 2 } },
  { "a part is confirmed", "a", 1, 1, { 2 } },
  { "all is confirmed", "a", 1, 2, {} },
  { "its earlier run has all", "a", 9, 2, { 1, 2 } },
  { "another leader has all", "b", 1, 2, { 1, 2 } },
};

} // namespace

// Guards against a new leader that doesn't get the streams of the one before.
BOOST_DATA_TEST_CASE(A_leader_gets_the_streams_that_it_has_not_confirmed,
                     data::make(kReportCases))
{
  StreamReports reports;
  reports.Append({ { { "s", "1" }, { 1 } } }, kStart);
  reports.Append({ { { "s", "2" }, { 2 } } }, kStart + 1s);
  reports.Confirm(sample.control_, sample.run_, sample.confirmed_);
  auto report = reports.For("a", 1);
  std::vector<StreamKey> streams;
  for (const auto& group : report.streams_) {
    streams.insert(streams.end(), group.streams_.begin(), group.streams_.end());
  }
  BOOST_TEST(streams == sample.expected_, boost::test_tools::per_element());
  BOOST_TEST(report.position_ == 2U);
  reports.ForgetBefore(kStart + 2s);
  BOOST_TEST(reports.For("c", 1).streams_.empty());
}

// Guards against a control process that restarts and confirms streams that only
// its earlier run has got.
BOOST_AUTO_TEST_CASE(A_restarted_leader_gets_all_streams)
{
  StreamReports reports;
  reports.Append({ { { "s", "1" }, { 1 } } }, kStart);
  reports.Confirm(
    "a", 1, ConfirmedPosition(1, 1, reports.For("a", 1).position_));
  reports.Append({ { { "s", "1" }, { 2 } } }, kStart);
  auto partial = reports.For("a", 1);
  BOOST_TEST(partial.streams_.size() == 1U);
  // The report arrives at the next run.
  reports.Confirm("a", 2, ConfirmedPosition(1, 2, partial.position_));
  BOOST_TEST(reports.For("a", 2).streams_.size() == 2U);
}
