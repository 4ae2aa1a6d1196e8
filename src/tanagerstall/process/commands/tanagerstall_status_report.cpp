#include "tanagerstall/process/commands/tanagerstall_status_report.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <map>

namespace tanagerstall {

namespace json = boost::json;

namespace {

/// The merged status of all control processes.
struct StatusReport
{
  std::uint64_t revision_ = 0;
  json::array controls_;
  /// Entries by id. If control processes differ, the one that reports the
  /// higher revision counts.
  std::map<std::string, json::object> entries_;

  bool IsInForceEverywhere() const
  {
    return std::all_of(
      entries_.begin(), entries_.end(), [this](const auto& aItem) {
        return RevisionOf(aItem.second) >= revision_;
      });
  }

  static std::uint64_t RevisionOf(const json::object& aEntry)
  {
    return aEntry.at("revision").to_number<std::uint64_t>();
  }
};

void
AddAnswer(StatusReport& aReport,
          const Address& aControl,
          const tl::expected<HttpResponse, TransportError>& aAnswer)
{
  json::object control{ { "address", aControl.ToString() } };
  json::error_code error;
  json::value body =
    aAnswer ? json::parse(aAnswer->body_, error) : json::value();
  if (!aAnswer || error || aAnswer->status_ != 200) {
    control["error"] =
      aAnswer ? "answered with an error" : ToString(aAnswer.error().fault_);
    aReport.controls_.push_back(control);
    return;
  }
  control["revision"] = body.at("revision");
  aReport.controls_.push_back(control);
  aReport.revision_ =
    std::max(aReport.revision_, StatusReport::RevisionOf(body.as_object()));
  for (const json::value& value : body.at("entries").as_array()) {
    const json::object& entry = value.as_object();
    auto& known = aReport.entries_[json::value_to<std::string>(entry.at("id"))];
    if (known.empty() ||
        StatusReport::RevisionOf(known) < StatusReport::RevisionOf(entry)) {
      known = entry;
    }
  }
}

void
PrintJson(const StatusReport& aReport)
{
  json::array entries;
  for (const auto& [id, entry] : aReport.entries_) {
    entries.push_back(entry);
  }
  json::object body{ { "revision", aReport.revision_ },
                     { "in_force_everywhere", aReport.IsInForceEverywhere() },
                     { "controls", aReport.controls_ },
                     { "entries", entries } };
  std::cout << json::serialize(body) << "\n";
}

void
PrintText(const StatusReport& aReport)
{
  std::cout << "revision " << aReport.revision_ << ", in force everywhere: "
            << (aReport.IsInForceEverywhere() ? "yes" : "no") << "\n";
  for (const json::value& control : aReport.controls_) {
    const json::object& fields = control.as_object();
    const json::value* error = fields.if_contains("error");
    std::cout << "control " << fields.at("address") << "  "
              << (error == nullptr ? "revision " : "")
              << (error == nullptr ? fields.at("revision") : *error) << "\n";
  }
  for (const auto& [id, entry] : aReport.entries_) {
    std::cout << "entry \"" << id << "\"  revision " << entry.at("revision")
              << "  " << entry.at("failure_domain")
              << (entry.at("draining").as_bool() ? "  draining" : "") << "\n";
  }
}

} // namespace

int
ReportStatus(const CommandContext& aContext)
{
  StatusReport report;
  bool hasAnswer = false;
  for (const auto& [address, answer] :
       aContext.callEach_({ "GET", "/v1/status", {}, "" })) {
    hasAnswer = hasAnswer || answer.has_value();
    AddAnswer(report, address, answer);
  }
  if (IsJsonOutput(aContext)) {
    PrintJson(report);
  } else {
    PrintText(report);
  }
  return hasAnswer ? ExitDone : ExitUnreachable;
}

} // namespace tanagerstall
