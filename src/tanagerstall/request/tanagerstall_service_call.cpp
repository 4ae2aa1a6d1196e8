#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <optional>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kTimeoutHeader = "Tanagerstall-Timeout-Ms";
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::size_t kMaxTokenBytes = 512;
constexpr std::size_t kMaxKeyBytes = 256;
/// The assumed size of a token, to estimate prompt tokens from the body size.
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 512;
constexpr std::uint64_t kDefaultMaxTokens = 256;

using Refused = tl::unexpected<HttpResponse>;

Refused
Refuse(int aStatus, std::string_view aCode, std::string_view aMessage)
{
  return tl::make_unexpected(
    RefusalResponse(aStatus, Outcome::NotRun, aCode, aMessage));
}

/// Returns the timeout that the caller requests, or nothing if it sets none.
tl::expected<std::optional<std::chrono::milliseconds>, HttpResponse>
ReadTimeout(const HttpRequest& aRequest)
{
  std::string_view text = aRequest.Header(kTimeoutHeader);
  if (text.empty()) {
    return std::nullopt;
  }
  std::uint32_t milliseconds = 0;
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size() ||
      milliseconds == 0) {
    return Refuse(400,
                  "malformed_timeout",
                  "Tanagerstall-Timeout-Ms has to be a positive number");
  }
  return std::chrono::milliseconds(milliseconds);
}

/// Whether a header field is forwarded to upstreams. All others, such as
/// hop-by-hop fields and credentials, end at the entry.
bool
IsForwarded(std::string_view aName)
{
  constexpr std::string_view kForwarded[] = {
    "Content-Type", "Accept", "Accept-Language", kKeyHeader
  };
  for (auto name : kForwarded) {
    if (EqualsIgnoringCase(aName, name)) {
      return true;
    }
  }
  return false;
}

/// Copies the request for the upstream, with the forwarded header fields only.
HttpRequest
CopyForUpstream(const HttpRequest& aRequest, std::string aTarget)
{
  HttpRequest copy{ aRequest.method_, std::move(aTarget), {}, aRequest.body_ };
  for (const auto& header : aRequest.headers_) {
    if (IsForwarded(header.name_)) {
      copy.headers_.push_back(header);
    }
  }
  return copy;
}

tl::expected<const ServiceRecord*, HttpResponse>
FindService(const Configuration& aConfiguration,
            std::string_view aName,
            ServiceProtocol aProtocol)
{
  auto it = aConfiguration.services_.find(aName);
  if (it == aConfiguration.services_.end() ||
      it->second.protocol_ != aProtocol) {
    return Refuse(404, "unknown_service", "no such service is configured");
  }
  return &it->second;
}

/// Returns a hash of the prompt's first bytes, which is equal for prompts that
/// share them; 0 if there is no prompt.
std::uint64_t
PrefixHash(const json::object& aBody)
{
  for (const auto* name : { "messages", "prompt" }) {
    if (const json::value* prompt = aBody.if_contains(name)) {
      std::string text = json::serialize(*prompt).substr(0, kPrefixBytes);
      return Checksum(ViewOf(text));
    }
  }
  return 0;
}

tl::expected<ServiceCall, HttpResponse>
ReadModelCall(const HttpRequest& aRequest, const Configuration& aConfiguration)
{
  json::error_code error;
  json::value body = json::parse(aRequest.body_.Text(), error);
  const json::object* object = error ? nullptr : body.if_object();
  const json::value* model =
    object == nullptr ? nullptr : object->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Refuse(
      400, "malformed_body", "the body has to be a JSON object with a model");
  }
  auto service = FindService(aConfiguration,
                             json::value_to<std::string>(*model),
                             ServiceProtocol::Model);
  if (!service) {
    return tl::make_unexpected(service.error());
  }
  ServiceCall call;
  call.service_ = **service;
  call.rule_ = { "*", "/", true, false };
  const json::value* maxTokens = object->if_contains("max_tokens");
  call.traits_.maxTokens_ = maxTokens != nullptr && maxTokens->is_int64()
                              ? maxTokens->get_int64()
                              : kDefaultMaxTokens;
  call.traits_.promptTokens_ = aRequest.body_.size() / kBytesPerToken;
  call.traits_.prefixHash_ = PrefixHash(*object);
  call.upstreamRequest_ = CopyForUpstream(aRequest, aRequest.target_);
  return call;
}

tl::expected<ServiceCall, HttpResponse>
ReadPlainCall(const HttpRequest& aRequest, const Configuration& aConfiguration)
{
  std::string_view rest = aRequest.target_;
  rest.remove_prefix(kServicesPrefix.size());
  auto slash = rest.find('/');
  std::string_view name = rest.substr(0, slash);
  std::string path =
    slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  auto service = FindService(aConfiguration, name, ServiceProtocol::Plain);
  if (!service) {
    return tl::make_unexpected(service.error());
  }
  ServiceCall call;
  call.service_ = **service;
  call.rule_ = call.service_.RuleFor(aRequest.method_, path);
  if (CountHeaders(aRequest.headers_, kKeyHeader) > 1) {
    return Refuse(400, "key_twice", "a request has one Idempotency-Key");
  }
  call.idempotencyKey_ = std::string(aRequest.Header(kKeyHeader));
  call.isAsyncPreferred_ =
    aRequest.Header("Prefer").starts_with("respond-async") &&
    !call.idempotencyKey_.empty();
  if (call.idempotencyKey_.size() > kMaxKeyBytes) {
    return Refuse(400, "key_too_long", "the idempotency key is too long");
  }
  if (!call.rule_.isIdempotent_ && call.rule_.isKeyRequired_ &&
      call.idempotencyKey_.empty()) {
    return Refuse(400, "key_missing", "this request needs an Idempotency-Key");
  }
  call.upstreamRequest_ = CopyForUpstream(aRequest, std::move(path));
  return call;
}

} // namespace

const OrganisationRecord*
FindOrganisation(const HttpRequest& aRequest,
                 const Configuration& aConfiguration)
{
  std::string_view value = aRequest.Header("Authorization");
  if (!value.starts_with(kBearerPrefix) || value.size() > kMaxTokenBytes) {
    return nullptr;
  }
  return aConfiguration.FindByToken(value.substr(kBearerPrefix.size()));
}

HttpResponse
UnauthorisedResponse()
{
  return RefusalResponse(
    401, Outcome::NotRun, "unauthorised", "the bearer token is not known");
}

tl::expected<ServiceCall, HttpResponse>
ReadServiceCall(const HttpRequest& aRequest,
                const Configuration& aConfiguration,
                TimePoint aNow)
{
  const OrganisationRecord* organisation =
    FindOrganisation(aRequest, aConfiguration);
  if (organisation == nullptr) {
    return tl::make_unexpected(UnauthorisedResponse());
  }
  bool isModel = aRequest.target_ == "/v1/chat/completions" ||
                 aRequest.target_ == "/v1/completions";
  bool isPlain = aRequest.target_.starts_with(kServicesPrefix);
  if (!isModel && !isPlain) {
    return Refuse(404, "unknown_path", "there is nothing at this path");
  }
  if (isModel && aRequest.method_ != "POST") {
    return Refuse(405, "method_not_allowed", "completions take POST");
  }
  auto timeout = ReadTimeout(aRequest);
  if (!timeout) {
    return tl::make_unexpected(timeout.error());
  }
  auto call = isModel ? ReadModelCall(aRequest, aConfiguration)
                      : ReadPlainCall(aRequest, aConfiguration);
  if (call) {
    call->traits_.service_ = call->service_.name_;
    call->traits_.organisation_ = organisation->name_;
    call->traits_.weight_ = organisation->weight_;
    auto whole = call->service_.target_.whole_;
    call->traits_.deadline_ =
      aNow + (*timeout ? std::min(**timeout, whole) : whole);
  }
  return call;
}

} // namespace tanagerstall
