// Reports of an entry's client to a control process, over the loopback
// interface.
#define BOOST_TEST_MODULE fleet_client
#include "tanagerstall/connection/tanagerstall_fleet_client.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_server.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tanagerstall;
using namespace std::chrono_literals;

namespace {

/// Returns a port of the loopback interface that is free now.
std::uint16_t
FreePort()
{
  int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  BOOST_REQUIRE(
    ::bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  ::close(listener);
  return ntohs(address.sin_port);
}

constexpr int kBriefReports = 20;
constexpr auto kMaxTestTime = 20s;

} // namespace

// Guards against brief reports that stop for good after the first ones, so that
// the entry gets no grants any more.
BOOST_AUTO_TEST_CASE(Brief_reports_go_on_after_each_answer)
{
  ControlLoop loop;
  Address address{ "127.0.0.1", FreePort() };
  std::atomic<int> briefReports{ 0 };
  int mostInFlight = 0;
  int inFlight = 0;
  FleetServer server(
    loop,
    { [&](const EntryReport& aReport) {
       briefReports += aReport.isBrief_ ? 1 : 0;
       inFlight += aReport.isBrief_ ? 1 : 0;
       mostInFlight = std::max(mostInFlight, inFlight);
     },
      [](const EntryReport& aReport) { return !aReport.isToLeader_; },
      [&](const EntryReport& aReport) {
        inFlight -= aReport.isBrief_ ? 1 : 0;
        ControlAnswer answer;
        answer.isLeader_ = true;
        return answer;
      } });
  server.Listen(address);
  FleetClient client(
    loop,
    { [](const std::string&, bool, bool) { return EntryReport(); },
      [&](const std::string&, const ControlAnswer&) {
        if (briefReports >= kBriefReports) {
          loop.Stop();
          return;
        }
        loop.Post([&] {
          client.RefreshLeader();
          client.RefreshLeader();
        });
      } });
  client.SetSeeds({ address });
  std::thread guard([&] {
    for (auto waited = 0ms;
         waited < kMaxTestTime && briefReports < kBriefReports;
         waited += 50ms) {
      std::this_thread::sleep_for(50ms);
    }
    loop.Stop();
  });
  loop.Run();
  guard.join();
  BOOST_TEST(briefReports >= kBriefReports);
  BOOST_TEST(mostInFlight == 1);
}

namespace {

Rollout
MakeRollout(std::uint64_t aId, RolloutState aState)
{
  return { aId,
           { "s" + std::to_string(aId), "v2", 12s, WallTime(1'700'000'000s) },
           aState,
           WallTime(1'700'000'012s) };
}

} // namespace

// Guards against counts and revisions of roll-outs that are lost on the wire.
BOOST_AUTO_TEST_CASE(A_report_carries_the_counts_of_rollouts)
{
  RolloutCounts counts{ "s", 7, true, "r", 30, 20, 10, {} };
  counts.firstParts_[0] = 3;
  counts.firstParts_[kRolloutBuckets - 1] = 4;
  EntryReport report;
  RolloutCounts some{ "s", 7, false, "other", 9, 8, 7, {} };
  some.firstParts_[5] = 1;
  report.rolloutCounts_ = { counts, some, { "s", 7, false, "", 1, 0, 0, {} } };
  report.rolloutRevision_ = 0xfedcba9876543210;
  capnp::MallocMessageBuilder message;
  auto wire = message.initRoot<wire::SyncRequest>();
  WriteReport(wire, report);
  auto read = ReadReport(wire.asReader());
  BOOST_TEST((read.rolloutCounts_ == report.rolloutCounts_));
  BOOST_TEST(read.rolloutRevision_ == report.rolloutRevision_);
}

// Guards against streams that are lost on the wire, so that the leader doesn't
// know what began them.
BOOST_AUTO_TEST_CASE(Reports_and_answers_carry_streams)
{
  StreamGroups started{ { { "s", "v1" }, { 1, 0xfedcba9876543210 } },
                        { { "s", "" }, {} } };
  StreamGroups wanted{ { { "t", "" }, { 3 }, 250ms } };
  StreamGroups found{ started[0], { { "t", "v1" }, { 3 }, 0ms, true } };
  EntryReport report;
  report.streamStarts_ = started;
  report.streamPosition_ = 5;
  report.wantedStreams_ = wanted;
  capnp::MallocMessageBuilder request;
  auto sent = request.initRoot<wire::SyncRequest>();
  WriteReport(sent, report);
  auto read = ReadReport(sent.asReader());
  BOOST_TEST((read.streamStarts_ == started));
  BOOST_TEST(read.streamPosition_ == 5U);
  BOOST_TEST((read.wantedStreams_ == wanted));
  ControlAnswer answer;
  answer.streamPosition_ = 5;
  answer.foundStreams_ = found;
  capnp::MallocMessageBuilder reply;
  auto answered = reply.initRoot<wire::SyncReply>();
  WriteAnswer(answered, answer);
  BOOST_TEST((ReadAnswer(answered.asReader()).foundStreams_ == found));
  BOOST_TEST(ReadAnswer(answered.asReader()).streamPosition_ == 5U);
}

// Guards against directives that entries understand differently, and against a
// missing list that is taken for an empty one.
BOOST_AUTO_TEST_CASE(An_answer_carries_the_directives_on_rollouts)
{
  std::vector<std::optional<std::vector<RolloutDirective>>> cases{
    std::nullopt,
    std::vector<RolloutDirective>(),
    std::vector<RolloutDirective>{
      { MakeRollout(1, RolloutState::Running), 0.08, 0.25 },
      { MakeRollout(2, RolloutState::Completed), 0.0, 0.0 },
      { MakeRollout(3, RolloutState::RolledBack), 0.0, 0.0 } },
  };
  for (const auto& directives : cases) {
    ControlAnswer answer;
    answer.rollouts_ = directives;
    answer.rolloutRevision_ = 42;
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::SyncReply>();
    WriteAnswer(wire, answer);
    auto read = ReadAnswer(wire.asReader());
    BOOST_TEST((read.rollouts_ == answer.rollouts_));
    BOOST_TEST(read.rolloutRevision_ == 42U);
  }
}

namespace {

/// Returns a message as a build writes it whose types end with the last field
/// that is set here: canonical messages leave out trailing unset fields.
template<typename Builder>
kj::Array<capnp::word>
WriteShortened(Builder aMessage)
{
  return capnp::canonicalize(aMessage.asReader());
}

} // namespace

// Guards against a leader that takes missing fields of an older entry for
// counts of a roll-out, for a revision that it follows, or for the ability to
// read compressed replicas.
BOOST_AUTO_TEST_CASE(A_report_of_an_older_build_is_read_with_safe_values)
{
  capnp::MallocMessageBuilder message;
  auto wire = message.initRoot<wire::SyncRequest>();
  wire.initEntry().setId("e");
  wire.setRateRevision(5);
  auto words = WriteShortened(wire);
  kj::ArrayPtr<const capnp::word> segment = words;
  capnp::SegmentArrayMessageReader reader(kj::arrayPtr(&segment, 1));
  auto report = ReadReport(reader.getRoot<wire::SyncRequest>());
  BOOST_TEST(report.entry_.id_ == "e");
  BOOST_TEST(report.rateRevision_ == 5U);
  BOOST_TEST(report.rolloutCounts_.empty());
  BOOST_TEST(report.rolloutRevision_ == 0U);
  BOOST_TEST(report.admission_.empty());
  BOOST_TEST(!report.readsPackedReplicas_);
}

// Guards against an entry that ends its roll-outs because a control process of
// an older build names none, and against one that takes this process for able
// to apply their commands.
BOOST_AUTO_TEST_CASE(An_answer_of_an_older_build_is_read_with_safe_values)
{
  capnp::MallocMessageBuilder message;
  auto wire = message.initRoot<wire::SyncReply>();
  auto replica = wire.initReplicas(1)[0];
  replica.setId("r1");
  replica.setSlots(8);
  wire.setRateRevision(5);
  auto words = WriteShortened(wire);
  kj::ArrayPtr<const capnp::word> segment = words;
  capnp::SegmentArrayMessageReader reader(kj::arrayPtr(&segment, 1));
  auto answer = ReadAnswer(reader.getRoot<wire::SyncReply>());
  BOOST_TEST(answer.rateRevision_ == 5U);
  BOOST_TEST_REQUIRE(answer.replicas_.changed_.size() == 1U);
  BOOST_TEST(answer.replicas_.changed_[0].id_ == "r1");
  BOOST_TEST(answer.replicas_.changed_[0].slots_ == 8U);
  BOOST_TEST(answer.replicas_.changed_[0].version_.empty());
  BOOST_TEST(!answer.rollouts_);
  BOOST_TEST(answer.rolloutRevision_ == 0U);
  BOOST_TEST(!answer.appliesRollouts_);
  BOOST_TEST(answer.longResponses_.empty());
  BOOST_TEST(answer.admission_.empty());
}
