// What entries report of crashes reaches the leader as it was written.
#define BOOST_TEST_MODULE crash_codec
#include "tanagerstall/connection/tanagerstall_crash_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>

using namespace tanagerstall;
using std::chrono::milliseconds;

// Guards against evidence of requests that is lost on its way, or taken for
// that of prompt parts by a member that doesn't know it.
BOOST_AUTO_TEST_CASE(Evidence_of_requests_is_sent_apart_from_prompt_parts)
{
  CrashReport report;
  report.prompts_ = { 5, 1, { { 7, 1, 70, milliseconds(2), true } }, {} };
  report.services_["one"] = {
    9, 2, { { 8, 2, 80, milliseconds(3), false } }, { { 6, milliseconds(4) } }
  };
  report.services_["two"] = { 3, 0, {}, {} };
  report.quarantined_ = { { 4, milliseconds(5000) } };
  capnp::MallocMessageBuilder message;
  auto wire = message.initRoot<wire::SyncRequest>();
  WriteCrashes(wire, report);
  BOOST_TEST(wire.asReader().getPromptEvidence().getCrashes().size() == 1U);
  CrashReport read = ReadCrashes(wire.asReader());
  BOOST_TEST(read.Lost() == 3U);
  BOOST_REQUIRE(read.prompts_.crashes_.size() == 1U);
  BOOST_TEST(read.prompts_.crashes_[0].cause_ == 7U);
  BOOST_REQUIRE(read.services_.size() == 2U);
  BOOST_TEST(read.services_["two"].answered_ == 3U);
  const LossEvidence& one = read.services_["one"];
  BOOST_TEST(one.answered_ == 9U);
  BOOST_REQUIRE(one.crashes_.size() == 1U);
  BOOST_TEST(one.crashes_[0].cause_ == 8U);
  BOOST_TEST(one.crashes_[0].loss_ == 2U);
  BOOST_TEST(one.crashes_[0].replica_ == 80U);
  BOOST_TEST(one.crashes_[0].age_.count() == 3);
  BOOST_TEST(!one.crashes_[0].wasAnswered_);
  BOOST_REQUIRE(one.successes_.size() == 1U);
  BOOST_TEST(one.successes_[0].cause_ == 6U);
  BOOST_REQUIRE(read.quarantined_.size() == 1U);
  BOOST_TEST(read.quarantined_[0].cause_ == 4U);
}
