// Runs the platform's programs as processes, lets faults happen to them, and
// checks what callers, replicas, operators and the cloud see.
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"
#include "tanagerstall_soak_callers.hpp"
#include "tanagerstall_soak_environment.hpp"
#include "tanagerstall_soak_faults.hpp"
#include "tanagerstall_soak_operators.hpp"

#include <algorithm>
#include <boost/program_options/value_semantic.hpp>
#include <filesystem>
#include <future>
#include <iostream>

using namespace tanagerstall;
using namespace tanagerstall::soak;

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(200);
/// Requests have to be served again this long after the last repair.
constexpr Duration kRecoveryLimit = std::chrono::seconds(15);
/// Without checks of time, a run gives up on service after this.
constexpr Duration kMaxRecoveryTime = std::chrono::seconds(60);
constexpr Duration kSteadyTime = std::chrono::seconds(4);
/// The part of the requests that has to be served in calm.
constexpr double kMinServedRatio = 0.25;

/// Waits until every kind of request is served.
void
AwaitService(Fiber& aFiber, Environment& aEnvironment, const char* aAfter)
{
  auto begin = aEnvironment.clock_.Now();
  auto limit =
    aEnvironment.options_.checksTimeBounds_ ? kRecoveryLimit : kMaxRecoveryTime;
  while (!IsServed(aFiber, aEnvironment)) {
    if (aEnvironment.clock_.Now() > begin + limit) {
      aEnvironment.AddFinding(
        { "RECOVER", std::string("no service in time after ") + aAfter });
      return;
    }
    aFiber.Sleep(kPoll);
  }
  LogEvent(Severity::Info,
           "served again",
           { { "after", aAfter },
             { "seconds", InSeconds(aEnvironment.clock_.Now() - begin) } });
}

void
CheckSteadyState(Environment& aEnvironment)
{
  const SteadyCounts& counts = aEnvironment.steadyCounts_;
  double ratio = counts.sent_ == 0 ? 0.0 : 1.0 * counts.served_ / counts.sent_;
  LogEvent(Severity::Info,
           "served in calm",
           { { "sent", counts.sent_ }, { "served", counts.served_ } });
  if (ratio < kMinServedRatio) {
    aEnvironment.AddFinding({ "RECOVER",
                              std::to_string(counts.served_) + " of " +
                                std::to_string(counts.sent_) +
                                " served in calm" });
  }
}

void
RunRound(Fiber& aFiber, Environment& aEnvironment)
{
  InjectOverlappingFaults(aFiber, aEnvironment);
  AwaitService(aFiber, aEnvironment, "faults");
  aFiber.Sleep(kSettleTime);
  aEnvironment.steadyCounts_ = {};
  RunPlannedWork(aFiber, aEnvironment);
  aFiber.Sleep(kSteadyTime);
  CheckSteadyState(aEnvironment);
}

void
RunScenario(Fiber& aFiber, Environment& aEnvironment)
{
  if (!StartCloud(aEnvironment) || !aEnvironment.Start()) {
    aEnvironment.AddFinding({ "SOAK", "can't start" });
    return;
  }
  aFiber.Spawn(
    [&aEnvironment](Fiber& aIt) { SuperviseProcesses(aIt, aEnvironment); });
  StartOperators(aEnvironment);
  AwaitService(aFiber, aEnvironment, "the start");
  StartCallers(aEnvironment);
  for (int i = 0; i < aEnvironment.options_.rounds_; ++i) {
    RunRound(aFiber, aEnvironment);
  }
  VerifyConfiguration(
    aFiber, aEnvironment, aEnvironment.clock_.Now() + kMaxRecoveryTime);
  aEnvironment.isFinished_ = true;
  // Callers end what they have begun.
  aFiber.Sleep(kSettleTime);
  aEnvironment.StopProcesses(aFiber);
}

/// The number of findings.
std::size_t
RunSeed(SoakOptions aOptions)
{
  std::filesystem::remove_all(aOptions.folder_);
  LogEvent(Severity::Info, "seed", { { "seed", aOptions.seed_ } });
  auto environment = std::make_unique<Environment>(std::move(aOptions));
  std::promise<void> finished;
  environment->threads_.Spawn([&](Fiber& aFiber) {
    RunScenario(aFiber, *environment);
    finished.set_value();
  });
  finished.get_future().wait();
  environment->threads_.Stop();
  return environment->findings_.size();
}

boost::program_options::options_description
Options()
{
  using boost::program_options::value;
  auto options = DaemonOptions("tanagerstall-soak");
  auto add = options.add_options();
  add("seed", value<std::uint64_t>()->default_value(1), "first seed");
  add("seeds", value<int>()->default_value(1), "number of seeds");
  add("rounds", value<int>()->default_value(3), "rounds of faults a seed");
  add("control", value<int>()->default_value(5), "control processes");
  add("entries", value<int>()->default_value(4), "entries");
  add("replicas", value<int>()->default_value(3), "replicas a service");
  add("callers", value<int>()->default_value(12), "callers at once");
  add("faults",
      value<std::string>()->default_value(""),
      "names of the faults, separated by commas; all by default");
  add("without-times", "check no promise that has a time bound");
  add("programs", value<std::string>()->required(), "folder of the programs");
  add("preload", value<std::string>()->required(), "the preloaded object");
  add("folder", value<std::string>()->required(), "folder for a seed's files");
  return options;
}

/// Names of faults; ends the process if one is unknown.
std::vector<std::string_view>
RequireFaults(const std::string& aList)
{
  std::vector<std::string_view> faults;
  auto known = FaultNames();
  for (const auto& name : SplitList(aList)) {
    auto it = std::find(known.begin(), known.end(), name);
    if (it == known.end()) {
      std::cerr << "there is no fault " << name << "; known are:";
      for (auto other : known) {
        std::cerr << ' ' << other;
      }
      std::cerr << '\n';
      EndProcess(2);
    }
    faults.push_back(*it);
  }
  return faults;
}

/// A whole number that addresses leave room for; ends the process otherwise.
int
RequireBetween(const boost::program_options::variables_map& aSettings,
               const char* aName,
               int aLow,
               int aHigh)
{
  int number = aSettings[aName].as<int>();
  if (number < aLow || number > aHigh) {
    std::cerr << "--" << aName << " has to lie between " << aLow << " and "
              << aHigh << '\n';
    EndProcess(2);
  }
  return number;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto settings = ReadSettingsOrExit(aCount, aArguments, Options());
  SoakOptions options;
  options.seed_ = settings["seed"].as<std::uint64_t>();
  options.rounds_ = RequireBetween(settings, "rounds", 0, 1000);
  options.control_ = RequireBetween(settings, "control", 1, kMaxControl);
  options.entries_ = RequireBetween(settings, "entries", 1, kMaxEntries);
  options.replicas_ = RequireBetween(settings, "replicas", 1, kMaxReplicas);
  options.callers_ = RequireBetween(settings, "callers", 1, 2000);
  options.checksTimeBounds_ = settings.count("without-times") == 0;
  options.faults_ = RequireFaults(settings["faults"].as<std::string>());
  options.programs_ =
    std::filesystem::absolute(settings["programs"].as<std::string>()).string();
  options.preload_ =
    std::filesystem::absolute(settings["preload"].as<std::string>()).string();
  std::string folder =
    std::filesystem::absolute(settings["folder"].as<std::string>()).string();
  StartLog("soak", Severity::Info, std::cout);
  std::size_t findings = 0;
  int seeds = RequireBetween(settings, "seeds", 1, 100'000);
  for (int i = 0; i < seeds; ++i) {
    options.folder_ = folder + "/seed-" + std::to_string(options.seed_);
    findings += RunSeed(options);
    ++options.seed_;
  }
  LogEvent(Severity::Info, "over", { { "findings", findings } });
  EndProcess(findings == 0 ? 0 : 1);
}
