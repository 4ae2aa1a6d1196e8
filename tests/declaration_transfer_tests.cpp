// Sending declarations as changes of one that the receiver holds.
#define BOOST_TEST_MODULE declaration_transfer
#include "tanagerstall_rollout_simulation.hpp"

#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint64_t kFirst = 7;
constexpr std::uint64_t kSecond = 9;
constexpr std::uint64_t kThird = 12;

Declaration
MakeDeclaration(std::uint64_t aNumber)
{
  GrowingDocument document;
  document.AddRoutes(10 * aNumber);
  return { aNumber, document.Text(aNumber) };
}

struct ReceiverCase
{
  const char* name_;
  TransferCapability receiver_;
  DocumentEncoding encoding_;
  DeclarationNumber base_;
};

std::ostream&
operator<<(std::ostream& aOut, const ReceiverCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ReceiverCase> kReceivers = {
  { "an older build", { false, {} }, DocumentEncoding::Plain, {} },
  { "nothing held", { true, {} }, DocumentEncoding::Compressed, {} },
  { "the previous one held",
    { true, kSecond },
    DocumentEncoding::Compressed,
    kSecond },
  { "an earlier one held",
    { true, kFirst },
    DocumentEncoding::Compressed,
    kFirst },
  { "an unknown one held", { true, 8 }, DocumentEncoding::Compressed, {} },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(Every_receiver_restores_the_newest_declaration,
                     data::make(kReceivers),
                     row)
{
  DeclarationHistory history;
  for (std::uint64_t number : { kFirst, kSecond, kThird }) {
    history.Add(MakeDeclaration(number));
  }
  auto transfer = history.TransferFor(row.receiver_);
  BOOST_TEST((transfer.encoding_ == row.encoding_));
  BOOST_TEST((transfer.base_ == row.base_));
  std::optional<Declaration> held;
  if (row.base_) {
    held = MakeDeclaration(*row.base_);
  }
  auto restored = RestoreDeclaration(transfer, held);
  BOOST_REQUIRE(restored.has_value());
  BOOST_TEST(restored->number_ == kThird);
  BOOST_TEST((restored->document_ == MakeDeclaration(kThird).document_));
}

namespace {

struct DamageCase
{
  const char* name_;
  std::function<void(DeclarationTransfer&, Declaration& aHeld)> damage_;
};

std::ostream&
operator<<(std::ostream& aOut, const DamageCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<DamageCase> kDamages = {
  { "another base is held",
    [](DeclarationTransfer&, Declaration& aHeld) {
      aHeld = MakeDeclaration(kFirst);
    } },
  { "the held document differs",
    [](DeclarationTransfer&, Declaration& aHeld) {
      aHeld.document_.replace(100, 400, std::string(400, 'x'));
    } },
  { "a byte is changed",
    [](DeclarationTransfer& aTransfer, Declaration&) {
      aTransfer.payload_[aTransfer.payload_.size() / 2] ^= 0x5aU;
    } },
  { "the end is missing",
    [](DeclarationTransfer& aTransfer, Declaration&) {
      aTransfer.payload_.resize(aTransfer.payload_.size() / 2);
    } },
  { "nothing is left",
    [](DeclarationTransfer& aTransfer, Declaration&) {
      aTransfer.payload_.clear();
    } },
};

} // namespace

// Guards against an entry that serves a declaration which nobody declared,
// put together from a change and the wrong base.
BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(A_damaged_change_is_never_restored,
                     data::make(kDamages),
                     row)
{
  DeclarationHistory history;
  Declaration held = MakeDeclaration(kSecond);
  history.Add(held);
  history.Add(MakeDeclaration(kThird));
  auto transfer = history.TransferFor({ true, kSecond });
  row.damage_(transfer, held);
  BOOST_TEST(!RestoreDeclaration(transfer, held).has_value());
}

BOOST_AUTO_TEST_CASE(Old_declarations_are_forgotten,
                     *boost::unit_test::label("configuration"))
{
  DeclarationHistory history;
  constexpr std::uint64_t kMany = 40;
  for (std::uint64_t number = 1; number <= kMany; ++number) {
    history.Add(MakeDeclaration(number));
  }
  BOOST_TEST(!history.TransferFor({ true, 1 }).base_);
  BOOST_TEST((history.TransferFor({ true, kMany - 1 }).base_ == kMany - 1));
}

namespace {

struct EncodingCase
{
  const char* name_;
  DocumentEncoding encoding_;
};

std::ostream&
operator<<(std::ostream& aOut, const EncodingCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<EncodingCase> kEncodings = {
  { "plain", DocumentEncoding::Plain },
  { "compressed", DocumentEncoding::Compressed },
};

} // namespace

// Guards against a log of an earlier build that can't be applied any more.
BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(A_command_in_each_encoding_is_applied,
                     data::make(kEncodings),
                     row)
{
  FleetState fleet;
  auto declaration = MakeDeclaration(kFirst);
  fleet.AsStateMachine().apply_(
    FleetState::EncodeDeclare(declaration, row.encoding_));
  BOOST_TEST((NumberOf(fleet.Current()) == kFirst));
  BOOST_TEST((fleet.Current()->document_ == declaration.document_));
}
