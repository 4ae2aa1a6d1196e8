#include "tanagerstall/process/commands/tanagerstall_record_apply.hpp"

#include "tanagerstall/process/commands/tanagerstall_record_folder.hpp"
#include "tanagerstall/process/commands/tanagerstall_record_text.hpp"
#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <cstdlib>
#include <iostream>

namespace tanagerstall {

namespace json = boost::json;
namespace po = boost::program_options;

namespace {

constexpr std::size_t kOperationIdBytes = 16;

/// State of one "apply" or "diff" command: the records of the folder, the
/// request that is built from them and the last response.
class FolderOperation
{
public:
  explicit FolderOperation(const CommandContext& aContext)
    : context_(aContext)
    , isJson_(IsJsonOutput(aContext))
    , path_(aContext.settings_["file"].as<std::string>())
  {
  }

  /// Reads the folder and requests a dry run, which returns the diff. Returns
  /// an exit status; only ExitDone allows Write().
  int Check()
  {
    if (!std::filesystem::exists(path_)) {
      std::cerr << "error: " << path_.string() << ": there is no such file\n";
      return ExitUsage;
    }
    folder_ = ReadRecordFolder(path_);
    if (!folder_.errors_.empty()) {
      return ReportErrors(folder_.errors_);
    }
    body_["records"] = json::array();
    for (const auto& [key, record] : folder_.records_) {
      body_["records"].as_array().push_back(json::parse(record.body_));
    }
    if (context_.settings_["delete"].as<bool>()) {
      if (int status = AddDeletes(); status != ExitDone) {
        return status;
      }
    }
    if (int status = AddExpectedOptions(); status != ExitDone) {
      return status;
    }
    body_["dry_run"] = true;
    int status = Send();
    if (status == ExitDone) {
      ExpectCurrentVersions();
    }
    return status;
  }

  /// Writes the records. Repeating it with the same operation id is safe.
  int Write(const std::string& aOperationId, const std::string& aAuthor)
  {
    body_["dry_run"] = false;
    body_["operation_id"] = aOperationId;
    body_["author"] = aAuthor;
    int status = Send();
    if (status == ExitUnreachable) {
      std::cerr
        << "The changes may or may not have been applied. To repeat the "
           "command safely, add --operation-id "
        << aOperationId << "\n";
    }
    return status;
  }

  void SetOperationId(const std::string& aOperationId)
  {
    body_["operation_id"] = aOperationId;
  }

  bool HasChanges() const
  {
    for (const json::value& change : answer_.at("changes").as_array()) {
      if (change.at("action").as_string() != "unchanged") {
        return true;
      }
    }
    return false;
  }

  void PrintDiff() const
  {
    if (isJson_) {
      return;
    }
    for (const json::value& change : answer_.at("changes").as_array()) {
      const json::object& fields = change.as_object();
      if (fields.at("action").as_string() == "unchanged") {
        continue;
      }
      std::cout << json::value_to<std::string>(fields.at("action")) << " "
                << json::value_to<std::string>(fields.at("key")) << "\n";
      if (const json::value* before = fields.if_contains("before")) {
        WriteDiff(std::cout, *before, fields.at("after"));
      }
    }
  }

  void PrintAnswer() const
  {
    if (isJson_) {
      std::cout << json::serialize(answer_) << "\n";
    } else if (answer_.at("applied").as_bool()) {
      std::cout << "applied at revision " << answer_.at("revision") << "\n";
    } else {
      std::cout << (HasChanges() ? "nothing applied: dry run\n"
                                 : "nothing to change\n");
    }
  }

private:
  std::string FileOf(const std::string& aKey) const
  {
    auto it = folder_.records_.find(aKey);
    return it == folder_.records_.end() ? "" : it->second.file_;
  }

  int ReportErrors(const std::vector<FileError>& aErrors) const
  {
    json::array errors;
    for (const auto& [file, error] : aErrors) {
      std::cerr << "error: " << file << (file.empty() ? "" : ": ")
                << error.record_ << (error.record_.empty() ? "" : ": ")
                << error.field_ << (error.field_.empty() ? "" : " ")
                << error.message_ << "\n";
      errors.push_back({ { "file", file },
                         { "record", error.record_ },
                         { "field", error.field_ },
                         { "message", error.message_ } });
    }
    if (isJson_) {
      json::object answer{ { "applied", false }, { "errors", errors } };
      std::cout << json::serialize(answer) << "\n";
    }
    return ExitRefused;
  }

  /// Adds the records that the folder lacks to the deletions of the request.
  int AddDeletes()
  {
    auto answer = context_.call_({ "GET", "/v1/records", {}, "" });
    if (!answer || answer->status_ != 200) {
      return ReportAnswer(answer);
    }
    json::array deletes;
    json::value body = json::parse(answer->body_);
    for (const json::value& record : body.at("records").as_array()) {
      std::string key = json::value_to<std::string>(record.at("key"));
      if (!record.at("deleted").as_bool() && !folder_.records_.contains(key)) {
        deletes.emplace_back(key);
      }
    }
    body_["delete"] = deletes;
    return ExitDone;
  }

  /// Adds the versions given by --expect KIND/NAME=VERSION to the request.
  int AddExpectedOptions()
  {
    if (context_.settings_.count("expect") == 0) {
      return ExitDone;
    }
    json::object expected;
    for (const auto& text :
         context_.settings_["expect"].as<std::vector<std::string>>()) {
      auto equals = text.find('=');
      json::error_code error;
      json::value version = equals == std::string::npos
                              ? json::value()
                              : json::parse(text.substr(equals + 1), error);
      if (error || !version.is_int64()) {
        std::cerr << "error: --expect takes KIND/NAME=VERSION\n";
        return ExitUsage;
      }
      expected[text.substr(0, equals)] = version;
    }
    body_["expected"] = expected;
    return ExitDone;
  }

  /// Makes the write conditional on the versions that the diff was made
  /// against. The dry run reports the version that a changed record would get,
  /// which is one above its current version.
  void ExpectCurrentVersions()
  {
    json::object expected;
    const json::value* given = body_.if_contains("expected");
    if (given != nullptr) {
      expected = given->as_object();
    }
    for (const json::value& change : answer_.at("changes").as_array()) {
      auto version = change.at("version").to_number<std::int64_t>();
      bool isUnchanged = change.at("action").as_string() == "unchanged";
      const json::string& key = change.at("key").as_string();
      if (!expected.contains(key)) {
        expected[key] = isUnchanged ? version : version - 1;
      }
    }
    body_["expected"] = expected;
  }

  int Send()
  {
    auto answer =
      context_.call_({ "POST", "/v1/records", {}, json::serialize(body_) });
    if (!answer || answer->status_ == 503) {
      ReportAnswer(answer);
      return ExitUnreachable;
    }
    json::error_code error;
    json::value body = json::parse(answer->body_, error);
    if (error || !body.is_object()) {
      return ReportAnswer(answer);
    }
    answer_ = body.get_object();
    if (answer->status_ == 200) {
      return ExitDone;
    }
    return ReportRefusal(answer->status_);
  }

  int ReportRefusal(int aHttpStatus) const
  {
    if (const json::value* conflicts = answer_.if_contains("conflicts")) {
      for (const json::value& conflict : conflicts->as_array()) {
        PrintConflict(conflict.as_object());
      }
    }
    std::vector<FileError> errors;
    if (const json::value* refusals = answer_.if_contains("errors")) {
      for (const json::value& refusal : refusals->as_array()) {
        auto text = [&](const char* aName) {
          return json::value_to<std::string>(refusal.at(aName));
        };
        errors.push_back(
          { FileOf(text("record")),
            { text("record"), text("field"), text("message") } });
      }
    }
    if (!errors.empty()) {
      return ReportErrors(errors);
    }
    if (isJson_) {
      std::cout << json::serialize(answer_) << "\n";
    }
    return aHttpStatus == 409 ? ExitConflict : ExitRefused;
  }

  /// Prints the record that is stored instead of the expected version.
  void PrintConflict(const json::object& aCurrent) const
  {
    std::string key = json::value_to<std::string>(aCurrent.at("key"));
    std::cerr << "conflict: " << FileOf(key) << ": " << key << " is at version "
              << aCurrent.at("version") << " since revision "
              << aCurrent.at("revision") << ", by " << aCurrent.at("author")
              << "\n";
    if (const json::value* record = aCurrent.if_contains("record")) {
      std::cerr << ToIndentedText(*record) << "\n";
    }
  }

  const CommandContext& context_;
  bool isJson_;
  std::filesystem::path path_;
  RecordFolder folder_;
  json::object body_;
  json::object answer_;
};

std::string
DefaultAuthor()
{
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

} // namespace

void
AddDiffOptions(po::options_description& aOptions)
{
  aOptions.add_options()("file,f",
                         po::value<std::string>()->required(),
                         "folder of records, or one file")(
    "delete",
    po::bool_switch(),
    "also delete records that the folder does not contain")(
    "expect",
    po::value<std::vector<std::string>>(),
    "KIND/NAME=VERSION: apply only if the record has this version; can be "
    "given several times");
  AddOutputOption(aOptions);
}

void
AddApplyOptions(po::options_description& aOptions)
{
  AddDiffOptions(aOptions);
  aOptions.add_options()(
    "dry-run",
    po::bool_switch(),
    "check the records and print the diff without writing")(
    "operation-id",
    po::value<std::string>()->default_value(""),
    "id of this change; repeating a change that was applied returns the first "
    "result")("author",
              po::value<std::string>()->default_value(DefaultAuthor()),
              "author to record with the change");
}

int
ApplyFolder(const CommandContext& aContext)
{
  FolderOperation folderOperation(aContext);
  auto operation = aContext.settings_["operation-id"].as<std::string>();
  if (!operation.empty()) {
    folderOperation.SetOperationId(operation);
  }
  if (int status = folderOperation.Check(); status != ExitDone) {
    return status;
  }
  folderOperation.PrintDiff();
  bool isDryRun = aContext.settings_["dry-run"].as<bool>();
  if (isDryRun || (operation.empty() && !folderOperation.HasChanges())) {
    folderOperation.PrintAnswer();
    return ExitDone;
  }
  if (operation.empty()) {
    operation = RandomHex(kOperationIdBytes);
  }
  int status = folderOperation.Write(
    operation, aContext.settings_["author"].as<std::string>());
  if (status == ExitDone) {
    folderOperation.PrintAnswer();
  }
  return status;
}

int
DiffFolder(const CommandContext& aContext)
{
  FolderOperation folderOperation(aContext);
  if (int status = folderOperation.Check(); status != ExitDone) {
    return status;
  }
  folderOperation.PrintDiff();
  if (IsJsonOutput(aContext)) {
    folderOperation.PrintAnswer();
  }
  return folderOperation.HasChanges() ? ExitDifferent : ExitDone;
}

} // namespace tanagerstall
