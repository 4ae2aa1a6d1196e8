// Streams that callers resume while several software versions of a
// service accept work: what an entry, the leader and their reports know of the
// version that began them. Without a network.
#define BOOST_TEST_MODULE stream_origin

#include "tanagerstall/process/presence/tanagerstall_version_gate.hpp"
#include "tanagerstall/process/tanagerstall_stream_reports.hpp"
#include "tanagerstall/request/tanagerstall_stream_directory.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

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
  /// When the leadership was confirmed last, and when the stream is resumed.
  Duration confirmedAt_;
  Duration at_;
  std::optional<std::string> expected_;
  /// When the log says that a version starts that isn't seen here, if it does.
  std::optional<std::pair<Duration, std::string>> started_{};
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
  // Another version may have begun the stream in between.
  { "confirmed shortly before the stream was resumed",
    { { 0s, { "1" } } },
    {},
    19900ms,
    20s,
    {} },
  { "never confirmed", { { 0s, { "1" } } }, {}, 0s, 20s, {} },
  { "another version starts and none of its replicas was seen",
    { { 0s, { "1" } } },
    {},
    20s,
    20s,
    {},
    { { 19s, "2" } } },
  { "another version started long ago",
    { { 0s, { "1" } } },
    {},
    20s,
    20s,
    "1",
    { { 9s, "2" } } },
  { "the only version starts again",
    { { 0s, { "1" } } },
    {},
    20s,
    20s,
    "1",
    { { 19s, "1" } } },
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
  if (sample.started_) {
    directory.RecordStart(
      "s", sample.started_->second, kStart + sample.started_->first);
  }
  directory.ConfirmVersions(kStart + sample.confirmedAt_);
  TimePoint now = kStart + sample.at_;
  directory.Tick(now);
  auto found = directory.Find(7);
  if (!found) {
    found = directory.Infer("s", now, now);
  }
  BOOST_TEST(found.has_value() == sample.expected_.has_value());
  if (found && sample.expected_) {
    BOOST_TEST(found->version_ == *sample.expected_);
    BOOST_TEST(found->service_ == "s");
  }
}

namespace {

struct AskCase
{
  const char* name_;
  /// The versions that the entry has seen in the last seconds.
  std::vector<std::string> entry_;
  /// Those that the leader has seen, and one that has just started.
  std::vector<std::string> leader_;
  std::string started_;
  /// How long before the question the leadership was confirmed, and before that
  /// the stream resumed.
  Duration confirmedAgo_;
  Duration waited_;
  std::optional<std::string> expected_;
};

std::ostream&
operator<<(std::ostream& aOut, const AskCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<AskCase> kAskCases{
  { "both know one version", { "1" }, { "1" }, "", 0ms, 50ms, "1" },
  { "the entry is out of step", { "1" }, { "1", "2" }, "", 0ms, 50ms, {} },
  { "the entry has seen nothing yet", {}, { "1" }, "", 0ms, 50ms, "1" },
  { "the leader has seen no replica of it yet",
    { "1" },
    { "1" },
    "2",
    0ms,
    50ms,
    {} },
  { "the leader may be out of step itself",
    { "1" },
    { "1" },
    "",
    60ms,
    50ms,
    {} },
  { "only the entry knows of another one",
    { "1", "2" },
    { "1" },
    "",
    0ms,
    50ms,
    {} },
};

} // namespace

// Guards against a stream that goes on at another version at an entry, or by
// the word of a leader, that was cut off or stood still while replicas of that
// version joined.
BOOST_DATA_TEST_CASE(
  A_process_that_is_out_of_step_takes_no_version_for_the_only,
  data::make(kAskCases))
{
  TimePoint now = kStart + 20s;
  StreamDirectory entry(10);
  entry.SetReplicas(Present(sample.entry_), kStart);
  StreamDirectory leader(10);
  leader.SetReplicas(Present(sample.leader_), kStart);
  if (!sample.started_.empty()) {
    leader.RecordStart("s", sample.started_, now - 100ms);
  }
  leader.ConfirmVersions(now - sample.confirmedAgo_);
  entry.Adopt(leader.FindAll({ { { "s", "" }, { 7 }, sample.waited_ } }, now),
              now);
  auto found = entry.Find(7);
  BOOST_TEST(found.has_value() == sample.expected_.has_value());
  if (found && sample.expected_) {
    BOOST_TEST(found->version_ == *sample.expected_);
  }
}

// Guards against a replica that begins streams before a leader can know of its
// version, and against one that is held back for ever.
BOOST_AUTO_TEST_CASE(Replicas_wait_until_the_start_of_their_version_is_recorded)
{
  std::vector<std::string> accepted;
  std::vector<VersionGate::Done> proposals;
  VersionGate gate(
    [&](const std::string&, const std::string&, VersionGate::Done aDone) {
      proposals.push_back(std::move(aDone));
    },
    [&](const Replica& aReplica) { accepted.push_back(aReplica.id_); });
  Replica replica = Present({ "2" })["s"].front();
  replica.id_ = "a";
  gate.Hold(replica);
  replica.id_ = "b";
  gate.Hold(replica);
  gate.Hold(replica);
  BOOST_TEST(proposals.size() == 1U);
  BOOST_TEST(accepted.empty());
  proposals[0](false);
  BOOST_TEST(accepted.empty());
  gate.Hold(replica);
  BOOST_TEST_REQUIRE(proposals.size() == 2U);
  proposals[1](true);
  BOOST_TEST(accepted == (std::vector<std::string>{ "b" }),
             boost::test_tools::per_element());
}

// Guards against a follower that gets a snapshot, comes to lead, and doesn't
// know the versions that started meanwhile, and against a state that grows with
// each release.
BOOST_AUTO_TEST_CASE(A_snapshot_keeps_the_starts_of_versions)
{
  FleetState state;
  auto start = [&](const char* aVersion, WallTime aAt) {
    state.AsStateMachine().apply_(
      FleetState::EncodeVersionStart("s", aVersion, aAt));
  };
  start("1", WallTime(1s));
  start("2", WallTime(2s));
  FleetState restored;
  restored.AsStateMachine().installSnapshot_(
    state.AsStateMachine().takeSnapshot_());
  BOOST_TEST((restored.StartedVersions() ==
              VersionStarts{ { { "s", "1" }, WallTime(1s) },
                             { { "s", "2" }, WallTime(2s) } }));
  for (int i = 3; i <= 17; ++i) {
    start(std::to_string(i).c_str(), WallTime(i * 1s));
  }
  BOOST_TEST(state.StartedVersions().size() == 16U);
  BOOST_TEST(!state.StartedVersions().contains({ "s", "1" }));
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
