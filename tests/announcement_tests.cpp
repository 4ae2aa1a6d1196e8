// An upstream's announcement is either read completely or refused with the name
// of the invalid field.
#define BOOST_TEST_MODULE announcement
#include "tanagerstall/request/tanagerstall_announcement.hpp"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;
namespace json = boost::json;

namespace {

UpstreamInfo
MakeUpstream()
{
  UpstreamInfo info;
  info.id_ = "orders@10.0.0.1:80";
  info.service_ = "orders";
  info.address_ = "10.0.0.1:80";
  info.failureDomain_ = "seoul-a";
  info.region_ = "seoul";
  info.incarnation_ = 3;
  info.sequence_ = 4;
  info.capacity_ = 8;
  info.reportedLoad_ = 0.5;
  return info;
}

struct WrongField
{
  const char* field_;
  /// The field's JSON value; "" omits the field.
  const char* json_;
};

std::ostream&
operator<<(std::ostream& aOut, const WrongField& aCase)
{
  return aOut << aCase.field_ << " = " << aCase.json_;
}

const std::vector<WrongField> kWrongFields{
  { "service", "" },
  { "service", "7" },
  { "service", "\"\"" },
  { "service", "\"a\\nb\"" },
  { "address", "\"upstream.example:80\"" },
  { "address", "\"10.0.0.1\"" },
  { "address", "\"10.0.0.1:0\"" },
  { "region", "null" },
  { "incarnation", "-1" },
  { "incarnation", "1.5" },
  { "sequence", "\"4\"" },
  { "capacity", "0" },
  { "time_to_live_ms", "0" },
  { "time_to_live_ms", "" },
  { "price_per_hour", "-0.1" },
  { "load", "1.5" },
  { "leaving", "\"yes\"" },
  { "reclaim_in_ms", "-5" },
};

} // namespace

BOOST_AUTO_TEST_CASE(An_announcement_survives_a_round_trip,
                     *boost::unit_test::label("presence"))
{
  auto read = ReadAnnouncement(WriteAnnouncement(MakeUpstream()));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == MakeUpstream()));
}

BOOST_DATA_TEST_CASE(The_error_names_the_invalid_field,
                     data::make(kWrongFields),
                     aCase)
{
  auto body = json::parse(WriteAnnouncement(MakeUpstream())).as_object();
  body.erase(aCase.field_);
  if (*aCase.json_ != '\0') {
    body[aCase.field_] = json::parse(aCase.json_);
  }
  auto read = ReadAnnouncement(json::serialize(body));
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST(read.error().find(aCase.field_) != std::string::npos);
}

BOOST_DATA_TEST_CASE(A_body_that_is_not_an_object_is_refused,
                     data::make({ "", "[]", "{", "7", "\"x\"" }),
                     aBody)
{
  BOOST_TEST(!ReadAnnouncement(aBody).has_value());
}

BOOST_AUTO_TEST_CASE(A_reclaim_notice_marks_the_upstream_as_leaving,
                     *boost::unit_test::label("presence"))
{
  auto body = json::parse(WriteAnnouncement(MakeUpstream())).as_object();
  body["reclaim_in_ms"] = 30000;
  auto read = ReadAnnouncement(json::serialize(body));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->isLeaving_);
}
