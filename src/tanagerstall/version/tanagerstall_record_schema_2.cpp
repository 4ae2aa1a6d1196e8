#include "tanagerstall/version/tanagerstall_field_reader.hpp"
#include "tanagerstall/version/tanagerstall_record_schema.hpp"

#include <algorithm>
#include <boost/json/value_from.hpp>
#include <cmath>
#include <set>

namespace tanagerstall {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

constexpr int kSchema = 2;

constexpr NumberRange kTokenTimes{ 1, 600'000, "milliseconds" };
constexpr NumberRange kWholeTimes{ 1, 86'400'000, "milliseconds" };
constexpr NumberRange kDiscoveryTimes{ 100, 60'000, "milliseconds" };
constexpr NumberRange kRetentionTimes{ 1000, 2'592'000'000, "milliseconds" };
constexpr NumberRange kCounts{ 0, 100'000, "replicas" };
constexpr NumberRange kWeights{ 0.01, 1000, "shares" };
constexpr NumberRange kConcurrent{ 0, 1'000'000, "requests" };
constexpr NumberRange kRatios{ 0, 1, "of the requests" };
constexpr NumberRange kLinkBytes{ 0, 12'500'000'000, "bytes a second" };
constexpr NumberRange kPrices{ 0, 1'000'000, "currency units an hour" };

using Read = tl::expected<TypedRecord, RecordError>;

milliseconds
ReadTime(FieldReader& aFields,
         std::string_view aName,
         milliseconds aDefault,
         NumberRange aRange)
{
  return milliseconds(aFields.Integer(aName, aDefault.count(), aRange));
}

void
ReadRules(FieldReader& aFields, ServiceRecord& aService)
{
  std::set<std::pair<std::string, std::string>> seen;
  for (FieldReader& fields : aFields.Objects("requests")) {
    RequestRule rule;
    rule.method_ = fields.RequiredText("method");
    rule.pathPrefix_ = fields.RequiredText("path_prefix");
    rule.isIdempotent_ = fields.RequiredFlag("idempotent");
    rule.isKeyRequired_ = fields.Flag("key_required", true);
    if (auto message = CheckMethod(rule.method_); !message.empty()) {
      fields.ReportError("method", message);
    }
    if (auto message = CheckPathPrefix(rule.pathPrefix_); !message.empty()) {
      fields.ReportError("path_prefix", message);
    }
    if (!seen.emplace(rule.method_, rule.pathPrefix_).second) {
      fields.ReportError("path_prefix", "repeats an earlier rule");
    }
    auto finished = fields.Finish(
      { { "match",
          "is a field of schema 1; schema 2 has method and path_prefix" },
        { "repeatable", "is a field of schema 1; schema 2 has idempotent" } });
    if (!finished) {
      aFields.PropagateError(fields);
    }
    aService.rules_.push_back(rule);
  }
}

Read
ReadService(FieldReader& aFields, const std::string& aName)
{
  ServiceRecord service;
  service.name_ = aName;
  std::string protocol = aFields.RequiredText("protocol");
  if (protocol != "model" && protocol != "plain") {
    aFields.ReportError("protocol", "must be \"model\" or \"plain\"");
  }
  service.protocol_ =
    protocol == "model" ? ServiceProtocol::Model : ServiceProtocol::Plain;
  LatencyTarget& target = service.target_;
  target.firstToken_ =
    ReadTime(aFields, "first_token_ms", target.firstToken_, kTokenTimes);
  target.betweenTokens_ =
    ReadTime(aFields, "between_tokens_ms", target.betweenTokens_, kTokenTimes);
  target.whole_ = ReadTime(aFields, "whole_ms", target.whole_, kWholeTimes);
  ReadRules(aFields, service);
  auto finished = aFields.Finish(
    { { "first_token_seconds",
        "is a field of schema 1; schema 2 has first_token_ms" },
      { "whole_seconds", "is a field of schema 1; schema 2 has whole_ms" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return service;
}

Read
ReadReplicas(FieldReader& aFields, const std::string& aName)
{
  ReplicasRecord replicas;
  replicas.service_ = aName;
  replicas.count_ =
    static_cast<std::uint32_t>(aFields.RequiredInteger("count", kCounts));
  replicas.failureDomains_ = aFields.TextList("failure_domains");
  replicas.instanceClasses_ = aFields.TextList("instance_classes");
  replicas.model_ = aFields.Text("model");
  replicas.version_ = aFields.Text("version");
  if (replicas.version_.find('@') != std::string::npos) {
    aFields.ReportError("version", "must not contain \"@\"");
  }
  if (replicas.model_.empty() && !replicas.version_.empty()) {
    aFields.ReportError("version", "needs a model");
  }
  auto finished = aFields.Finish(
    { { "failure_domain",
        "is a field of schema 1; schema 2 has failure_domains" },
      { "instance_class",
        "is a field of schema 1; schema 2 has instance_classes" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return replicas;
}

Read
ReadOrganisation(FieldReader& aFields, const std::string& aName)
{
  OrganisationRecord organisation;
  organisation.name_ = aName;
  organisation.tokenHashes_ = aFields.TextList("token_hashes");
  organisation.weight_ =
    aFields.Number("weight", organisation.weight_, kWeights);
  organisation.maxConcurrent_ = static_cast<std::uint32_t>(
    aFields.Integer("max_concurrent", 0, kConcurrent));
  std::set<std::string> seen;
  for (const std::string& hash : organisation.tokenHashes_) {
    if (auto message = CheckTokenHash(hash); !message.empty()) {
      aFields.ReportError("token_hashes", message);
    }
    if (!seen.insert(hash).second) {
      aFields.ReportError("token_hashes", "names a hash twice");
    }
  }
  auto finished = aFields.Finish(
    { { "token_hash", "is a field of schema 1; schema 2 has token_hashes" },
      { "weight_percent", "is a field of schema 1; schema 2 has weight" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return organisation;
}

Read
ReadPolicy(FieldReader& aFields)
{
  PolicyRecord policy;
  policy.retryRatio_ =
    aFields.Number("retry_ratio", policy.retryRatio_, kRatios);
  policy.hedgeRatio_ =
    aFields.Number("hedge_ratio", policy.hedgeRatio_, kRatios);
  policy.linkBytesPerSecond_ = static_cast<std::uint64_t>(
    aFields.Integer("link_bytes_per_second",
                    static_cast<std::int64_t>(policy.linkBytesPerSecond_),
                    kLinkBytes));
  policy.maxPricePerHour_ =
    aFields.Number("max_price_per_hour", policy.maxPricePerHour_, kPrices);
  policy.discoveryTimeToLive_ = ReadTime(aFields,
                                         "discovery_time_to_live_ms",
                                         policy.discoveryTimeToLive_,
                                         kDiscoveryTimes);
  policy.answerRetention_ = ReadTime(
    aFields, "answer_retention_ms", policy.answerRetention_, kRetentionTimes);
  auto finished = aFields.Finish(
    { { "retry_percent", "is a field of schema 1; schema 2 has retry_ratio" },
      { "link_megabits_per_second",
        "is a field of schema 1; schema 2 has link_bytes_per_second" },
      { "max_price_cents_per_hour",
        "is a field of schema 1; schema 2 has max_price_per_hour" },
      { "discovery_seconds",
        "is a field of schema 1; schema 2 has discovery_time_to_live_ms" },
      { "answer_retention_hours",
        "is a field of schema 1; schema 2 has answer_retention_ms" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return policy;
}

json::array
ToArray(const std::vector<std::string>& aTexts)
{
  return json::value_from(aTexts).as_array();
}

void
Write(json::object& aTo, const ServiceRecord& aService)
{
  aTo["protocol"] =
    aService.protocol_ == ServiceProtocol::Model ? "model" : "plain";
  aTo["first_token_ms"] = aService.target_.firstToken_.count();
  aTo["between_tokens_ms"] = aService.target_.betweenTokens_.count();
  aTo["whole_ms"] = aService.target_.whole_.count();
  json::array rules;
  for (const RequestRule& rule : aService.rules_) {
    rules.push_back({ { "method", rule.method_ },
                      { "path_prefix", rule.pathPrefix_ },
                      { "idempotent", rule.isIdempotent_ },
                      { "key_required", rule.isKeyRequired_ } });
  }
  aTo["requests"] = rules;
}

void
Write(json::object& aTo, const ReplicasRecord& aReplicas)
{
  aTo["count"] = aReplicas.count_;
  aTo["failure_domains"] = ToArray(aReplicas.failureDomains_);
  aTo["instance_classes"] = ToArray(aReplicas.instanceClasses_);
  aTo["model"] = aReplicas.model_;
  aTo["version"] = aReplicas.version_;
}

void
Write(json::object& aTo, const OrganisationRecord& aOrganisation)
{
  aTo["token_hashes"] = ToArray(aOrganisation.tokenHashes_);
  aTo["weight"] = ToNumber(aOrganisation.weight_);
  aTo["max_concurrent"] = aOrganisation.maxConcurrent_;
}

void
Write(json::object& aTo, const PolicyRecord& aPolicy)
{
  aTo["retry_ratio"] = ToNumber(aPolicy.retryRatio_);
  aTo["hedge_ratio"] = ToNumber(aPolicy.hedgeRatio_);
  aTo["link_bytes_per_second"] = aPolicy.linkBytesPerSecond_;
  aTo["max_price_per_hour"] = ToNumber(aPolicy.maxPricePerHour_);
  aTo["discovery_time_to_live_ms"] = aPolicy.discoveryTimeToLive_.count();
  aTo["answer_retention_ms"] = aPolicy.answerRetention_.count();
}

bool
IsLowerHex(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f');
}

} // namespace

tl::expected<TypedRecord, RecordError>
ReadSchema2(const json::object& aObject,
            std::string_view aKind,
            const std::string& aName)
{
  FieldReader fields(aObject, std::string(aKind) + "/" + aName);
  fields.Integer("schema_version", kSchema, { kSchema, kSchema, "" });
  fields.Text("kind");
  fields.Text("name");
  if (aKind == "service") {
    return ReadService(fields, aName);
  }
  if (aKind == "replicas") {
    return ReadReplicas(fields, aName);
  }
  if (aKind == "organisation") {
    return ReadOrganisation(fields, aName);
  }
  return ReadPolicy(fields);
}

json::object
WriteSchema2(const TypedRecord& aRecord)
{
  std::string key = KeyOf(aRecord);
  auto slash = key.find('/');
  json::object object{ { "schema_version", kSchema },
                       { "kind", key.substr(0, slash) },
                       { "name", key.substr(slash + 1) } };
  std::visit([&](const auto& aTyped) { Write(object, aTyped); }, aRecord);
  return object;
}

std::string
KeyOf(const TypedRecord& aRecord)
{
  struct KeyVisitor
  {
    std::string operator()(const ServiceRecord& aService) const
    {
      return "service/" + aService.name_;
    }
    std::string operator()(const ReplicasRecord& aReplicas) const
    {
      return "replicas/" + aReplicas.service_;
    }
    std::string operator()(const OrganisationRecord& aOrganisation) const
    {
      return "organisation/" + aOrganisation.name_;
    }
    std::string operator()(const PolicyRecord& /*aPolicy*/) const
    {
      return "policy/cluster";
    }
  };
  return std::visit(KeyVisitor{}, aRecord);
}

json::value
ToNumber(double aNumber)
{
  if (std::trunc(aNumber) == aNumber) {
    return static_cast<std::int64_t>(aNumber);
  }
  return aNumber;
}

std::string
CheckMethod(std::string_view aMethod)
{
  bool isUpper = std::all_of(aMethod.begin(), aMethod.end(), [](char aLetter) {
    return aLetter >= 'A' && aLetter <= 'Z';
  });
  return aMethod == "*" || (isUpper && !aMethod.empty())
           ? ""
           : "must be \"*\" or a method in upper case";
}

std::string
CheckPathPrefix(std::string_view aPath)
{
  bool isPlain = std::all_of(aPath.begin(), aPath.end(), [](char aLetter) {
    return aLetter > ' ' && aLetter < 0x7f;
  });
  return aPath.starts_with('/') && isPlain
           ? ""
           : "must start with \"/\" and hold no spaces";
}

std::string
CheckTokenHash(std::string_view aHash)
{
  constexpr std::size_t kHashDigits = 64;
  bool isHash = aHash.size() == kHashDigits &&
                std::all_of(aHash.begin(), aHash.end(), IsLowerHex);
  return isHash ? "" : "must be SHA-256 as 64 lower-case hexadecimal digits";
}

} // namespace tanagerstall
