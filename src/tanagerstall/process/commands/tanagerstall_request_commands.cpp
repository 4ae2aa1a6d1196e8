#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace tanagerstall {

namespace json = boost::json;
namespace po = boost::program_options;

namespace {

void
AddListOptions(po::options_description& aOptions)
{
  auto add = aOptions.add_options();
  add("state",
      po::value<std::string>()->default_value("unknown"),
      "state of the requests to list: accepted, granted, answered, unknown or "
      "withdrawn");
  add("organisation",
      po::value<std::string>()->default_value(""),
      "list only requests of this organisation");
}

int
List(const CommandContext& aContext)
{
  std::string target =
    "/v1/requests?state=" + aContext.settings_["state"].as<std::string>();
  auto organisation = aContext.settings_["organisation"].as<std::string>();
  if (!organisation.empty()) {
    target += "&organisation=" + organisation;
  }
  return ReportAnswer(aContext.call_({ "GET", target, {}, "" }));
}

void
AddSettleOptions(po::options_description& aOptions)
{
  auto add = aOptions.add_options();
  add("not-run", po::bool_switch(), "the request did not run");
  add("ran",
      po::bool_switch(),
      "the request ran; the options below give its answer");
  add("status", po::value<std::uint16_t>()->default_value(200), "HTTP status");
  add("content-type",
      po::value<std::string>()->default_value("application/json"),
      "content type of the answer");
  add("body-file",
      po::value<std::string>()->default_value(""),
      "file with the body of the answer");
}

int
Settle(const CommandContext& aContext)
{
  const auto& settings = aContext.settings_;
  bool ran = settings["ran"].as<bool>();
  if (aContext.arguments_.size() != 2 ||
      ran == settings["not-run"].as<bool>()) {
    std::cerr
      << "error: settle takes ORGANISATION KEY and one of --ran, --not-run\n";
    return ExitUsage;
  }
  json::object body{ { "organisation", aContext.arguments_[0] },
                     { "key", aContext.arguments_[1] },
                     { "ran", ran } };
  if (ran) {
    std::ifstream file(settings["body-file"].as<std::string>());
    if (!file) {
      std::cerr << "error: the file of --body-file can't be read\n";
      return ExitUsage;
    }
    body["status"] = settings["status"].as<std::uint16_t>();
    body["content_type"] = settings["content-type"].as<std::string>();
    body["body"] = std::string(std::istreambuf_iterator<char>(file), {});
  }
  return ReportAnswer(aContext.call_(
    { "POST", "/v1/requests/settle", {}, json::serialize(body) }));
}

} // namespace

std::vector<OperatorCommand>
RequestCommands()
{
  return { { "requests",
             "requests --state unknown [--organisation NAME]",
             AddListOptions,
             List },
           { "settle",
             "settle ORGANISATION KEY --not-run | --ran --status N "
             "--body-file FILE",
             AddSettleOptions,
             Settle } };
}

} // namespace tanagerstall
