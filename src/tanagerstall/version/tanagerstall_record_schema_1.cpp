#include "tanagerstall/version/tanagerstall_field_reader.hpp"
#include "tanagerstall/version/tanagerstall_record_schema.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace tanagerstall {

namespace json = boost::json;

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSchema = 1;
constexpr double kMsPerSecond = 1000.0;
constexpr double kPerHundred = 100.0;
constexpr std::uint64_t kBytesPerMegabit = 125'000;
/// Allows for the rounding error of converting seconds to milliseconds.
constexpr double kMaxRoundingMs = 1e-6;

constexpr NumberRange kTokenTimes{ 0.001, 600, "seconds" };
constexpr NumberRange kWholeTimes{ 1, 86'400, "seconds" };
constexpr NumberRange kDiscoveryTimes{ 1, 60, "seconds" };
constexpr NumberRange kRetentionTimes{ 1, 720, "hours" };
constexpr NumberRange kCounts{ 0, 100'000, "replicas" };
constexpr NumberRange kWeights{ 1, 100'000, "percent" };
constexpr NumberRange kRatios{ 0, 100, "percent" };
constexpr NumberRange kLinkMegabits{ 0, 100'000, "megabits a second" };
constexpr NumberRange kPrices{ 0, 100'000'000, "cents an hour" };

using Read = tl::expected<TypedRecord, RecordError>;

/// Reads a time in seconds with a resolution of a millisecond.
milliseconds
ReadSeconds(FieldReader& aFields,
            std::string_view aName,
            milliseconds aDefault,
            NumberRange aRange)
{
  double inSeconds = static_cast<double>(aDefault.count()) / kMsPerSecond;
  double exact = aFields.Number(aName, inSeconds, aRange) * kMsPerSecond;
  double rounded = std::round(exact);
  if (std::abs(exact - rounded) > kMaxRoundingMs) {
    aFields.ReportError(aName, "must not be finer than a millisecond");
  }
  return milliseconds(static_cast<std::int64_t>(rounded));
}

/// Returns the key requirement of the stored rule with the same method and
/// path, since schema 1 has no field for it.
bool
IsKeyRequired(const ServiceRecord* aStored, const RequestRule& aRule)
{
  if (aStored != nullptr) {
    for (const RequestRule& rule : aStored->rules_) {
      if (rule.method_ == aRule.method_ &&
          rule.pathPrefix_ == aRule.pathPrefix_) {
        return rule.isKeyRequired_;
      }
    }
  }
  return RequestRule{}.isKeyRequired_;
}

void
ReadRules(FieldReader& aFields,
          ServiceRecord& aService,
          const ServiceRecord* aStored)
{
  std::set<std::string> seen;
  for (FieldReader& fields : aFields.Objects("requests")) {
    std::string match = fields.RequiredText("match");
    auto space = match.find(' ');
    bool isSplit = space != std::string::npos;
    RequestRule rule;
    rule.method_ = match.substr(0, space);
    rule.pathPrefix_ = isSplit ? match.substr(space + 1) : "";
    rule.isIdempotent_ = fields.RequiredFlag("repeatable");
    rule.isKeyRequired_ = IsKeyRequired(aStored, rule);
    if (!CheckMethod(rule.method_).empty() ||
        !CheckPathPrefix(rule.pathPrefix_).empty()) {
      fields.ReportError(
        "match", "must be a method and a path, such as \"POST /capture\"");
    }
    if (!seen.insert(match).second) {
      fields.ReportError("match", "repeats an earlier rule");
    }
    auto finished = fields.Finish(
      { { "method", "is a field of schema 2; schema 1 has match" },
        { "path_prefix", "is a field of schema 2; schema 1 has match" },
        { "idempotent", "is a field of schema 2; schema 1 has repeatable" },
        { "key_required",
          "is a field of schema 2 that schema 1 can't express" } });
    if (!finished) {
      aFields.PropagateError(fields);
    }
    aService.rules_.push_back(rule);
  }
}

Read
ReadService(FieldReader& aFields,
            const std::string& aName,
            const ServiceRecord* aStored)
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
  target.firstToken_ = ReadSeconds(
    aFields, "first_token_seconds", target.firstToken_, kTokenTimes);
  auto whole = std::chrono::duration_cast<seconds>(target.whole_).count();
  target.whole_ = seconds(aFields.Integer("whole_seconds", whole, kWholeTimes));
  if (aStored != nullptr) {
    target.betweenTokens_ = aStored->target_.betweenTokens_;
  }
  ReadRules(aFields, service, aStored);
  auto finished = aFields.Finish(
    { { "first_token_ms",
        "is a field of schema 2; schema 1 has first_token_seconds" },
      { "whole_ms", "is a field of schema 2; schema 1 has whole_seconds" },
      { "between_tokens_ms",
        "is a field of schema 2 that schema 1 can't express" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return service;
}

std::vector<std::string>
ListOfOne(std::string aText)
{
  return aText.empty() ? std::vector<std::string>()
                       : std::vector<std::string>{ std::move(aText) };
}

Read
ReadReplicas(FieldReader& aFields, const std::string& aName)
{
  ReplicasRecord replicas;
  replicas.service_ = aName;
  replicas.count_ =
    static_cast<std::uint32_t>(aFields.RequiredInteger("count", kCounts));
  replicas.failureDomains_ = ListOfOne(aFields.Text("failure_domain"));
  replicas.instanceClasses_ = ListOfOne(aFields.Text("instance_class"));
  std::string model = aFields.Text("model");
  auto at = model.rfind('@');
  replicas.model_ = model.substr(0, at);
  if (at != std::string::npos) {
    replicas.version_ = model.substr(at + 1);
    if (replicas.model_.empty() || replicas.version_.empty()) {
      aFields.ReportError("model", "must be a model, or \"model@version\"");
    }
  }
  auto finished = aFields.Finish(
    { { "failure_domains",
        "is a field of schema 2; schema 1 has failure_domain" },
      { "instance_classes",
        "is a field of schema 2; schema 1 has instance_class" },
      { "version",
        "is a field of schema 2; schema 1 has model as \"model@version\"" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return replicas;
}

Read
ReadOrganisation(FieldReader& aFields,
                 const std::string& aName,
                 const OrganisationRecord* aStored)
{
  OrganisationRecord organisation;
  organisation.name_ = aName;
  organisation.tokenHashes_ = ListOfOne(aFields.Text("token_hash"));
  for (const std::string& hash : organisation.tokenHashes_) {
    if (auto message = CheckTokenHash(hash); !message.empty()) {
      aFields.ReportError("token_hash", message);
    }
  }
  organisation.weight_ =
    static_cast<double>(aFields.Integer("weight_percent", 100, kWeights)) /
    kPerHundred;
  if (aStored != nullptr) {
    organisation.maxConcurrent_ = aStored->maxConcurrent_;
  }
  auto finished = aFields.Finish(
    { { "token_hashes", "is a field of schema 2; schema 1 has token_hash" },
      { "weight", "is a field of schema 2; schema 1 has weight_percent" },
      { "max_concurrent",
        "is a field of schema 2 that schema 1 can't express" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return organisation;
}

Read
ReadPolicy(FieldReader& aFields, const PolicyRecord* aStored)
{
  PolicyRecord policy;
  policy.retryRatio_ =
    static_cast<double>(aFields.Integer("retry_percent", 20, kRatios)) /
    kPerHundred;
  policy.linkBytesPerSecond_ =
    kBytesPerMegabit * static_cast<std::uint64_t>(aFields.Integer(
                         "link_megabits_per_second", 30, kLinkMegabits));
  policy.maxPricePerHour_ = static_cast<double>(aFields.Integer(
                              "max_price_cents_per_hour", 0, kPrices)) /
                            kPerHundred;
  policy.discoveryTimeToLive_ =
    seconds(aFields.Integer("discovery_seconds", 3, kDiscoveryTimes));
  policy.answerRetention_ =
    hours(aFields.Integer("answer_retention_hours", 24, kRetentionTimes));
  if (aStored != nullptr) {
    policy.hedgeRatio_ = aStored->hedgeRatio_;
  }
  auto finished = aFields.Finish(
    { { "retry_ratio", "is a field of schema 2; schema 1 has retry_percent" },
      { "hedge_ratio", "is a field of schema 2 that schema 1 can't express" },
      { "link_bytes_per_second",
        "is a field of schema 2; schema 1 has link_megabits_per_second" },
      { "max_price_per_hour",
        "is a field of schema 2; schema 1 has max_price_cents_per_hour" },
      { "discovery_time_to_live_ms",
        "is a field of schema 2; schema 1 has discovery_seconds" },
      { "answer_retention_ms",
        "is a field of schema 2; schema 1 has answer_retention_hours" } });
  if (!finished) {
    return tl::make_unexpected(finished.error());
  }
  return policy;
}

/// Writes a number in hundredths and reports the field as inexpressible if the
/// value is rounded.
void
WriteHundredths(RenderedRecord& aTo,
                std::string_view aName,
                std::string_view aSchema2Name,
                double aNumber)
{
  double hundredths = std::round(aNumber * kPerHundred);
  aTo.object_[aName] = static_cast<std::int64_t>(hundredths);
  if (hundredths / kPerHundred != aNumber) {
    aTo.inexpressible_.emplace_back(aSchema2Name);
  }
}

/// Writes a time in a coarser unit and reports the field as inexpressible if
/// the value is truncated, or 0, which schema 1 doesn't accept.
template<class Unit>
void
WriteTime(RenderedRecord& aTo,
          std::string_view aName,
          std::string_view aSchema2Name,
          milliseconds aTime)
{
  auto inUnit = std::chrono::duration_cast<Unit>(aTime);
  aTo.object_[aName] = inUnit.count();
  if (inUnit != aTime || inUnit.count() == 0) {
    aTo.inexpressible_.emplace_back(aSchema2Name);
  }
}

/// Writes the first text of a list and reports the field as inexpressible if
/// the list has more.
void
WriteFirst(RenderedRecord& aTo,
           std::string_view aName,
           std::string_view aSchema2Name,
           const std::vector<std::string>& aTexts)
{
  aTo.object_[aName] = aTexts.empty() ? "" : aTexts.front();
  if (aTexts.size() > 1) {
    aTo.inexpressible_.emplace_back(aSchema2Name);
  }
}

void
Write(RenderedRecord& aTo, const ServiceRecord& aService)
{
  aTo.object_["protocol"] =
    aService.protocol_ == ServiceProtocol::Model ? "model" : "plain";
  aTo.object_["first_token_seconds"] = ToNumber(
    static_cast<double>(aService.target_.firstToken_.count()) / kMsPerSecond);
  WriteTime<seconds>(aTo, "whole_seconds", "whole_ms", aService.target_.whole_);
  json::array rules;
  for (const RequestRule& rule : aService.rules_) {
    rules.push_back({ { "match", rule.method_ + " " + rule.pathPrefix_ },
                      { "repeatable", rule.isIdempotent_ } });
  }
  aTo.object_["requests"] = rules;
}

void
Write(RenderedRecord& aTo, const ReplicasRecord& aReplicas)
{
  aTo.object_["count"] = aReplicas.count_;
  WriteFirst(
    aTo, "failure_domain", "failure_domains", aReplicas.failureDomains_);
  WriteFirst(
    aTo, "instance_class", "instance_classes", aReplicas.instanceClasses_);
  bool hasVersion = !aReplicas.version_.empty();
  aTo.object_["model"] =
    hasVersion ? aReplicas.model_ + "@" + aReplicas.version_ : aReplicas.model_;
  if (!hasVersion && aReplicas.model_.find('@') != std::string::npos) {
    aTo.inexpressible_.emplace_back("model");
  }
}

void
Write(RenderedRecord& aTo, const OrganisationRecord& aOrganisation)
{
  WriteFirst(aTo, "token_hash", "token_hashes", aOrganisation.tokenHashes_);
  WriteHundredths(aTo, "weight_percent", "weight", aOrganisation.weight_);
}

void
Write(RenderedRecord& aTo, const PolicyRecord& aPolicy)
{
  WriteHundredths(aTo, "retry_percent", "retry_ratio", aPolicy.retryRatio_);
  aTo.object_["link_megabits_per_second"] =
    aPolicy.linkBytesPerSecond_ / kBytesPerMegabit;
  if (aPolicy.linkBytesPerSecond_ % kBytesPerMegabit != 0) {
    aTo.inexpressible_.emplace_back("link_bytes_per_second");
  }
  WriteHundredths(aTo,
                  "max_price_cents_per_hour",
                  "max_price_per_hour",
                  aPolicy.maxPricePerHour_);
  WriteTime<seconds>(aTo,
                     "discovery_seconds",
                     "discovery_time_to_live_ms",
                     aPolicy.discoveryTimeToLive_);
  WriteTime<hours>(aTo,
                   "answer_retention_hours",
                   "answer_retention_ms",
                   aPolicy.answerRetention_);
}

} // namespace

tl::expected<TypedRecord, RecordError>
ReadSchema1(const json::object& aObject,
            std::string_view aKind,
            const std::string& aName,
            const TypedRecord* aStored)
{
  std::string key = std::string(aKind) + "/" + aName;
  if (aStored != nullptr) {
    auto rendered = WriteSchema1(*aStored);
    if (!rendered.inexpressible_.empty()) {
      return tl::make_unexpected(
        RecordError{ key,
                     rendered.inexpressible_.front(),
                     "holds a value that schema 1 can't express; write this "
                     "record in schema 2" });
    }
  }
  FieldReader fields(aObject, key);
  fields.Integer("schema_version", kSchema, { kSchema, kSchema, "" });
  fields.Text("kind");
  fields.Text("name");
  if (aKind == "service") {
    return ReadService(
      fields, aName, aStored ? std::get_if<ServiceRecord>(aStored) : nullptr);
  }
  if (aKind == "replicas") {
    return ReadReplicas(fields, aName);
  }
  if (aKind == "organisation") {
    return ReadOrganisation(fields,
                            aName,
                            aStored ? std::get_if<OrganisationRecord>(aStored)
                                    : nullptr);
  }
  return ReadPolicy(fields,
                    aStored ? std::get_if<PolicyRecord>(aStored) : nullptr);
}

RenderedRecord
WriteSchema1(const TypedRecord& aRecord)
{
  std::string key = KeyOf(aRecord);
  auto slash = key.find('/');
  RenderedRecord rendered;
  rendered.object_ = { { "schema_version", kSchema },
                       { "kind", key.substr(0, slash) },
                       { "name", key.substr(slash + 1) } };
  std::visit([&](const auto& aTyped) { Write(rendered, aTyped); }, aRecord);
  return rendered;
}

} // namespace tanagerstall
