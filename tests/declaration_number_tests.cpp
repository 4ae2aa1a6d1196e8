// Any number that an operator chooses is one of a declaration, 0 too; none is a
// state of its own, also on disk and on the wire.
#define BOOST_TEST_MODULE declaration_number
#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
#include "tanagerstall/internal/tanagerstall_fleet_wire.hpp"
#include "tanagerstall/process/tanagerstall_declaration_calls.hpp"
#include "tanagerstall/version/tanagerstall_declaration_source.hpp"
#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <vector>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint64_t kHighest = std::numeric_limits<std::uint64_t>::max();

struct NumberCase
{
  DeclarationNumber number_;
};

std::ostream&
operator<<(std::ostream& aOut, const NumberCase& aCase)
{
  return aOut << (aCase.number_ ? std::to_string(*aCase.number_) : "none");
}

const std::vector<NumberCase> kNumbers{ { std::nullopt },
                                        { 0 },
                                        { 1 },
                                        { kHighest } };

/// A state that holds a declaration with this number, if it is given.
FleetState
MakeState(const DeclarationNumber& aNumber)
{
  FleetState state;
  if (aNumber) {
    state.AsStateMachine().apply_(
      FleetState::EncodeDeclare({ *aNumber, "held" }));
  }
  return state;
}

} // namespace

// Guards against a number that is taken for none after a restart from a
// snapshot, or by a reader of the state.
BOOST_DATA_TEST_CASE(Snapshots_and_queries_keep_each_number,
                     data::make(kNumbers))
{
  FleetState state = MakeState(sample.number_);
  FleetState restored;
  restored.AsStateMachine().installSnapshot_(
    state.AsStateMachine().takeSnapshot_());
  BOOST_TEST((NumberOf(restored.Current()) == sample.number_));
  for (auto query : { FleetQuery::All, FleetQuery::Rollouts }) {
    auto answer =
      restored.AsStateMachine().query_(FleetState::EncodeQuery(query));
    BOOST_TEST(
      (NumberOf(FleetState::DecodeDeclaration(answer)) == sample.number_));
  }
}

// Guards against a number that is lost between entries and control processes,
// so that entries never ask for its declaration, or ask without end.
BOOST_DATA_TEST_CASE(Reports_and_answers_keep_each_number, data::make(kNumbers))
{
  EntryReport report;
  report.inForce_ = sample.number_;
  report.newestDeclaration_ = sample.number_;
  capnp::MallocMessageBuilder request;
  auto sent = request.initRoot<wire::SyncRequest>();
  WriteReport(sent, report);
  auto received = ReadReport(sent.asReader());
  BOOST_TEST((received.inForce_ == sample.number_));
  BOOST_TEST((received.newestDeclaration_ == sample.number_));
  ControlAnswer answer;
  answer.planNumber_ = sample.number_;
  capnp::MallocMessageBuilder reply;
  auto answered = reply.initRoot<wire::SyncReply>();
  WriteAnswer(answered, answer);
  BOOST_TEST((ReadAnswer(answered.asReader()).planNumber_ == sample.number_));
}

// Guards against commands, snapshots and messages of builds that took 0 for
// none: they don't say whether there is a declaration.
BOOST_AUTO_TEST_CASE(Records_of_earlier_builds_are_read_as_before)
{
  for (std::uint64_t number : { 0, 7 }) {
    DeclarationNumber expected;
    if (number != 0) {
      expected = number;
    }
    capnp::MallocMessageBuilder command;
    auto declare = command.initRoot<wire::FleetCommand>().initDeclare();
    declare.setNumber(number);
    declare.setDocument(ToData(ViewOf("d")));
    FleetState replayed;
    replayed.AsStateMachine().apply_(Flatten(command));
    BOOST_TEST((NumberOf(replayed.Current()) == expected));
    capnp::MallocMessageBuilder message;
    auto snapshot = message.initRoot<wire::FleetSnapshot>();
    snapshot.setNumber(number);
    snapshot.setDocument(ToData(ViewOf(expected ? "d" : "")));
    FleetState state;
    state.AsStateMachine().installSnapshot_(Flatten(message));
    BOOST_TEST((NumberOf(state.Current()) == expected));
    capnp::MallocMessageBuilder request;
    auto sent = request.initRoot<wire::SyncRequest>();
    sent.initEntry().setRevision(number);
    sent.setHeard(number);
    BOOST_TEST((ReadReport(sent.asReader()).inForce_ == expected));
    BOOST_TEST((ReadReport(sent.asReader()).newestDeclaration_ == expected));
    capnp::MallocMessageBuilder reply;
    auto answered = reply.initRoot<wire::SyncReply>();
    answered.setPlanNumber(number);
    BOOST_TEST((ReadAnswer(answered.asReader()).planNumber_ == expected));
  }
}

// Guards against an entry without a declaration that doesn't ask for the first
// one, or never confirms it, since its number is 0.
BOOST_AUTO_TEST_CASE(An_entry_requests_a_first_declaration_with_number_0)
{
  TimePoint now = PausedClock().Now();
  DeclarationSource source;
  source.OnUpdate("control", { std::nullopt, true, false }, now);
  BOOST_TEST(!source.ShouldRequestFrom("control", std::nullopt, now));
  source.OnUpdate("control", { 0, true, false }, now);
  BOOST_TEST((source.NewestNumber() == 0));
  BOOST_TEST(source.ShouldRequestFrom("control", std::nullopt, now));
  BOOST_TEST(!source.ShouldRequestFrom("control", 0, now));
  BOOST_TEST(!source.IsConfirmed(0, now));
  source.OnUpdate("leader", { 0, true, true }, now);
  BOOST_TEST(source.IsConfirmed(0, now));
  source.OnUpdate("leader", { 1, true, true }, now);
  BOOST_TEST(!source.IsConfirmed(0, now));
}

// Guards against a change of the declaration with number 0 that is taken for a
// whole one, since 0 stands for no base on the wire.
BOOST_AUTO_TEST_CASE(A_receiver_of_number_0_restores_the_next_declaration)
{
  Declaration first{ 0, R"({"version":0,"routes":[]})" };
  Declaration next{ 1, R"({"version":1,"routes":[]})" };
  DeclarationHistory history;
  history.Add(first);
  history.Add(next);
  EntryReport report;
  report.canRestore_ = { true, first.number_ };
  capnp::MallocMessageBuilder request;
  auto sent = request.initRoot<wire::SyncRequest>();
  WriteReport(sent, report);
  ControlAnswer answer;
  answer.planNumber_ = next.number_;
  answer.declaration_ =
    history.TransferFor(ReadReport(sent.asReader()).canRestore_);
  capnp::MallocMessageBuilder reply;
  auto answered = reply.initRoot<wire::SyncReply>();
  WriteAnswer(answered, answer);
  auto received = ReadAnswer(answered.asReader()).declaration_;
  BOOST_REQUIRE(received.has_value());
  auto restored = RestoreDeclaration(*received, first);
  BOOST_REQUIRE(restored.has_value());
  BOOST_TEST(restored->document_ == next.document_);
}

namespace {

/// How the leader applies a declaration.
enum class Leader
{
  /// As this build does.
  Current,
  /// It passes over number 0 and replies with nothing.
  Earlier,
  /// It passes over every declaration.
  PassingOver,
  /// The same, and replies with nothing.
  EarlierPassingOver,
  None
};

struct CallCase
{
  const char* name_;
  DeclarationNumber held_;
  std::uint64_t declared_;
  Leader leader_;
  bool canAllApplyNumberZero_;
  bool isAcknowledged_;
  DeclarationNumber heldAfter_;
};

std::ostream&
operator<<(std::ostream& aOut, const CallCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<CallCase> kCalls{
  { "first", {}, 7, Leader::Current, false, true, 7 },
  { "0 first", {}, 0, Leader::Current, true, true, 0 },
  { "1 after 0", 0, 1, Leader::Current, true, true, 1 },
  { "0 again", 0, 0, Leader::Current, true, true, 0 },
  { "0 again, members unknown", 0, 0, Leader::Current, false, true, 0 },
  { "0 after 7", 7, 0, Leader::Current, true, true, 7 },
  { "0 after 7, members unknown", 7, 0, Leader::Current, false, true, 7 },
  { "the highest", 7, kHighest, Leader::Current, true, true, kHighest },
  { "0 first, members unknown", {}, 0, Leader::Current, false, false, {} },
  { "0 first, earlier leader", {}, 0, Leader::Earlier, true, false, {} },
  { "7 first, earlier leader", {}, 7, Leader::Earlier, false, true, 7 },
  { "passed over", {}, 7, Leader::PassingOver, true, false, {} },
  { "passed over after 3", 3, 7, Leader::PassingOver, true, false, 3 },
  { "passed over by an earlier leader",
    3,
    7,
    Leader::EarlierPassingOver,
    true,
    false,
    3 },
  { "no leader", 3, 7, Leader::None, true, false, 3 },
  { "0, no leader", 3, 0, Leader::None, false, false, 3 },
};

GroupResult
NoLeader()
{
  return tl::make_unexpected(
    GroupError{ GroupFault::Unavailable, "no leader" });
}

/// A command whose document can't be decoded.
Bytes
Undecodable(std::uint64_t aNumber)
{
  capnp::MallocMessageBuilder message;
  auto declare = message.initRoot<wire::FleetCommand>().initDeclare();
  declare.setNumber(aNumber);
  declare.setHasNumber(true);
  declare.setEncoding(WriteEncoding(DocumentEncoding::Compressed));
  declare.setDocument(ToData(ViewOf("not compressed")));
  return Flatten(message);
}

GroupResult
Propose(FleetState& aState, Leader aLeader, const Declaration& aDeclaration)
{
  if (aLeader == Leader::None) {
    return NoLeader();
  }
  bool isPassedOver =
    aLeader == Leader::PassingOver || aLeader == Leader::EarlierPassingOver;
  bool isEarlier =
    aLeader == Leader::Earlier || aLeader == Leader::EarlierPassingOver;
  Bytes reply;
  if (!isEarlier || aDeclaration.number_ != 0) {
    reply = aState.AsStateMachine().apply_(
      isPassedOver ? Undecodable(aDeclaration.number_)
                   : FleetState::EncodeDeclare(aDeclaration));
  }
  return isEarlier ? Bytes{} : reply;
}

} // namespace

// Guards against an acknowledgement of a declaration that the log has taken and
// the state has passed over, and against one of number 0 that a member of an
// earlier build would lose.
BOOST_DATA_TEST_CASE(What_is_acknowledged_is_held, data::make(kCalls))
{
  FleetState state = MakeState(sample.held_);
  DeclarationCalls calls(
    { [&](const Declaration& aDeclaration) {
       return Propose(state, sample.leader_, aDeclaration);
     },
      [&](const Bytes& aQuery) {
        return sample.leader_ == Leader::None
                 ? NoLeader()
                 : GroupResult(state.AsStateMachine().query_(aQuery));
      },
      [&] { return sample.canAllApplyNumberZero_; } });
  auto declared = calls.Declare({ sample.declared_, "declared" });
  BOOST_TEST(declared.has_value() == sample.isAcknowledged_);
  BOOST_TEST((NumberOf(state.Current()) == sample.heldAfter_));
}
