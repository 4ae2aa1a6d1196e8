// Control daemon: keeps the replicated state and serves the operators' API.
#include "tanagerstall/process/tanagerstall_controller.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_process_run.hpp"

#include <boost/program_options/value_semantic.hpp>
#include <iostream>

namespace po = boost::program_options;
using namespace tanagerstall;

namespace {

po::options_description
Options()
{
  po::options_description options = DaemonOptions("tanagerstall-controld");
  auto add = options.add_options();
  add("id", po::value<std::string>()->required(), "name of this member");
  add("failure-domain",
      po::value<std::string>()->default_value("default"),
      "failure domain of this instance");
  add("operator-address",
      po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port for operators (HTTP)");
  add("rpc-address",
      po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port for entries (RPC)");
  add("member-address",
      po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port for other members (RPC)");
  add("bootstrap",
      po::bool_switch(),
      "start a new cluster; refused if the data folder is in use");
  add("join",
      po::bool_switch(),
      "wait to be added to a cluster; can't be combined with --bootstrap. An "
      "empty data folder without either option waits too");
  add("data-folder",
      po::value<std::string>()->required(),
      "folder for this member's durable state");
  add("log-level",
      po::value<std::string>()->default_value("info"),
      "debug, info, warning or error");
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto settings = ReadSettingsOrExit(aCount, aArguments, Options());
  if (settings["bootstrap"].as<bool>() && settings["join"].as<bool>()) {
    std::cerr << "error: --bootstrap and --join can't be combined\n";
    return 2;
  }
  StartLog("controld", ParseSeverity(settings["log-level"].as<std::string>()));
  ControllerSettings controller{ settings["id"].as<std::string>(),
                                 settings["failure-domain"].as<std::string>(),
                                 ReadAddressOrExit(settings,
                                                   "operator-address"),
                                 ReadAddressOrExit(settings, "rpc-address"),
                                 ReadAddressOrExit(settings, "member-address"),
                                 settings["data-folder"].as<std::string>(),
                                 settings["bootstrap"].as<bool>() };
  ExitIfCheckOnly(settings);
  RunProcess([&] {
    Controller process(std::move(controller));
    return process.Run();
  });
}
