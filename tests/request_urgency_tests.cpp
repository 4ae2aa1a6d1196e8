// Which of the requests that wait at a replica it takes first, by the
// priorities of organisations and routes.
#define BOOST_TEST_MODULE request_urgency
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

struct Sender
{
  std::optional<std::uint32_t> organisation_;
  std::uint32_t route_;
};

struct Case
{
  const char* name_;
  Sender first_;
  Sender second_;
  /// Whether the second is less urgent rather than as urgent.
  bool isLess_;
};

std::ostream&
operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<Case> kCases{
  { "routes without organisations", { {}, 0 }, { {}, 1 }, true },
  { "routes of organisations of one priority", { 1, 0 }, { 1, 1 }, true },
  { "further routes", { 1, 1 }, { 1, 2 }, true },
  { "the organisation goes before the route", { 0, 2 }, { 1, 0 }, true },
  { "the same of both", { 1, 1 }, { 1, 1 }, false },
  { "the least urgent share one value", { 5, 0 }, { 9, 2 }, false },
};

int
UrgencyOf(const Sender& aSender)
{
  Route route;
  route.kind_ = RequestKind::Stream;
  route.priority_ = aSender.route_;
  PlanOrganisation organisation;
  organisation.priority_ = aSender.organisation_;
  ForwardedRequest request;
  request.route_ = &route;
  request.organisation_ = aSender.organisation_ ? &organisation : nullptr;
  CallerProtocol protocol;
  protocol.urgency_ = "Urgency";
  auto sent = MakeUpstreamRequest({}, request, {}, protocol, TimePoint());
  return std::stoi(std::string(sent.Header("Urgency")));
}

} // namespace

// Guards against replicas that serve the routes of an organisation in the order
// of arrival, because its priority replaces those of all its routes.
BOOST_TEST_DECORATOR(*boost::unit_test::label("routing"))
BOOST_DATA_TEST_CASE(More_urgent_requests_go_first, data::make(kCases), row)
{
  int first = UrgencyOf(row.first_);
  int second = UrgencyOf(row.second_);
  BOOST_TEST((row.isLess_ ? first < second : first == second));
  BOOST_TEST(first >= 0);
  BOOST_TEST(second <= 9);
}
