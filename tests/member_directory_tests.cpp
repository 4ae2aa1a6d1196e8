// What a leader may write to the log while members of several builds run.
#define BOOST_TEST_MODULE member_directory
#include "tanagerstall/process/tanagerstall_member_directory.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

struct Case
{
  const char* name_;
  std::vector<std::string> members_;
  /// Whether the members are of a build that can do all.
  std::map<std::string, bool> canAll_;
  DocumentEncoding encoding_;
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.name_;
}

constexpr auto kPlain = DocumentEncoding::Plain;
constexpr auto kCompressed = DocumentEncoding::Compressed;
constexpr std::uint16_t kPort = 7601;

const std::vector<Case> kCases = {
  { "no member", {}, {}, kPlain },
  { "nothing known", { "10.0.0.1:7600" }, {}, kPlain },
  { "all can",
    { "10.0.0.1:7600", "10.0.0.2:7600" },
    { { "10.0.0.1:7601", true }, { "10.0.0.2:7601", true } },
    kCompressed },
  { "one is of an older build",
    { "10.0.0.1:7600", "10.0.0.2:7600" },
    { { "10.0.0.1:7601", true }, { "10.0.0.2:7601", false } },
    kPlain },
  { "one was never heard of",
    { "10.0.0.1:7600", "10.0.0.2:7600" },
    { { "10.0.0.1:7601", true } },
    kPlain },
  { "one that has left is of an older build",
    { "10.0.0.1:7600" },
    { { "10.0.0.1:7601", true }, { "10.0.0.2:7601", false } },
    kCompressed },
};

} // namespace

// Guards against a compressed declaration or a roll-out in the log that a
// member of an older build can't apply.
BOOST_TEST_DECORATOR(*boost::unit_test::label("configuration"))
BOOST_DATA_TEST_CASE(Commands_are_proposed_once_all_members_can_apply_them,
                     data::make(kCases),
                     row)
{
  Membership members;
  for (const auto& address : row.members_) {
    Member member;
    member.memberAddress_ = address;
    members.push_back(member);
  }
  MemberDirectory directory;
  directory.Update(members, kPort);
  for (const auto& [address, can] : row.canAll_) {
    directory.RecordCapabilities(address, { !can, !can, !can });
    directory.RecordCapabilities(address, { can, can, can });
  }
  BOOST_TEST((directory.CommandEncoding() == row.encoding_));
  BOOST_TEST(directory.CanAllApplyRollouts() == (row.encoding_ == kCompressed));
  BOOST_TEST(directory.CanAllApplyNumberZero() ==
             (row.encoding_ == kCompressed));
  BOOST_TEST(directory.Addresses().size() == row.members_.size());
}

// Guards against a roll-out in the log while members read compressed
// declarations but are of a build without roll-outs.
BOOST_AUTO_TEST_CASE(Each_capability_counts_by_itself)
{
  MemberDirectory directory;
  Member member;
  member.memberAddress_ = "10.0.0.1:7600";
  directory.Update({ member }, kPort);
  directory.RecordCapabilities("10.0.0.1:7601", { true, false, false });
  BOOST_TEST((directory.CommandEncoding() == kCompressed));
  BOOST_TEST(!directory.CanAllApplyRollouts());
  directory.RecordCapabilities("10.0.0.1:7601", { true, true, false });
  BOOST_TEST(directory.CanAllApplyRollouts());
  BOOST_TEST(!directory.CanAllApplyNumberZero());
}
