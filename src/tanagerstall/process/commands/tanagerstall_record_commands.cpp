#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"
#include "tanagerstall/process/commands/tanagerstall_record_apply.hpp"
#include "tanagerstall/process/commands/tanagerstall_record_text.hpp"
#include "tanagerstall/process/commands/tanagerstall_status_report.hpp"

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <iostream>

namespace tanagerstall {

namespace json = boost::json;
namespace po = boost::program_options;

namespace {

void
AddReadOptions(po::options_description& aOptions)
{
  aOptions.add_options()("schema",
                         po::value<int>()->default_value(2),
                         "schema in which records are shown: 1 or 2");
  AddOutputOption(aOptions);
}

std::string
SchemaQuery(const CommandContext& aContext)
{
  return "?schema=" + std::to_string(aContext.settings_["schema"].as<int>());
}

/// Fetches records. Returns nothing if the response is an error or JSON output
/// was requested; then it has been printed, and `aStatus` is the exit status.
std::optional<json::object>
FetchRecords(const CommandContext& aContext, std::string aTarget, int& aStatus)
{
  auto answer = aContext.call_({ "GET", std::move(aTarget), {}, "" });
  if (!answer || answer->status_ != 200 || IsJsonOutput(aContext)) {
    aStatus = ReportAnswer(answer);
    return std::nullopt;
  }
  return json::parse(answer->body_).as_object();
}

void
PrintSummary(const json::object& aRecord)
{
  std::cout << json::value_to<std::string>(aRecord.at("key")) << "  version "
            << aRecord.at("version") << "  revision " << aRecord.at("revision")
            << "  by " << aRecord.at("author")
            << (aRecord.at("deleted").as_bool() ? "  deleted" : "") << "\n";
}

/// Prints the fields whose values the requested schema can't express exactly.
void
PrintInexpressible(const json::object& aRecord)
{
  if (const json::value* fields = aRecord.if_contains("inexpressible")) {
    std::cout << "# not exact in this schema: " << json::serialize(*fields)
              << "\n";
  }
}

int
Get(const CommandContext& aContext)
{
  int status = ExitDone;
  bool isSingleRecord = !aContext.arguments_.empty();
  std::string target = isSingleRecord
                         ? "/v1/records/" + aContext.arguments_.front()
                         : std::string("/v1/records");
  auto answer = FetchRecords(aContext, target + SchemaQuery(aContext), status);
  if (!answer) {
    return status;
  }
  for (const json::value& value : answer->at("records").as_array()) {
    const json::object& record = value.as_object();
    if (!isSingleRecord) {
      if (!record.at("deleted").as_bool()) {
        PrintSummary(record);
      }
      continue;
    }
    if (record.at("deleted").as_bool()) {
      PrintSummary(record);
      return ExitRefused;
    }
    PrintInexpressible(record);
    std::cout << ToIndentedText(record.at("record")) << "\n";
  }
  return ExitDone;
}

int
History(const CommandContext& aContext)
{
  if (aContext.arguments_.size() != 1) {
    std::cerr << "error: history takes one KIND/NAME\n";
    return ExitUsage;
  }
  int status = ExitDone;
  auto answer = FetchRecords(aContext,
                             "/v1/history/" + aContext.arguments_.front() +
                               SchemaQuery(aContext),
                             status);
  if (!answer) {
    return status;
  }
  json::value before;
  for (const json::value& value : answer->at("records").as_array()) {
    const json::object& record = value.as_object();
    const json::value* body = record.if_contains("record");
    json::value after = body == nullptr ? json::value() : *body;
    PrintSummary(record);
    PrintInexpressible(record);
    WriteDiff(std::cout, before, after);
    before = after;
  }
  return ExitDone;
}

} // namespace

std::vector<OperatorCommand>
RecordCommands()
{
  return {
    { "apply",
      "apply -f DIR [--dry-run] [--delete] [--operation-id ID]",
      AddApplyOptions,
      ApplyFolder },
    { "diff", "diff -f DIR [--delete]", AddDiffOptions, DiffFolder },
    { "get", "get [KIND/NAME] [--schema 1|2]", AddReadOptions, Get },
    { "history", "history KIND/NAME [--schema 1|2]", AddReadOptions, History },
    { "status", "status", AddOutputOption, ReportStatus }
  };
}

} // namespace tanagerstall
