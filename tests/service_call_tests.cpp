// Parsing of callers' requests to plain services.
#define BOOST_TEST_MODULE service_call
#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

struct KeyCase
{
  const char* name_;
  std::vector<HttpHeader> keys_;
  /// 200 if the request is accepted.
  int status_;
};

std::ostream&
operator<<(std::ostream& aOut, const KeyCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<KeyCase> kKeyCases{
  { "one key", { { "Idempotency-Key", "a" } }, 200 },
  { "two keys",
    { { "Idempotency-Key", "a" }, { "Idempotency-Key", "b" } },
    400 },
  { "one key twice",
    { { "Idempotency-Key", "a" }, { "idempotency-key", "a" } },
    400 },
  { "a key that is too long",
    { { "Idempotency-Key", std::string(300, 'a') } },
    400 },
};

} // namespace

BOOST_DATA_TEST_CASE(Only_one_idempotency_key_of_allowed_length_is_accepted,
                     data::make(kKeyCases))
{
  Configuration configuration;
  ServiceRecord service;
  service.name_ = "orders";
  service.protocol_ = ServiceProtocol::Plain;
  configuration.services_["orders"] = service;
  configuration.organisations_["booths"] = { "booths",
                                             { Sha256Hex("booth-token") } };
  HttpRequest request{ "POST", "/v1/services/orders/new", sample.keys_, "" };
  request.headers_.push_back({ "Authorization", "Bearer booth-token" });
  auto call = ReadServiceCall(request, configuration, TimePoint());
  BOOST_TEST((call ? 200 : call.error().status_) == sample.status_);
}
