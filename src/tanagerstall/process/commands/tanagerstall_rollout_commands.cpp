#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"
#include "tanagerstall/version/tanagerstall_rollout.hpp"

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <iostream>

namespace tanagerstall {

namespace json = boost::json;
namespace po = boost::program_options;

namespace {

void
AddOptions(po::options_description& aOptions)
{
  aOptions.add_options()("service",
                         po::value<std::string>()->default_value(""),
                         "the service whose traffic moves")(
    "to",
    po::value<std::string>()->default_value(""),
    "the version that the traffic moves to")(
    "duration",
    po::value<double>()->default_value(0.0),
    "seconds from the order to its deadline");
}

int
Start(const CommandContext& aContext)
{
  auto duration =
    ToRolloutDuration(aContext.settings_["duration"].as<double>());
  if (!duration) {
    std::cerr << "error: --duration must be above 0 and at most "
              << std::chrono::duration_cast<std::chrono::seconds>(
                   kMaxRolloutDuration)
                   .count()
              << " seconds\n";
    return ExitUsage;
  }
  json::object body{ { "service",
                       aContext.settings_["service"].as<std::string>() },
                     { "version", aContext.settings_["to"].as<std::string>() },
                     { "duration_ms", duration->count() } };
  return ReportAnswer(
    aContext.call_({ "POST", "/v1/rollouts", {}, json::serialize(body) }));
}

int
Run(const CommandContext& aContext)
{
  std::string action =
    aContext.arguments_.empty() ? "" : aContext.arguments_[0];
  if (action == "list") {
    return ReportAnswer(aContext.call_({ "GET", "/v1/rollouts", {}, "" }));
  }
  std::string service = aContext.settings_["service"].as<std::string>();
  if (action == "get" && !service.empty()) {
    return ReportAnswer(
      aContext.call_({ "GET", "/v1/rollouts/" + service, {}, "" }));
  }
  bool hasOrder =
    !service.empty() && !aContext.settings_["to"].as<std::string>().empty();
  if (action == "start" && hasOrder) {
    return Start(aContext);
  }
  std::cerr << "error: rollout takes start with --service, --to and "
               "--duration, get with --service, or list\n";
  return ExitUsage;
}

} // namespace

std::vector<OperatorCommand>
RolloutCommands()
{
  return { { "rollout",
             "rollout start|get|list --service S --to VERSION --duration "
             "SECONDS",
             AddOptions,
             Run } };
}

} // namespace tanagerstall
