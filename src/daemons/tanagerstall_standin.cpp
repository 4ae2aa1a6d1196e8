// Stand-in for a model engine or a plain service, for tests and local runs.
#include "tanagerstall/process/standin/tanagerstall_standin.hpp"
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
  po::options_description options = DaemonOptions("tanagerstall-standin");
  auto add = options.add_options();
  add("service", po::value<std::string>()->required(), "service to announce");
  add(
    "kind", po::value<std::string>()->default_value("plain"), "model or plain");
  add("address",
      po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port to serve on");
  add("region", po::value<std::string>()->default_value("default"), "region");
  add("failure-domain",
      po::value<std::string>()->default_value("default"),
      "failure domain");
  add("entries",
      po::value<std::string>()->required(),
      "IP:port of entries to announce to, separated by commas");
  add("token-ms",
      po::value<int>()->default_value(5),
      "milliseconds between two tokens");
  add("faults",
      po::value<std::string>()->default_value("{}"),
      "JSON object of faults to simulate, as for POST /faults");
  add("instance-class",
      po::value<std::string>()->default_value(""),
      "instance class");
  add("price-per-hour",
      po::value<double>()->default_value(0.0),
      "price of the instance per hour");
  add("checks-fencing",
      po::value<bool>()->default_value(false),
      "whether to announce that it checks fencing tokens");
  add("token",
      po::value<std::string>()->default_value(""),
      "bearer token for announcements");
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
  auto text = [&](const char* aName) {
    return settings[aName].as<std::string>();
  };
  StartLog("standin", ParseSeverity(text("log-level")));
  StandinSettings standin;
  standin.isModel_ = text("kind") == "model";
  standin.info_.service_ = text("service");
  standin.info_.region_ = text("region");
  standin.info_.failureDomain_ = text("failure-domain");
  standin.faults_.betweenTokens_ =
    std::chrono::milliseconds(settings["token-ms"].as<int>());
  auto faults = ReadStandinFaults(text("faults"), standin.faults_);
  if (!faults) {
    std::cerr << "error: --faults: " << faults.error() << "\n";
    return 2;
  }
  standin.faults_ = *faults;
  standin.info_.instanceClass_ = text("instance-class");
  standin.info_.pricePerHour_ = settings["price-per-hour"].as<double>();
  standin.info_.checksFencing_ = settings["checks-fencing"].as<bool>();
  standin.token_ = text("token");
  standin.address_ = ReadAddressOrExit(settings, "address");
  standin.entries_ = ReadAddressesOrExit(settings, "entries");
  ExitIfCheckOnly(settings);
  RunProcess([&] { return RunStandin(std::move(standin)); });
}
