// Which hosts of a configuration and of a request are the same.
#define BOOST_TEST_MODULE host_name
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct HostCase
{
  const char* configured_;
  const char* requested_;
  bool isSame_;
};

std::ostream&
operator<<(std::ostream& aOut, const HostCase& aCase)
{
  return aOut << aCase.configured_ << " and " << aCase.requested_;
}

const std::vector<HostCase> kCases{
  { "shop.example", "shop.example", true },
  { "Booth.Example", "Booth.Example", true },
  { "Booth.Example", "booth.example", true },
  { "booth.example", "BOOTH.EXAMPLE", true },
  { "booth.example", "Booth.Example:8080", true },
  { "booth.example", "booth.example.", true },
  { "Booth.Example.", "booth.example:80", true },
  { "booth.example:8080", "booth.example", true },
  { "10.0.0.1", "10.0.0.1:80", true },
  { "[FE80::1]", "[fe80::1]:80", true },
  { "[fe80::1]", "[fe80::1]", true },
  { "[fe80::1]", "[fe80::2]", false },
  { "booth.example", "booth.examples", false },
  { "booth.example", "a.booth.example", false },
  { "booth.example", "", false },
};

Route
MakeRoute(const char* aName, const char* aHost)
{
  Route route;
  route.name_ = aName;
  route.host_ = aHost;
  route.pathPrefix_ = "/a/";
  route.timeout_ = 1s;
  route.services_ = { { "s", 1 } };
  return route;
}

} // namespace

// Guards against a host that the configuration and requests spell alike, but
// with capital letters, and that is never found.
BOOST_DATA_TEST_CASE(A_request_finds_its_host_in_any_spelling,
                     data::make(kCases))
{
  TrafficPlan plan;
  plan.services_["s"].name_ = "s";
  plan.routes_ = { MakeRoute("r", sample.configured_) };
  BOOST_REQUIRE(plan.ValidateAndIndex().has_value());
  HttpRequest request;
  request.headers_ = { { "Host", sample.requested_ } };
  const Route* route = plan.FindRoute(HostOf(request), "/a/x");
  BOOST_TEST((route != nullptr) == sample.isSame_);
  BOOST_TEST(plan.routes_.front().host_ == sample.configured_);
}

// Guards against two routes of one host of which only one is ever found.
BOOST_DATA_TEST_CASE(Routes_of_one_host_in_two_spellings_share_it,
                     data::make(kCases))
{
  TrafficPlan plan;
  plan.services_["s"].name_ = "s";
  plan.routes_ = { MakeRoute("r1", sample.configured_),
                   MakeRoute("r2", sample.requested_) };
  auto result = plan.ValidateAndIndex();
  BOOST_TEST(result.has_value() == !sample.isSame_);
  if (!result) {
    BOOST_TEST(result.error().message_.starts_with("two routes share \""));
  }
}
