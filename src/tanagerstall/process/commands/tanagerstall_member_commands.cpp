#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace tanagerstall {

namespace json = boost::json;
namespace po = boost::program_options;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 200 };

void
AddOptions(po::options_description& aOptions)
{
  aOptions.add_options()("id",
                         po::value<std::string>()->default_value(""),
                         "name of the member to add, remove or replace")(
    "address",
    po::value<std::string>()->default_value(""),
    "IP:port at which other members reach the new member")(
    "timeout", po::value<unsigned>()->default_value(60), "seconds to wait");
}

bool
IsDone(const HttpResponse& aResponse)
{
  json::error_code error;
  json::value body = json::parse(aResponse.body_, error);
  const json::object* object = error ? nullptr : body.if_object();
  const json::value* done =
    object == nullptr ? nullptr : object->if_contains("done");
  return done != nullptr && done->is_bool() && done->get_bool();
}

/// Returns whether any group lists a member of this name. The control process
/// treats the removal of an unknown member as done, so a mistyped name would
/// otherwise go unnoticed.
bool
IsListed(const HttpResponse& aList, const std::string& aName)
{
  return aList.body_.find("\"name\":" + json::serialize(json::string(aName))) !=
         std::string::npos;
}

/// Repeats the request until every step of the change is done or the timeout
/// expires. Each request advances it by at most one step.
int
ChangeMembership(const CommandContext& aContext, const std::string& aAction)
{
  json::object body{ { "action", aAction },
                     { "name", aContext.settings_["id"].as<std::string>() },
                     { "address",
                       aContext.settings_["address"].as<std::string>() } };
  auto deadline =
    std::chrono::steady_clock::now() +
    std::chrono::seconds(aContext.settings_["timeout"].as<unsigned>());
  while (true) {
    auto answer =
      aContext.call_({ "POST", "/v1/members", {}, json::serialize(body) });
    bool isTimedOut = std::chrono::steady_clock::now() >= deadline;
    if (answer && answer->status_ == 200 && IsDone(*answer)) {
      return ReportAnswer(answer);
    }
    bool canRetry = !answer || answer->status_ == 200 || answer->status_ == 503;
    if (!canRetry) {
      return ReportAnswer(answer);
    }
    if (isTimedOut) {
      std::cerr << "error: the members change was not done within --timeout\n";
      ReportAnswer(answer);
      return ExitRefused;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int
Run(const CommandContext& aContext)
{
  std::string action =
    aContext.arguments_.empty() ? "" : aContext.arguments_[0];
  auto list = [&] { return aContext.call_({ "GET", "/v1/members", {}, "" }); };
  if (action == "list") {
    return ReportAnswer(list());
  }
  std::string name = aContext.settings_["id"].as<std::string>();
  if (name.empty() ||
      (action != "add" && action != "remove" && action != "replace")) {
    std::cerr
      << "error: member takes add, remove or replace with --id NAME, or "
         "list\n";
    return ExitUsage;
  }
  if (action != "add") {
    auto members = list();
    if (members && members->status_ == 200 && !IsListed(*members, name)) {
      std::cerr << "error: there is no member " << name << "\n";
      return ExitRefused;
    }
  }
  return ChangeMembership(aContext, action);
}

} // namespace

std::vector<OperatorCommand>
MemberCommands()
{
  return { { "member",
             "member add|remove|replace|list --id NAME --address IP:port",
             AddOptions,
             Run } };
}

} // namespace tanagerstall
