// Which keys let a request in, also where organisations and keys are withdrawn.
#define BOOST_TEST_MODULE organisation_key
#include "tanagerstall_forwarder_environment.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// The routes "/once/" and "/open/", of which the latter needs no key.
std::string
Document(int aNumber, const std::string& aMore)
{
  return R"({"version":)" + std::to_string(aNumber) +
         R"(,"services":[{"name":"s"}],"routes":[)"
         R"({"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe",)"
         R"("timeoutMs":1500,"service":"s"},)"
         R"({"name":"open","host":"h","pathPrefix":"/open/","kind":"unsafe",)"
         R"("timeoutMs":1500,"service":"s","anonymous":true}])" +
         aMore + "}";
}

struct KeyCase
{
  const char* name_;
  /// What the newest configuration says of organisations.
  const char* organisations_;
  const char* key_;
  int status_;
};

std::ostream&
operator<<(std::ostream& aOut, const KeyCase& aCase)
{
  return aOut << aCase.name_;
}

constexpr const char* kNobody = R"(,"tenants":[])";
constexpr const char* kOther =
  R"(,"tenants":[{"name":"o2","apiKeys":["key-2"]}])";
constexpr const char* kWithoutKeys =
  R"(,"tenants":[{"name":"o1","apiKeys":[]}])";
constexpr const char* kEmptyKey =
  R"(,"tenants":[{"name":"o1","apiKeys":[""]}])";

const std::vector<KeyCase> kKeys{
  { "no organisations, no key", "", "", 200 },
  { "no organisations, any key", "", "key-1", 200 },
  { "another organisation, its key", kOther, "key-2", 200 },
  { "another organisation, the withdrawn key", kOther, "key-1", 401 },
  { "another organisation, no key", kOther, "", 401 },
  { "the last one removed, the withdrawn key", kNobody, "key-1", 401 },
  { "the last one removed, an unknown key", kNobody, "key-3", 401 },
  { "the last one removed, no key", kNobody, "", 401 },
  { "the last key removed, the withdrawn key", kWithoutKeys, "key-1", 401 },
  { "the last key removed, no key", kWithoutKeys, "", 401 },
  { "an empty key, no key", kEmptyKey, "", 401 },
};

} // namespace

// Guards against a configuration that removes the last organisation, or its
// last key, and lets everybody in.
BOOST_DATA_TEST_CASE(Only_the_keys_of_the_newest_configuration_let_in,
                     data::make(kKeys),
                     sample)
{
  // It says that it closes, since the second request would be lost otherwise.
  ScriptedUpstream upstream(
    { WithHeader(kWhole, "Connection: close\r\n"), After::Close });
  Environment environment(
    { &upstream },
    Document(1, R"(,"tenants":[{"name":"o1","apiKeys":["key-1"]}])"));
  auto plan = std::make_shared<const TrafficPlan>(
    *platform::DecodePlan(Document(2, sample.organisations_)));
  environment.Call<bool>([&](Forwarder& aForwarder) {
    aForwarder.SetPlan(plan);
    return true;
  });
  auto answer = environment.Fetch("/once/x", "", sample.key_);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status_ == sample.status_);
  BOOST_TEST(upstream.Requests() == (sample.status_ == 200 ? 1 : 0));
  BOOST_TEST(environment.Fetch("/open/x", "", sample.key_)->status_ == 200);
}
