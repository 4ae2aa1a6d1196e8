// Which requests ask for the same.
#define BOOST_TEST_MODULE request_fingerprint
#include "tanagerstall/request/tanagerstall_request_fingerprint.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

struct FingerprintCase
{
  const char* name_;
  HttpRequest request_;
  std::string organisation_;
  bool isSame_;
};

std::ostream&
operator<<(std::ostream& aOut, const FingerprintCase& aCase)
{
  return aOut << aCase.name_;
}

const HttpRequest kRequest{ "POST", "/a/b?c=1", { { "Host", "h" } }, "body" };

const std::vector<FingerprintCase> kCases = {
  { "another id and deadline",
    { "POST",
      "/a/b?c=1",
      { { "Host", "H:80" }, { "Tanagerstall-Request-Id", "2" } },
      "body" },
    "one",
    true },
  { "another organisation", kRequest, "two", false },
  { "no organisation", kRequest, "", false },
  { "another method",
    { "PUT", "/a/b?c=1", { { "Host", "h" } }, "body" },
    "one",
    false },
  { "another host",
    { "POST", "/a/b?c=1", { { "Host", "i" } }, "body" },
    "one",
    false },
  { "another query",
    { "POST", "/a/b?c=2", { { "Host", "h" } }, "body" },
    "one",
    false },
  { "another body",
    { "POST", "/a/b?c=1", { { "Host", "h" } }, "bodY" },
    "one",
    false },
  { "the path ends later",
    { "POST", "/a/b?c=1b", { { "Host", "h" } }, "ody" },
    "one",
    false },
};

} // namespace

// Guards against requests that are taken for one another, or for different ones
// because each has its own id.
BOOST_DATA_TEST_CASE(Requests_that_ask_for_the_same_have_one_fingerprint,
                     data::make(kCases),
                     row)
{
  auto first = FingerprintOf(kRequest, "one");
  auto second = FingerprintOf(row.request_, row.organisation_);
  BOOST_TEST((first == second) == row.isSame_);
}
