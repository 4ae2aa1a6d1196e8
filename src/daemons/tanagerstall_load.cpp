// Load generator, benchmarks and scheduling experiments.
#include "tanagerstall/process/experiment/tanagerstall_decision_benchmark.hpp"
#include "tanagerstall/process/experiment/tanagerstall_experiment_report.hpp"
#include "tanagerstall/process/experiment/tanagerstall_history_callers.hpp"
#include "tanagerstall/process/experiment/tanagerstall_log_benchmark.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <array>
#include <boost/program_options/value_semantic.hpp>
#include <fstream>
#include <iostream>
#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/parallel_for.h>

using namespace tanagerstall;
namespace po = boost::program_options;

namespace {

/// Experiments that run at the same time.
constexpr std::size_t kThreads = 3;

/// Returns whether a list of names separated by commas is "all" or contains
/// `aName`.
bool
IsSelected(const std::string& aWanted, const std::string& aName)
{
  if (aWanted == "all") {
    return true;
  }
  auto names = SplitList(aWanted);
  return std::find(names.begin(), names.end(), aName) != names.end();
}

/// Returns every combination of mix, scenario, policy and seed that the options
/// select.
std::vector<ExperimentCase>
SelectCases(const po::variables_map& aSettings)
{
  std::vector<ExperimentCase> cases;
  auto wantedMix = aSettings["mix"].as<std::string>();
  auto wantedScenario = aSettings["scenario"].as<std::string>();
  auto wantedPolicy = aSettings["policy"].as<std::string>();
  for (const auto& mix : ExperimentMixes()) {
    for (const auto& scenario : ExperimentScenarios()) {
      for (const auto& [name, policy] : ExperimentPolicies()) {
        for (unsigned i = 0; i < aSettings["seeds"].as<unsigned>(); ++i) {
          ExperimentCase experiment{ mix, scenario, name, policy };
          experiment.seed_ = aSettings["seed"].as<std::uint64_t>() + i;
          experiment.length_ =
            std::chrono::seconds(aSettings["seconds"].as<unsigned>());
          if (IsSelected(wantedMix, mix.name_) &&
              IsSelected(wantedScenario, scenario.name_) &&
              IsSelected(wantedPolicy, name)) {
            cases.push_back(experiment);
          }
        }
      }
    }
  }
  return cases;
}

int
RunExperiments(int aCount, const char* const* aArguments)
{
  po::options_description options("tanagerstall-load experiment");
  auto add = options.add_options();
  add("help", "print this help");
  add("mix",
      po::value<std::string>()->default_value("all"),
      "fundacion, hanbit or all");
  add("scenario",
      po::value<std::string>()->default_value("all"),
      "names of scenarios, separated by commas, or all");
  add("policy",
      po::value<std::string>()->default_value("all"),
      "names of policies, separated by commas, or all");
  add("seed", po::value<std::uint64_t>()->default_value(1), "first seed");
  add("seeds", po::value<unsigned>()->default_value(3), "number of seeds");
  add("seconds",
      po::value<unsigned>()->default_value(300),
      "simulated length of an experiment");
  add(
    "json", po::value<std::string>(), "file to write the results to, as JSON");
  add("report", po::value<std::string>(), "file to write a page with plots to");
  auto settings = ReadSettingsOrExit(aCount, aArguments, options);
  auto cases = SelectCases(settings);
  ExperimentResults results(cases.size());
  oneapi::tbb::global_control limit(
    oneapi::tbb::global_control::max_allowed_parallelism, kThreads);
  oneapi::tbb::parallel_for(std::size_t(0), cases.size(), [&](std::size_t aI) {
    results[aI] = RunExperiment(cases[aI]);
  });
  if (settings.contains("json")) {
    std::ofstream(settings["json"].as<std::string>())
      << ExperimentJson(results) << '\n';
  }
  if (settings.contains("report")) {
    std::ofstream(settings["report"].as<std::string>())
      << ExperimentPage(results);
  }
  std::cout << ExperimentTable(results);
  return 0;
}

int
RunDecisionBenchmark(int /*aCount*/, const char* const* /*aArguments*/)
{
  constexpr std::size_t kRequests = 20000;
  std::cout << "| upstreams | median us | p99 us |\n|---|---|---|\n";
  for (const auto& cost : MeasureDecisions(
         { 10, 20, 50, 100, 200, 500, 1000, 2000, 4300 }, kRequests)) {
    std::cout << "| " << cost.upstreams_ << " | " << cost.median_.count()
              << " | " << cost.p99_.count() << " |\n";
  }
  auto admission = MeasureAdmission(4300, kRequests);
  std::cout << "| " << admission.upstreams_ << ", admission | "
            << admission.median_.count() << " | " << admission.p99_.count()
            << " |\n";
  return 0;
}

/// Runs concurrent callers and checks their responses against the executions at
/// the stand-ins. Returns 1 if the history violates a guarantee.
int
RunHistory(int aCount, const char* const* aArguments)
{
  po::options_description options("tanagerstall-load history");
  auto add = options.add_options();
  auto text = [] { return po::value<std::string>()->required(); };
  add("help", "print this help");
  add("entries", text(), "IP:port of entries, separated by commas");
  add("standins",
      text(),
      "IP:port of every stand-in of the service, separated by commas");
  add("organisation", text(), "name of the organisation");
  add("token", text(), "its bearer token");
  add("target", text(), "path of the request");
  add("callers", po::value<unsigned>()->default_value(4), "concurrent callers");
  add("requests",
      po::value<unsigned>()->default_value(20),
      "requests of each caller");
  add("seed",
      po::value<std::uint64_t>()->default_value(1),
      "seed of the callers' random numbers");
  auto settings = ReadSettingsOrExit(aCount, aArguments, options);
  auto value = [&](const char* aName) {
    return settings[aName].as<std::string>();
  };
  HistorySettings history;
  history.entries_ = ReadAddressesOrExit(settings, "entries");
  history.standins_ = ReadAddressesOrExit(settings, "standins");
  history.organisation_ = value("organisation");
  history.token_ = value("token");
  history.target_ = value("target");
  history.callers_ = settings["callers"].as<unsigned>();
  history.requestsPerCaller_ = settings["requests"].as<unsigned>();
  history.seed_ = settings["seed"].as<std::uint64_t>();
  CallerHistory observed = RunHistoryCallers(history);
  std::map<ObservedOutcome, unsigned> counts;
  for (const auto& sending : observed.submissions_) {
    ++counts[sending.outcome_];
  }
  auto violations = CheckHistory(observed);
  std::cout << "{\"sendings\":" << observed.submissions_.size()
            << ",\"answered\":" << counts[ObservedOutcome::Answered]
            << ",\"not_run\":" << counts[ObservedOutcome::NotRun]
            << ",\"unknown\":" << counts[ObservedOutcome::Unknown]
            << ",\"accepted\":" << counts[ObservedOutcome::Accepted]
            << ",\"lost\":" << counts[ObservedOutcome::NoAnswer]
            << ",\"runs\":" << observed.executions_.size()
            << ",\"violations\":" << violations.size() << "}\n";
  for (const auto& violation : violations) {
    std::cerr << violation << "\n";
  }
  return violations.empty() ? 0 : 1;
}

struct LoadCommand
{
  std::string_view name_;
  int (*run_)(int aCount, const char* const* aArguments);
};

constexpr std::array kCommands{
  LoadCommand{ "decision-benchmark", RunDecisionBenchmark },
  LoadCommand{ "experiment", RunExperiments },
  LoadCommand{ "history", RunHistory },
  LoadCommand{ "log-benchmark", RunLogBenchmark },
};

} // namespace

int
main(int aCount, char** aArguments)
{
  std::string_view name = aCount > 1 ? aArguments[1] : "";
  for (const auto& command : kCommands) {
    if (command.name_ == name) {
      try {
        return command.run_(aCount - 1, aArguments + 1);
      } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 2;
      }
    }
  }
  std::cerr << "usage: tanagerstall-load COMMAND [--help]\n";
  for (const auto& command : kCommands) {
    std::cerr << "  " << command.name_ << "\n";
  }
  return 2;
}
