// Tests the ledger's state machine. A second grant for the same attempt would
// let a non-idempotent request run twice; it could come from a repeated,
// delayed or malformed command. Only finished records may be removed.
#define BOOST_TEST_MODULE ledger
#include "tanagerstall/request/tanagerstall_ledger.hpp"
#include "tanagerstall/request/tanagerstall_ledger_codec.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

const WallTime kStart{ std::chrono::hours(1000) };
constexpr std::chrono::milliseconds kRetention = std::chrono::seconds(30);

struct Fixture
{
  explicit Fixture(LedgerLimits aLimits = {})
    : ledger_(aLimits)
  {
  }

  LedgerCommand MakeCommand(LedgerAction aAction, std::uint64_t aVersion) const
  {
    LedgerCommand command;
    command.organisation_ = "booths";
    command.key_ = key_;
    command.time_ = now_;
    command.action_ = aAction;
    command.version_ = aVersion;
    command.request_.bodyHash_ = 7;
    command.request_.retention_ = kRetention;
    command.grant_.nonce_ = "n1";
    command.grant_.upstream_ = "u1";
    command.answer_ = { 200, "text/plain", std::string(100, 'a') };
    return command;
  }

  LedgerResult Apply(LedgerAction aAction, std::uint64_t aVersion)
  {
    return ledger_.Apply(MakeCommand(aAction, aVersion));
  }

  /// Proposes a grant with its own nonce.
  LedgerResult Grant(std::uint64_t aVersion,
                     const std::string& aNonce,
                     bool aDeduplicates = false,
                     const std::string& aUpstream = "u1")
  {
    LedgerCommand command = MakeCommand(LedgerAction::Grant, aVersion);
    command.grant_.nonce_ = aNonce;
    command.grant_.deduplicates_ = aDeduplicates;
    command.grant_.upstream_ = aUpstream;
    return ledger_.Apply(command);
  }

  /// Records a request for `key_` and returns its version.
  std::uint64_t Accept()
  {
    return Apply(LedgerAction::Accept, 0).record_.version_;
  }

  /// Records, grants and completes a request; returns its version.
  std::uint64_t Answer(const std::string& aKey)
  {
    key_ = aKey;
    auto granted = Grant(Accept(), "n-" + aKey).record_.version_;
    return Apply(LedgerAction::Complete, granted).record_.version_;
  }

  LedgerRecord Find(const std::string& aKey)
  {
    auto bytes = ledger_.AsStateMachine().query_(
      WriteQuery(LedgerLookup{ "booths", aKey }));
    auto records = *ReadRecords(bytes);
    return records.empty() ? LedgerRecord{} : records.front();
  }

  Ledger ledger_;
  WallTime now_ = kStart;
  std::string key_ = "order-1";
};

} // namespace

BOOST_FIXTURE_TEST_CASE(A_granted_request_is_not_granted_again,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  auto accepted = Accept();
  auto granted = Grant(accepted, "n1");
  BOOST_TEST(granted.isApplied_);
  BOOST_TEST(!Grant(accepted, "n2").isApplied_);
  BOOST_TEST(!Grant(granted.record_.version_, "n2").isApplied_);
}

BOOST_FIXTURE_TEST_CASE(A_request_is_granted_only_after_it_is_recorded,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  BOOST_TEST(!Grant(0, "n1").isApplied_);
}

BOOST_FIXTURE_TEST_CASE(A_resent_grant_is_recognised_by_its_nonce,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  auto accepted = Accept();
  auto first = Grant(accepted, "n1");
  auto second = Grant(accepted, "n1");
  BOOST_TEST(second.isApplied_);
  BOOST_TEST(second.record_.version_ == first.record_.version_);
}

BOOST_FIXTURE_TEST_CASE(A_delayed_copy_of_a_grant_is_rejected_after_a_release,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  auto accepted = Accept();
  auto granted = Grant(accepted, "n1").record_.version_;
  auto released = Apply(LedgerAction::Release, granted);
  BOOST_TEST((released.record_.state_ == RequestState::Accepted));
  BOOST_TEST(!Grant(accepted, "n1").isApplied_);
  BOOST_TEST(Grant(released.record_.version_, "n2").isApplied_);
  BOOST_TEST(!Apply(LedgerAction::Release, granted).isApplied_);
}

BOOST_FIXTURE_TEST_CASE(
  A_withdrawn_request_is_accepted_again_only_with_its_new_version,
  Fixture,
  *boost::unit_test::label("ledger"))
{
  auto accepted = Accept();
  auto withdrawn = Apply(LedgerAction::Withdraw, accepted);
  BOOST_TEST((withdrawn.record_.state_ == RequestState::Withdrawn));
  BOOST_TEST(!Apply(LedgerAction::Accept, 0).isApplied_);
  BOOST_TEST(!Grant(accepted, "n1").isApplied_);
  auto renewed = Apply(LedgerAction::Accept, withdrawn.record_.version_);
  BOOST_TEST((renewed.record_.state_ == RequestState::Accepted));
  BOOST_TEST(!Apply(LedgerAction::Withdraw, accepted).isApplied_);
}

BOOST_FIXTURE_TEST_CASE(An_asynchronous_request_is_not_withdrawn,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  auto accepted = Accept();
  LedgerCommand async = MakeCommand(LedgerAction::Accept, 0);
  async.request_.isAsync_ = true;
  async.request_.body_ = "body";
  BOOST_TEST(ledger_.Apply(async).isApplied_);
  BOOST_TEST(!Apply(LedgerAction::Withdraw, accepted).isApplied_);
  BOOST_TEST(Find("order-1").request_.body_ == "body");
}

BOOST_FIXTURE_TEST_CASE(A_key_with_another_body_is_a_conflict,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  Accept();
  LedgerCommand other = MakeCommand(LedgerAction::Accept, 0);
  other.request_.bodyHash_ = 8;
  BOOST_TEST(ledger_.Apply(other).isConflict_);
  BOOST_TEST(!Apply(LedgerAction::Accept, 0).isConflict_);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("ledger"))
BOOST_DATA_TEST_CASE(
  An_unknown_outcome_is_retried_only_at_the_same_deduplicating_upstream,
  data::make({ false, true, true }) ^ data::make({ "u1", "u1", "u2" }) ^
    data::make({ false, true, false }),
  deduplicates,
  upstream,
  isAllowed)
{
  Fixture fixture;
  auto granted =
    fixture.Grant(fixture.Accept(), "n1", deduplicates).record_.version_;
  fixture.Apply(LedgerAction::MarkUnknown, granted);
  auto again = fixture.Grant(granted, "n2", deduplicates, upstream);
  BOOST_TEST(again.isApplied_ == isAllowed);
  if (isAllowed) {
    auto released =
      fixture.Apply(LedgerAction::Release, again.record_.version_);
    BOOST_TEST((released.record_.state_ == RequestState::Unknown));
  }
}

BOOST_FIXTURE_TEST_CASE(A_late_answer_resolves_an_unknown_outcome,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  auto granted = Grant(Accept(), "n1").record_.version_;
  Apply(LedgerAction::MarkUnknown, granted);
  auto answered = Apply(LedgerAction::Complete, granted);
  BOOST_TEST((answered.record_.state_ == RequestState::Answered));
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("ledger"))
BOOST_DATA_TEST_CASE(An_operator_settles_an_unknown_outcome_once,
                     data::make({ true, false }),
                     ran)
{
  Fixture fixture;
  auto settle = ran ? LedgerAction::SettleRan : LedgerAction::SettleNotRun;
  auto granted = fixture.Grant(fixture.Accept(), "n1").record_.version_;
  BOOST_TEST(!fixture.Apply(settle, 0).isApplied_);
  fixture.Apply(LedgerAction::MarkUnknown, granted);
  BOOST_TEST(fixture.Apply(settle, 0).isApplied_);
  BOOST_TEST(!fixture.Apply(settle, 0).isApplied_);
  BOOST_TEST(!fixture.Apply(LedgerAction::Complete, granted).isApplied_);
}

BOOST_FIXTURE_TEST_CASE(Only_finished_requests_expire,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  Answer("answered");
  key_ = "unknown";
  auto granted = Grant(Accept(), "n1").record_.version_;
  Apply(LedgerAction::MarkUnknown, granted);
  key_ = "granted";
  Grant(Accept(), "n2");
  key_ = "accepted";
  Accept();
  now_ += kRetention;
  key_ = "next";
  Accept();
  BOOST_TEST((Find("answered").state_ == RequestState::Absent));
  BOOST_TEST((Find("unknown").state_ == RequestState::Unknown));
  BOOST_TEST((Find("granted").state_ == RequestState::Granted));
  BOOST_TEST((Find("accepted").state_ == RequestState::Accepted));
}

BOOST_AUTO_TEST_CASE(The_oldest_answers_are_dropped_first_and_their_keys_stay,
                     *boost::unit_test::label("ledger"))
{
  LedgerLimits limits;
  limits.maxAnswerBytes_ = 250;
  Fixture fixture(limits);
  for (const auto* key : { "a", "b", "c" }) {
    fixture.Answer(key);
  }
  BOOST_TEST(fixture.Find("a").isAnswerDropped_);
  BOOST_TEST((fixture.Find("a").state_ == RequestState::Answered));
  BOOST_TEST(!fixture.Find("b").isAnswerDropped_);
  BOOST_TEST(!fixture.Find("c").isAnswerDropped_);
}

BOOST_AUTO_TEST_CASE(A_full_ledger_refuses_new_requests_and_drops_none,
                     *boost::unit_test::label("ledger"))
{
  LedgerLimits limits;
  limits.maxRecords_ = 1;
  Fixture fixture(limits);
  fixture.Accept();
  fixture.key_ = "second";
  BOOST_TEST(fixture.Apply(LedgerAction::Accept, 0).isFull_);
  BOOST_TEST((fixture.Find("order-1").state_ == RequestState::Accepted));
}

BOOST_FIXTURE_TEST_CASE(One_clock_far_ahead_does_not_expire_records,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  LedgerCommand accept = MakeCommand(LedgerAction::Accept, 0);
  accept.request_.retention_ = std::chrono::hours(1);
  auto granted =
    Grant(ledger_.Apply(accept).record_.version_, "n1").record_.version_;
  Apply(LedgerAction::Complete, granted);
  now_ += std::chrono::hours(100);
  key_ = "other";
  Accept();
  BOOST_TEST((Find("order-1").state_ == RequestState::Answered));
}

BOOST_FIXTURE_TEST_CASE(A_restored_snapshot_behaves_like_the_original_ledger,
                        Fixture,
                        *boost::unit_test::label("ledger"))
{
  Answer("a");
  key_ = "b";
  auto granted = Grant(Accept(), "n1");
  Ledger copy;
  copy.AsStateMachine().installSnapshot_(
    ledger_.AsStateMachine().takeSnapshot_());
  for (auto action : { LedgerAction::Release, LedgerAction::Grant }) {
    auto command = WriteCommand(MakeCommand(action, granted.record_.version_));
    BOOST_TEST((copy.AsStateMachine().apply_(command) ==
                ledger_.AsStateMachine().apply_(command)));
  }
  BOOST_TEST((copy.AsStateMachine().takeSnapshot_() ==
              ledger_.AsStateMachine().takeSnapshot_()));
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("ledger"))
BOOST_DATA_TEST_CASE(Malformed_commands_change_nothing,
                     data::xrange(1, 200),
                     seed)
{
  Fixture fixture;
  fixture.Accept();
  auto machine = fixture.ledger_.AsStateMachine();
  auto before = machine.takeSnapshot_();
  Bytes command = WriteCommand(fixture.MakeCommand(LedgerAction::Accept, 0));
  std::mt19937 random(static_cast<unsigned>(seed));
  for (auto& byte : command) {
    byte = static_cast<std::uint8_t>(random());
  }
  command.resize(command.size() - static_cast<std::size_t>(seed % 9));
  auto result = ReadResult(machine.apply_(command));
  BOOST_REQUIRE(result);
  BOOST_TEST(result->isMalformed_);
  BOOST_TEST((machine.takeSnapshot_() == before));
}
