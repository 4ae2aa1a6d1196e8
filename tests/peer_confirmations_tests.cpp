// The acknowledgement of a replica that leaves, without a network: how many
// control processes have to know of it.
#define BOOST_TEST_MODULE peer_confirmations

#include "tanagerstall/process/presence/tanagerstall_peer_confirmations.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <utility>
#include <vector>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint kStart = TimePoint(1h);
const TimePoint kUntil = kStart + 700ms;
constexpr std::uint64_t kStamp = 7;

struct ConfirmationCase
{
  const char* name_;
  std::size_t members_;
  /// What other processes report before the call, and while it waits.
  std::vector<std::pair<std::string, std::uint64_t>> before_;
  std::vector<std::pair<std::string, std::uint64_t>> after_;
  bool isConfirmed_;
};

std::ostream&
operator<<(std::ostream& aOut, const ConfirmationCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ConfirmationCase> kCases{
  { "the only member", 1, {}, {}, true },
  { "members not known yet", 0, { { "b", 7 }, { "c", 7 } }, {}, false },
  { "three, nobody reports", 3, {}, {}, false },
  { "three, one has it already", 3, { { "b", 7 } }, {}, true },
  { "three, one gets it", 3, { { "b", 6 } }, { { "b", 7 } }, true },
  { "three, one has more", 3, {}, { { "b", 9 } }, true },
  { "three, earlier changes only", 3, {}, { { "b", 6 }, { "c", 6 } }, false },
  { "three, the same one twice", 3, { { "b", 6 } }, { { "b", 6 } }, false },
  { "five, one of four", 5, {}, { { "b", 7 } }, false },
  { "five, the same one twice", 5, {}, { { "b", 7 }, { "b", 8 } }, false },
  { "five, two of four", 5, { { "b", 7 } }, { { "c", 7 } }, true },
  { "five, one that restarts meanwhile",
    5,
    { { "b", 7 } },
    { { "b", 0 }, { "c", 7 } },
    false },
  { "five, one that restarts and asks again",
    5,
    { { "b", 7 } },
    { { "b", 0 }, { "c", 7 }, { "b", 7 } },
    true },
  { "four, one of three", 4, {}, { { "b", 7 } }, false },
  { "nine, three of eight",
    9,
    { { "b", 7 }, { "c", 7 } },
    { { "d", 7 } },
    false },
  { "nine, four of eight",
    9,
    { { "b", 7 }, { "c", 7 } },
    { { "d", 7 }, { "e", 8 } },
    true },
};

} // namespace

// Guards against the acknowledgement of a replica that leaves while only a few
// control processes know of it, which may then be lost together.
BOOST_DATA_TEST_CASE(A_change_is_confirmed_by_a_majority, data::make(kCases))
{
  PeerConfirmations confirmations;
  confirmations.SetMembers(sample.members_);
  for (const auto& [peer, stamp] : sample.before_) {
    confirmations.Record(peer, stamp);
  }
  std::vector<bool> results;
  confirmations.Await(
    kStamp,
    [] { return true; },
    kUntil,
    [&](bool aIsConfirmed) { results.push_back(aIsConfirmed); });
  for (const auto& [peer, stamp] : sample.after_) {
    confirmations.Record(peer, stamp);
  }
  confirmations.Tick(kUntil - 1ms);
  BOOST_TEST(results.size() == (sample.isConfirmed_ ? 1U : 0U));
  confirmations.Tick(kUntil);
  confirmations.Tick(kUntil + 1s);
  BOOST_TEST(results == std::vector<bool>{ sample.isConfirmed_ },
             boost::test_tools::per_element());
}

// Guards against a wait that ends another one or is called twice.
BOOST_AUTO_TEST_CASE(Each_wait_ends_once_and_by_its_own_stamp)
{
  PeerConfirmations confirmations;
  confirmations.SetMembers(3);
  std::vector<int> ended;
  for (int i : { 1, 2, 3 }) {
    confirmations.Await(
      static_cast<std::uint64_t>(i),
      [] { return true; },
      kUntil + i * 1ms,
      [&ended, i](bool aIsConfirmed) {
        ended.push_back(aIsConfirmed ? i : -i);
      });
  }
  confirmations.Record("b", 1);
  confirmations.Tick(kUntil + 2ms);
  confirmations.Record("c", 3);
  confirmations.Tick(kUntil + 1s);
  BOOST_TEST(ended == (std::vector<int>{ 1, -2, 3 }),
             boost::test_tools::per_element());
}

namespace {

struct RecordCase
{
  const char* name_;
  /// Whether each comes before the time is over, and which is first.
  bool hasMajority_;
  bool isRecorded_;
  bool isRecordedFirst_;
};

std::ostream&
operator<<(std::ostream& aOut, const RecordCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<RecordCase> kRecordCases{
  { "neither", false, false, false },
  { "a majority has it in memory only", true, false, false },
  { "recorded, but a majority hasn't got it", false, true, false },
  { "a majority, then recorded", true, true, false },
  { "recorded, then a majority", true, true, true },
};

} // namespace

// Guards against the acknowledgement of a replica that leaves while a kill of
// all control processes would still forget it.
BOOST_DATA_TEST_CASE(A_change_is_confirmed_once_it_is_recorded_too,
                     data::make(kRecordCases))
{
  PeerConfirmations confirmations;
  confirmations.SetMembers(3);
  bool isRecorded = false;
  std::vector<bool> results;
  confirmations.Await(
    kStamp,
    [&] { return isRecorded; },
    kUntil,
    [&](bool aIsConfirmed) { results.push_back(aIsConfirmed); });
  auto record = [&] {
    isRecorded = sample.isRecorded_;
    confirmations.Update();
  };
  if (sample.isRecordedFirst_) {
    record();
  }
  if (sample.hasMajority_) {
    confirmations.Record("b", kStamp);
  }
  if (!sample.isRecordedFirst_) {
    BOOST_TEST(results.empty());
    record();
  }
  bool isConfirmed = sample.hasMajority_ && sample.isRecorded_;
  BOOST_TEST(results.size() == (isConfirmed ? 1U : 0U));
  confirmations.Tick(kUntil);
  BOOST_TEST(results == std::vector<bool>{ isConfirmed },
             boost::test_tools::per_element());
}
