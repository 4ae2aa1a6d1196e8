// Tests when the directory of entries expires an entry and which changes
// increase its version.
#define BOOST_TEST_MODULE entry_directory
#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

struct Row
{
  std::string name_;
  std::function<void(EntryInfo&)> change_;
  Duration delay_;
  bool isNewVersion_;
};

std::ostream&
operator<<(std::ostream& aOut, const Row& aRow)
{
  return aOut << aRow.name_;
}

constexpr auto kOneSecond = std::chrono::seconds(1);

const Row kRows[] = {
  { "unchanged report", [](EntryInfo&) {}, kOneSecond, false },
  { "another revision",
    [](EntryInfo& aEntry) { aEntry.revision_ = 9; },
    kOneSecond,
    false },
  { "draining",
    [](EntryInfo& aEntry) { aEntry.isDraining_ = true; },
    kOneSecond,
    true },
  { "another address",
    [](EntryInfo& aEntry) { aEntry.callerAddress_ = "127.0.0.1:2"; },
    kOneSecond,
    true },
  { "an earlier incarnation",
    [](EntryInfo& aEntry) {
      aEntry.incarnation_ = 4;
      aEntry.isDraining_ = true;
    },
    kOneSecond,
    false },
  { "report after expiry", [](EntryInfo&) {}, std::chrono::seconds(6), true },
};

EntryInfo
MakeEntry()
{
  EntryInfo entry;
  entry.id_ = "entry-1";
  entry.incarnation_ = 5;
  return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(directory, *boost::unit_test::label("configuration"))

BOOST_DATA_TEST_CASE(The_version_grows_with_changes_visible_to_callers,
                     data::make(kRows))
{
  PausedClock clock;
  EntryDirectory directory;
  directory.Observe(MakeEntry(), clock.Now());
  auto before = directory.Version(clock.Now());
  clock.Advance(sample.delay_);
  EntryInfo next = MakeEntry();
  sample.change_(next);
  directory.Observe(next, clock.Now());
  BOOST_TEST((directory.Version(clock.Now()) > before) == sample.isNewVersion_);
  BOOST_TEST(directory.Present(clock.Now()).size() == 1);
}

BOOST_AUTO_TEST_CASE(An_expired_entry_increments_the_version_once)
{
  PausedClock clock;
  EntryDirectory directory;
  directory.Observe(MakeEntry(), clock.Now());
  auto before = directory.Version(clock.Now());
  clock.Advance(std::chrono::seconds(5));
  BOOST_TEST(directory.Present(clock.Now()).empty());
  BOOST_TEST(directory.Version(clock.Now()) == before + 1);
  BOOST_TEST(directory.Version(clock.Now()) == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()
