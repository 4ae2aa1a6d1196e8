#include "tanagerstall/request/tanagerstall_record_request.hpp"

#include "tanagerstall/version/tanagerstall_field_reader.hpp"
#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr NumberRange kVersionRange{ 0, 9e15, "as a version" };
constexpr std::size_t kMaxChanges = 10'000;
constexpr std::size_t kMaxIdBytes = 128;

using Errors = std::vector<RecordError>;

/// Returns a list or object member, or an empty one if it is absent or, with an
/// error added, of the wrong type.
template<class Part>
Part
PartOf(const json::object& aObject, std::string_view aName, Errors& aErrors)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return Part();
  }
  constexpr bool kIsList = std::is_same_v<Part, json::array>;
  if (value->is_array() != kIsList || value->is_object() == kIsList) {
    aErrors.push_back({ "",
                        std::string(aName),
                        kIsList ? "must be a list" : "must be an object" });
    return Part();
  }
  if constexpr (kIsList) {
    return value->get_array();
  } else {
    return value->get_object();
  }
}

void
AddWrites(ConfigurationCommand& aCommand,
          const json::array& aRecords,
          Errors& aErrors)
{
  for (const json::value& value : aRecords) {
    RecordChange change;
    change.body_ = json::serialize(value);
    auto record = ReadRecord(change.body_);
    if (!record) {
      aErrors.push_back(record.error());
      continue;
    }
    change.key_ = record->key_;
    aCommand.changes_.push_back(std::move(change));
  }
}

void
SetExpected(ConfigurationCommand& aCommand,
            const json::object& aExpected,
            Errors& aErrors)
{
  FieldReader fields(aExpected, "", "expected.");
  for (RecordChange& change : aCommand.changes_) {
    change.expectedVersion_ =
      fields.Integer(change.key_, RecordChange::kAnyVersion, kVersionRange);
  }
  if (auto finished = fields.Finish(); !finished) {
    aErrors.push_back(finished.error());
  }
}

} // namespace

tl::expected<RecordRequest, Errors>
ReadRecordRequest(std::string_view aBody)
{
  json::error_code error;
  json::value body = json::parse({ aBody.data(), aBody.size() }, error);
  if (error || !body.is_object()) {
    return tl::make_unexpected(
      Errors{ { "", "", "the body must be a JSON object" } });
  }
  const json::object& object = body.get_object();
  Errors errors;
  RecordRequest request;
  ConfigurationCommand& command = request.command_;
  AddWrites(command, PartOf<json::array>(object, "records", errors), errors);
  FieldReader fields(object, "");
  for (const std::string& key : fields.TextList("delete")) {
    command.changes_.push_back({ key, RecordChange::kAnyVersion, true, "" });
  }
  if (command.changes_.size() > kMaxChanges) {
    fields.ReportError("records", "must not exceed 10000 in one request");
  }
  SetExpected(
    command, PartOf<json::object>(object, "expected", errors), errors);
  command.operationId_ = fields.Text("operation_id");
  command.author_ = fields.Text("author");
  if (command.operationId_.size() > kMaxIdBytes ||
      command.author_.size() > kMaxIdBytes) {
    fields.ReportError("operation_id", "and author must not exceed 128 bytes");
  }
  if (command.operationId_.empty()) {
    command.operationId_ = RandomHex(16);
  }
  request.isDryRun_ = fields.Flag("dry_run", false);
  fields.MarkRead("records");
  fields.MarkRead("expected");
  if (auto finished = fields.Finish(); !finished) {
    errors.push_back(finished.error());
  }
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return request;
}

} // namespace tanagerstall
