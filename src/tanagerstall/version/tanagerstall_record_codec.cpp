#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include "tanagerstall/version/tanagerstall_field_reader.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::string_view kKinds[] = { "service",
                                        "replicas",
                                        "organisation",
                                        "policy" };
constexpr std::string_view kPolicyName = "cluster";
constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxRecordBytes = 64UL * 1024;
constexpr int kOldSchema = 1;
constexpr int kNewSchema = 2;

bool
IsName(std::string_view aName)
{
  auto isAlphanumeric = [](char aLetter) {
    return (aLetter >= 'a' && aLetter <= 'z') ||
           (aLetter >= '0' && aLetter <= '9');
  };
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         isAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), [&](char aLetter) {
           return isAlphanumeric(aLetter) || aLetter == '-' || aLetter == '.' ||
                  aLetter == '_';
         });
}

/// The fields that all records have in common.
struct RecordHeader
{
  int schema_;
  std::string kind_;
  std::string name_;
};

tl::expected<RecordHeader, RecordError>
ReadHeader(const json::object& aObject)
{
  std::string kind = FieldReader(aObject, "").Text("kind");
  std::string name = FieldReader(aObject, "").Text("name");
  FieldReader fields(aObject, kind + "/" + name);
  RecordHeader header;
  header.kind_ = fields.RequiredText("kind");
  if (std::find(std::begin(kKinds), std::end(kKinds), header.kind_) ==
      std::end(kKinds)) {
    fields.ReportError("kind",
                       "must be service, replicas, organisation or policy");
  }
  header.name_ = fields.RequiredText("name");
  if (!IsName(header.name_)) {
    fields.ReportError(
      "name",
      "must be 1 to 63 characters of a-z, 0-9, \"-\", \".\" and "
      "\"_\", the first a letter or digit");
  }
  if (header.kind_ == "policy" && header.name_ != kPolicyName) {
    fields.ReportError("name", "of a policy must be \"cluster\"");
  }
  header.schema_ = static_cast<int>(fields.RequiredInteger(
    "schema_version", { kOldSchema, kNewSchema, "as a schema version" }));
  if (const auto& error = fields.Error()) {
    return tl::make_unexpected(*error);
  }
  return header;
}

tl::expected<json::value, RecordError>
Parse(std::string_view aJson)
{
  if (aJson.size() > kMaxRecordBytes) {
    return tl::make_unexpected(
      RecordError{ "", "", "is larger than 65536 bytes" });
  }
  json::error_code error;
  json::value value = json::parse({ aJson.data(), aJson.size() }, error);
  if (error || !value.is_object()) {
    return tl::make_unexpected(RecordError{
      "", "", error ? "is not JSON: " + error.message() : "is not an object" });
  }
  return value;
}

} // namespace

tl::expected<CanonicalRecord, RecordError>
ReadRecord(std::string_view aJson, std::string_view aStored)
{
  auto value = Parse(aJson);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  const json::object& object = value->get_object();
  auto header = ReadHeader(object);
  if (!header) {
    return tl::make_unexpected(header.error());
  }
  std::optional<TypedRecord> stored;
  if (!aStored.empty()) {
    auto typed = ReadCanonical(aStored);
    if (!typed) {
      return tl::make_unexpected(typed.error());
    }
    stored = std::move(*typed);
  }
  auto record =
    header->schema_ == kOldSchema
      ? ReadSchema1(
          object, header->kind_, header->name_, stored ? &*stored : nullptr)
      : ReadSchema2(object, header->kind_, header->name_);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  return CanonicalRecord{ KeyOf(*record),
                          json::serialize(WriteSchema2(*record)) };
}

tl::expected<std::string, RecordError>
ReadKey(std::string_view aJson)
{
  auto value = Parse(aJson);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  auto header = ReadHeader(value->get_object());
  if (!header) {
    return tl::make_unexpected(header.error());
  }
  return header->kind_ + "/" + header->name_;
}

bool
IsRecordKey(std::string_view aKey)
{
  auto slash = aKey.find('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  std::string_view kind = aKey.substr(0, slash);
  std::string_view name = aKey.substr(slash + 1);
  return std::find(std::begin(kKinds), std::end(kKinds), kind) !=
           std::end(kKinds) &&
         IsName(name) && (kind != "policy" || name == kPolicyName);
}

tl::expected<TypedRecord, RecordError>
ReadCanonical(std::string_view aBody)
{
  auto value = Parse(aBody);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  auto header = ReadHeader(value->get_object());
  if (!header) {
    return tl::make_unexpected(header.error());
  }
  return ReadSchema2(value->get_object(), header->kind_, header->name_);
}

tl::expected<RenderedRecord, RecordError>
RenderRecord(std::string_view aBody, int aSchema)
{
  auto record = ReadCanonical(aBody);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  if (aSchema == kOldSchema) {
    return WriteSchema1(*record);
  }
  return RenderedRecord{ WriteSchema2(*record), {} };
}

tl::expected<void, RecordError>
ApplyRecord(Configuration& aConfiguration, const CanonicalRecord& aRecord)
{
  struct RecordInserter
  {
    Configuration& to_;

    void operator()(ServiceRecord& aService) const
    {
      to_.services_[aService.name_] = std::move(aService);
    }
    void operator()(ReplicasRecord& aReplicas) const
    {
      to_.replicas_[aReplicas.service_] = std::move(aReplicas);
    }
    void operator()(OrganisationRecord& aOrganisation) const
    {
      to_.organisations_[aOrganisation.name_] = std::move(aOrganisation);
    }
    void operator()(PolicyRecord& aPolicy) const { to_.policy_ = aPolicy; }
  };
  auto record = ReadCanonical(aRecord.body_);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  std::visit(RecordInserter{ aConfiguration }, *record);
  return {};
}

void
RemoveRecord(Configuration& aConfiguration, std::string_view aKey)
{
  auto slash = aKey.find('/');
  std::string_view kind = aKey.substr(0, slash);
  std::string name(aKey.substr(slash + 1));
  if (kind == "service") {
    aConfiguration.services_.erase(name);
  } else if (kind == "replicas") {
    aConfiguration.replicas_.erase(name);
  } else if (kind == "organisation") {
    aConfiguration.organisations_.erase(name);
  } else if (kind == "policy") {
    aConfiguration.policy_ = PolicyRecord{};
  }
}

} // namespace tanagerstall
