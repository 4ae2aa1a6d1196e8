// Entry daemon: forwards callers' requests and receives upstreams'
// announcements.
#include "tanagerstall/process/tanagerstall_entry.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_process_run.hpp"

#include <boost/program_options/value_semantic.hpp>

namespace po = boost::program_options;
using namespace tanagerstall;

namespace {

po::options_description
Options()
{
  po::options_description options = DaemonOptions("tanagerstall-entryd");
  auto add = options.add_options();
  add("id", po::value<std::string>()->required(), "name of this entry");
  add("region",
      po::value<std::string>()->default_value("default"),
      "region of this instance");
  add("failure-domain",
      po::value<std::string>()->default_value("default"),
      "failure domain of this instance");
  add("caller-address",
      po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port for callers and upstreams (HTTP)");
  add("peer-address",
      po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port for other entries (RPC)");
  add("control",
      po::value<std::string>()->required(),
      "IP:port of every control process, separated by commas");
  add("traffic-threads",
      po::value<std::size_t>()->default_value(2),
      "number of threads that forward requests");
  add("operator-token",
      po::value<std::string>()->default_value(""),
      "bearer token for POST /v1/reclaim; better set through the environment, "
      "as arguments are visible to other users");
  add("upstream-token",
      po::value<std::string>()->default_value(""),
      "bearer token that announcements of upstreams need; empty accepts all");
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
  StartLog("entryd", ParseSeverity(text("log-level")));
  EntrySettings entrySettings;
  entrySettings.id_ = text("id");
  entrySettings.region_ = text("region");
  entrySettings.failureDomain_ = text("failure-domain");
  entrySettings.callerAddress_ = ReadAddressOrExit(settings, "caller-address");
  entrySettings.peerAddress_ = ReadAddressOrExit(settings, "peer-address");
  entrySettings.control_ = ReadAddressesOrExit(settings, "control");
  entrySettings.trafficThreads_ = settings["traffic-threads"].as<std::size_t>();
  entrySettings.operatorToken_ = text("operator-token");
  entrySettings.upstreamToken_ = text("upstream-token");
  ExitIfCheckOnly(settings);
  RunProcess([&] {
    Entry entry(std::move(entrySettings));
    return entry.Run();
  });
}
