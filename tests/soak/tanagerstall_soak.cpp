// Fault-injection soak test: runs the platform's programs as processes, injects
// faults, and checks what callers, replicas, operators and the cloud observe.
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
/// Requests must be served again this long after the last repair.
constexpr Duration kRecoveryLimit = std::chrono::seconds(15);
/// The same limit for runs without checks of time bounds.
constexpr Duration kMaxRecoveryTime = std::chrono::seconds(60);
constexpr Duration kSteadyTime = std::chrono::seconds(4);
/// Smallest share of requests that must be served in steady state, which
/// includes the planned work.
constexpr double kMinServedRatio = 0.25;

/// Waits until requests on all routes are served, and records a finding if that
/// takes too long.
void
AwaitService(Fiber& aFiber, Environment& aEnvironment, const char* aAfter)
{
  auto begin = aEnvironment.clock_.Now();
  auto limit =
    aEnvironment.options_.checksTimeBounds_ ? kRecoveryLimit : kMaxRecoveryTime;
  while (!IsServed(aFiber, aEnvironment)) {
    if (aEnvironment.clock_.Now() > begin + limit) {
      aEnvironment.AddFinding(
        { "RECOVER",
          std::string("requests are not served in time after ") + aAfter });
      return;
    }
    aFiber.Sleep(kPoll);
  }
  LogEvent(Severity::Info,
           "service available",
           { { "after", aAfter },
             { "seconds", InSeconds(aEnvironment.clock_.Now() - begin) } });
}

void
CheckSteadyState(Environment& aEnvironment)
{
  const SteadyCounts& counts = aEnvironment.steadyCounts_;
  double ratio = counts.sent_ == 0 ? 0.0 : 1.0 * counts.served_ / counts.sent_;
  LogEvent(Severity::Info,
           "served in steady state",
           { { "sent", counts.sent_ }, { "served", counts.served_ } });
  if (ratio < kMinServedRatio) {
    aEnvironment.AddFinding({ "RECOVER",
                              std::to_string(counts.served_) + " of " +
                                std::to_string(counts.sent_) +
                                " served in steady state" });
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
    aEnvironment.AddFinding({ "SOAK", "can't start the environment" });
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
  // Callers complete their open requests before the processes stop.
  aFiber.Sleep(kSettleTime);
  aEnvironment.StopProcesses(aFiber);
}

/// Runs one seed and returns the number of findings.
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
  add("seed", value<std::uint64_t>()->default_value(1), "first seed to run");
  add("seeds",
      value<int>()->default_value(1),
      "number of consecutive seeds to run");
  add("rounds", value<int>()->default_value(3), "rounds of faults per seed");
  add("control", value<int>()->default_value(5), "number of control processes");
  add("entries", value<int>()->default_value(4), "entries");
  add("replicas", value<int>()->default_value(3), "replicas per service");
  add(
    "callers", value<int>()->default_value(12), "number of concurrent callers");
  add("faults",
      value<std::string>()->default_value(""),
      "comma-separated names of the faults to inject; all by default");
  add("without-times", "skip the checks of guarantees with a time bound");
  add("programs",
      value<std::string>()->required(),
      "folder that contains the platform's programs");
  add("preload",
      value<std::string>()->required(),
      "path of the shared object to preload");
  add("folder",
      value<std::string>()->required(),
      "folder for settings, logs and data");
  return options;
}

/// Parses a comma-separated list of faults; exits if one is unknown.
std::vector<std::string_view>
RequireFaults(const std::string& aList)
{
  std::vector<std::string_view> faults;
  auto known = FaultNames();
  for (const auto& name : SplitList(aList)) {
    auto it = std::find(known.begin(), known.end(), name);
    if (it == known.end()) {
      std::cerr << "unknown fault \"" << name << "\"; known faults:";
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

/// Returns an integer setting; exits if it isn't from `aLow` to `aHigh`.
int
RequireBetween(const boost::program_options::variables_map& aSettings,
               const char* aName,
               int aLow,
               int aHigh)
{
  int number = aSettings[aName].as<int>();
  if (number < aLow || number > aHigh) {
    std::cerr << "--" << aName << " must be from " << aLow << " to " << aHigh
              << '\n';
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
  LogEvent(Severity::Info, "soak finished", { { "findings", findings } });
  EndProcess(findings == 0 ? 0 : 1);
}
