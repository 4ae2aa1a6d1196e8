#include "tanagerstall/request/tanagerstall_record_api.hpp"

#include "tanagerstall/request/tanagerstall_outcome.hpp"
#include "tanagerstall/request/tanagerstall_record_request.hpp"
#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::string_view kRecordsPath = "/v1/records";
constexpr std::string_view kRecordPrefix = "/v1/records/";
constexpr std::string_view kHistoryPrefix = "/v1/history/";
constexpr int kNewestSchema = 2;

json::array
ToJson(const std::vector<RecordError>& aErrors)
{
  json::array errors;
  for (const RecordError& error : aErrors) {
    errors.push_back({ { "record", error.record_ },
                       { "field", error.field_ },
                       { "message", error.message_ } });
  }
  return errors;
}

json::object
ToJson(const StoredRecord& aRecord, int aSchema)
{
  json::object object{ { "key", aRecord.key_ },
                       { "version", aRecord.version_ },
                       { "revision", aRecord.revision_ },
                       { "deleted", aRecord.isDeleted_ },
                       { "author", aRecord.author_ } };
  if (auto rendered = RenderRecord(aRecord.body_, aSchema)) {
    object["record"] = rendered->object_;
    if (!rendered->inexpressible_.empty()) {
      object["inexpressible"] = json::value_from(rendered->inexpressible_);
    }
  }
  return object;
}

json::value
ParseBody(const std::string& aBody)
{
  return aBody.empty() ? json::value(nullptr) : json::parse(aBody);
}

std::string_view
ToText(ChangeAction aAction)
{
  switch (aAction) {
    case ChangeAction::Created:
      return "created";
    case ChangeAction::Changed:
      return "changed";
    case ChangeAction::Deleted:
      return "deleted";
    case ChangeAction::Unchanged:
      break;
  }
  return "unchanged";
}

json::object
ToJson(const ChangeOutcome& aOutcome)
{
  json::object object{ { "key", aOutcome.key_ },
                       { "action", ToText(aOutcome.action_) },
                       { "version", aOutcome.version_ } };
  if (!aOutcome.before_.empty() || !aOutcome.after_.empty()) {
    object["before"] = ParseBody(aOutcome.before_);
    object["after"] = ParseBody(aOutcome.after_);
  }
  return object;
}

HttpResponse
ErrorResponse(int aStatus, std::string_view aCode, json::object aBody)
{
  aBody["error"] = { { "code", aCode } };
  return JsonResponse(aStatus, json::serialize(aBody));
}

HttpResponse
RefusedResponse(const std::vector<RecordError>& aErrors)
{
  return ErrorResponse(422,
                       "record_refused",
                       { { "applied", false }, { "errors", ToJson(aErrors) } });
}

HttpResponse
ResultResponse(const ConfigurationResult& aResult, bool aIsDryRun)
{
  json::array conflicts;
  for (const StoredRecord& conflict : aResult.conflicts_) {
    conflicts.push_back(ToJson(conflict, kNewestSchema));
  }
  json::array changes;
  for (const ChangeOutcome& outcome : aResult.changes_) {
    changes.push_back(ToJson(outcome));
  }
  json::object body{ { "applied", aResult.isApplied_ && !aIsDryRun },
                     { "dry_run", aIsDryRun },
                     { "revision", aResult.revision_ },
                     { "conflicts", conflicts },
                     { "errors", ToJson(aResult.refusals_) },
                     { "changes", changes } };
  if (!aResult.refusals_.empty()) {
    return ErrorResponse(422, "record_refused", body);
  }
  if (!aResult.conflicts_.empty()) {
    return ErrorResponse(409, "version_conflict", body);
  }
  return JsonResponse(200, json::serialize(body));
}

/// Returns the schema version that the request target selects, or 0 if the
/// query is invalid.
int
SchemaOf(std::string_view aTarget)
{
  auto query = aTarget.find('?');
  if (query == std::string_view::npos) {
    return kNewestSchema;
  }
  std::string_view wanted = aTarget.substr(query + 1);
  if (wanted == "schema=1" || wanted == "schema=2") {
    return wanted.back() - '0';
  }
  return 0;
}

} // namespace

RecordApi::RecordApi(OperatorHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

std::optional<HttpResponse>
RecordApi::Handle(HttpExchange& aExchange) const
{
  const HttpRequest& request = aExchange.Request();
  std::string_view path = PathOf(request);
  if (path == kRecordsPath && request.method_ == "POST") {
    return Apply(aExchange);
  }
  if (request.method_ != "GET") {
    return std::nullopt;
  }
  if (path == kRecordsPath) {
    return List(aExchange, EncodeQueryAll(), false);
  }
  if (path.starts_with(kRecordPrefix)) {
    std::string key(path.substr(kRecordPrefix.size()));
    return List(aExchange, EncodeQueryRecord(key), true);
  }
  if (path.starts_with(kHistoryPrefix)) {
    std::string key(path.substr(kHistoryPrefix.size()));
    return List(aExchange, EncodeQueryHistory(key), true);
  }
  return std::nullopt;
}

HttpResponse
RecordApi::Apply(HttpExchange& aExchange) const
{
  auto request = ReadRecordRequest(aExchange.Request().body_.Text());
  if (!request) {
    return RefusedResponse(request.error());
  }
  bool isDryRun = request->isDryRun_;
  auto reply = CallGroup(aExchange.GetFiber(),
                         isDryRun ? hooks_.query_ : hooks_.propose_,
                         GroupName::Configuration,
                         isDryRun ? EncodeCheck(request->command_)
                                  : Encode(request->command_));
  if (!reply) {
    return ControlUnavailableResponse(reply.error());
  }
  return ResultResponse(DecodeResult(*reply), isDryRun);
}

HttpResponse
RecordApi::List(HttpExchange& aExchange, Bytes aQuery, bool aMustExist) const
{
  int schema = SchemaOf(aExchange.Request().target_);
  if (schema == 0) {
    return RefusedResponse({ { "", "schema", "must be 1 or 2" } });
  }
  auto reply = CallGroup(aExchange.GetFiber(),
                         hooks_.query_,
                         GroupName::Configuration,
                         std::move(aQuery));
  if (!reply) {
    return ControlUnavailableResponse(reply.error());
  }
  RecordList list = DecodeRecords(*reply);
  if (aMustExist && list.records_.empty()) {
    return RefusalResponse(
      404, Outcome::NotRun, "unknown_record", "there is no such record");
  }
  json::array records;
  for (const StoredRecord& record : list.records_) {
    records.push_back(ToJson(record, schema));
  }
  json::object response{ { "revision", list.revision_ },
                         { "records", records } };
  return JsonResponse(200, json::serialize(response));
}

} // namespace tanagerstall
