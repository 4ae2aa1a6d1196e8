// Which control process an entry takes a newer declaration from.
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

/// A control process tells a number at a time; then the entry may ask it.
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
  std::uint64_t held_;
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
  { "nothing newer is asked for",
    7,
    { { kAtOnce, "a", SameRegion(7), false } } },
  { "the first near one is asked, and no other",
    7,
    { { kAtOnce, "a", SameRegion(8), true },
      { kSoon, "b", SameRegion(8), false },
      { kSoon, "c", OtherRegion(8), false },
      { kLater, "a", SameRegion(8), false } } },
  { "a far one waits for a near one",
    7,
    { { kAtOnce, "far", OtherRegion(8), false },
      { kSoon, "near", SameRegion(8), true },
      { kLater, "far", OtherRegion(8), false } } },
  { "a far one is asked where no near one knows it",
    7,
    { { kAtOnce, "far", OtherRegion(8), false },
      { kSoon, "near", SameRegion(7), false },
      { kLater, "far", OtherRegion(8), true } } },
  { "a near leader waits for another near one",
    7,
    { { kAtOnce, "leader", { 8, true, true }, false },
      { kSoon, "near", SameRegion(8), true } } },
  { "a far leader is the last",
    7,
    { { kAtOnce, "leader", { 8, false, true }, false },
      { kLater, "leader", { 8, false, true }, false },
      { kMuchLater, "leader", { 8, false, true }, true } } },
  { "the only one is asked in the end",
    0,
    { { kAtOnce, "leader", { 1, true, true }, false },
      { kLater, "leader", { 1, true, true }, true } } },
  { "another is asked where one doesn't answer",
    7,
    { { kAtOnce, "a", SameRegion(8), true },
      { kSoon, "b", SameRegion(8), false },
      { kAfterTimeout, "b", SameRegion(8), true } } },
  { "a still newer one waits for the one that is on its way",
    7,
    { { kAtOnce, "a", SameRegion(8), true },
      { kSoon, "b", SameRegion(9), false } } },
  { "a still newer one is asked for once the other has come",
    8,
    { { kAtOnce, "a", SameRegion(8), false },
      { kSoon, "b", SameRegion(9), true } } },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(An_entry_takes_one_copy_of_a_declaration_from_near,
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

// Nine control processes tell nine hundred entries; each takes one copy.
BOOST_AUTO_TEST_CASE(Many_entries_take_one_copy_each,
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
