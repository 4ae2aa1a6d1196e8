// Selection of the control member from which an entry downloads a newer
// declaration.
#define BOOST_TEST_MODULE declaration_source
#include "tanagerstall/version/tanagerstall_declaration_source.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace tanagerstall;
using std::chrono::milliseconds;
namespace data = boost::unit_test::data;

namespace {

/// A control member reports a declaration; then the entry is about to send it a
/// message, which may request the declaration.
struct Step
{
  milliseconds at_;
  const char* control_;
  DeclarationUpdate update_;
  bool isRequested_;
};

struct Case
{
  const char* name_;
  DeclarationNumber held_;
  std::vector<Step> steps_;
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.name_;
}

constexpr milliseconds kAtOnce(0);
constexpr milliseconds kSoon(100);
constexpr milliseconds kLater(300);
constexpr milliseconds kMuchLater(600);
constexpr milliseconds kAfterTimeout(1500);

DeclarationUpdate
SameRegion(std::uint64_t aNumber)
{
  return { aNumber, true, false };
}

DeclarationUpdate
OtherRegion(std::uint64_t aNumber)
{
  return { aNumber, false, false };
}

const std::vector<Case> kCases = {
  { "a declaration that is not newer is not requested",
    7,
    { { kAtOnce, "a", SameRegion(7), false } } },
  { "only the first member of the same region is asked",
    7,
    { { kAtOnce, "a", SameRegion(8), true },
      { kSoon, "b", SameRegion(8), false },
      { kSoon, "c", OtherRegion(8), false },
      { kLater, "a", SameRegion(8), false } } },
  { "a member of another region is passed over for one of the same",
    7,
    { { kAtOnce, "far", OtherRegion(8), false },
      { kSoon, "near", SameRegion(8), true },
      { kLater, "far", OtherRegion(8), false } } },
  { "another region is asked if the same region is not up to date",
    7,
    { { kAtOnce, "far", OtherRegion(8), false },
      { kSoon, "near", SameRegion(7), false },
      { kLater, "far", OtherRegion(8), true } } },
  { "the leader is passed over for a follower of the same region",
    7,
    { { kAtOnce, "leader", { 8, true, true }, false },
      { kSoon, "near", SameRegion(8), true } } },
  { "the leader of another region is asked last",
    7,
    { { kAtOnce, "leader", { 8, false, true }, false },
      { kLater, "leader", { 8, false, true }, false },
      { kMuchLater, "leader", { 8, false, true }, true } } },
  { "a leader that is the only member is asked after a delay",
    0,
    { { kAtOnce, "leader", { 1, true, true }, false },
      { kLater, "leader", { 1, true, true }, true } } },
  { "another member is asked if the first does not answer",
    7,
    { { kAtOnce, "a", SameRegion(8), true },
      { kSoon, "b", SameRegion(8), false },
      { kAfterTimeout, "b", SameRegion(8), true } } },
  { "a newer declaration waits for the one being downloaded",
    7,
    { { kAtOnce, "a", SameRegion(8), true },
      { kSoon, "b", SameRegion(9), false } } },
  { "a newer declaration is requested after the previous arrived",
    8,
    { { kAtOnce, "a", SameRegion(8), false },
      { kSoon, "b", SameRegion(9), true } } },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(Requests_one_copy_preferably_from_the_same_region,
                     data::make(kCases),
                     row)
{
  DeclarationSource source;
  TimePoint start = PausedClock().Now();
  for (const auto& step : row.steps_) {
    TimePoint now = start + step.at_;
    source.OnUpdate(step.control_, step.update_, now);
    BOOST_TEST(source.ShouldRequestFrom(step.control_, row.held_, now) ==
               step.isRequested_);
  }
}

// Guards against entries that request the same declaration from several of nine
// control members and so multiply the load on narrow links.
BOOST_AUTO_TEST_CASE(Nine_hundred_entries_request_one_copy_each,
                     *boost::unit_test::label("configuration"))
{
  TimePoint now = PausedClock().Now();
  int copies = 0;
  for (int entry = 0; entry < 900; ++entry) {
    DeclarationSource source;
    for (int control = 0; control < 9; ++control) {
      std::string name = "control-" + std::to_string(control);
      source.OnUpdate(name, { 2, control % 2 == 0, control == 0 }, now);
      copies += source.ShouldRequestFrom(name, 1, now) ? 1 : 0;
    }
  }
  BOOST_TEST(copies == 900);
}

namespace {

struct ConfirmationCase
{
  const char* name_;
  std::vector<DeclarationUpdate> updates_;
  std::uint64_t held_;
  Duration after_;
  bool isConfirmed_;
};

std::ostream&
operator<<(std::ostream& aOut, const ConfirmationCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<ConfirmationCase> kConfirmationCases{
  { "no member has answered", {}, 0, std::chrono::hours(1), false },
  { "only a lagging member", { { 7, true, false } }, 7, kSoon, false },
  { "the leader has a newer one",
    { { 7, true, false }, { 9, false, true } },
    7,
    std::chrono::hours(1),
    false },
  { "the leader has the same one",
    { { 9, true, false }, { 9, false, true } },
    9,
    kAtOnce,
    true },
  { "newer than the leader's last report",
    { { 8, true, true } },
    9,
    kSoon,
    true },
  { "no leader for a long time",
    { { 7, true, false } },
    7,
    std::chrono::seconds(4),
    true },
};

} // namespace

// Guards against a restarted entry that brings a withdrawn key back because
// the first member to answer lags behind.
BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(A_declaration_is_confirmed_by_the_leader,
                     data::make(kConfirmationCases),
                     row)
{
  DeclarationSource source;
  TimePoint start = PausedClock().Now();
  for (const auto& update : row.updates_) {
    source.OnUpdate("control", update, start);
  }
  BOOST_TEST(source.IsConfirmed(row.held_, start + row.after_) ==
             row.isConfirmed_);
}
