// Three control machines of which one may be lost. One of them is removed for
// good and replaced by an empty one; long after that, another one loses its
// disk. What was acknowledged has to be read back.
#include "stand.hpp"

using namespace stand;

namespace {

std::string
Configuration(int aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/a/",)"
         R"("kind":"safe","timeoutMs":2000,"targetLatencyMs":500,"priority":1,)"
         R"("service":"s1","attempts":2,"anonymous":true}],"services":[{"name":)"
         R"("s1","healthPath":"/health","maxConnections":100}],"limits":{)"
         R"("maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// Reads the configuration at each machine in turn. Returns the version of the
/// first answer with status 200, or 0 if none comes in time.
int
ReadBack(const Deployment& aDeployment,
         const std::vector<int>& aMachines,
         long aWithinMs)
{
  auto end = Clock::now() + Ms(aWithinMs);
  std::map<int, int> statuses;
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    int machine = aMachines[i % aMachines.size()];
    auto answer = Call(aDeployment.Control(machine),
                       "GET",
                       "/tanagerstall/configuration",
                       {},
                       "",
                       3000);
    RECORD("operator: GET configuration at machine %d -> %d %.14s",
           machine,
           answer.Status(),
           answer.body_.c_str());
    if (answer.Status() == 200) {
      return std::atoi(answer.body_.c_str() + std::strlen(R"({"version":)"));
    }
    ++statuses[answer.Status()];
    Sleep(200);
  }
  for (auto [status, count] : statuses) {
    Show("reads answered " + std::to_string(status) + ": " +
         std::to_string(count));
  }
  return 0;
}

} // namespace

int
main(int, char** aArguments)
{
  Record::Get().Open(aArguments[1]);
  Deployment deployment;
  Platform platform(deployment);
  const std::vector<int> seeds{ 1, 2, 3 };
  auto a = deployment.Make("core-1", true, 1, seeds, true);
  auto b = deployment.Make("core-2", true, 2, seeds, true);
  auto c = deployment.Make("core-3", true, 3, seeds, true);
  for (auto* each : { &a, &b, &c }) {
    (*each)->Start();
  }
  std::vector<int> machines{ 1, 2, 3 };
  auto addresses = [&] {
    std::vector<Address> all;
    for (int machine : machines) {
      all.push_back(deployment.Control(machine));
    }
    return all;
  };
  if (!PutConfiguration(addresses(), Configuration(1), 15000)) {
    End(CannotRun, "the first configuration was not acknowledged");
  }
  Sleep(5000);

  std::unique_ptr<Process> d;
  bool isReplaced = HasTrouble() || std::getenv("ONLY_REPLACE") != nullptr;
  bool isWiped = HasTrouble() || std::getenv("ONLY_WIPE") != nullptr;
  if (isReplaced) {
    Show("core-3 is gone for good; core-4 is added a second later");
    c->Kill();
    std::filesystem::remove_all(deployment.DataFolder("core-3"));
    Sleep(1000);
    // The list that seeds come from lags; both that remain stand in it.
    d = deployment.Make("core-4", true, 4, seeds, false);
    d->Start();
    machines = { 1, 2, 4 };
  }
  // catchUpS (4 s) and contactWindowMs (4 s) are over long before.
  Sleep(20000);
  if (!PutConfiguration(addresses(), Configuration(2), 10000)) {
    End(CannotRun, "no acknowledgement after the replacement");
  }
  Show("version 2 is acknowledged");
  if (isWiped) {
    Show("core-1 loses its disk and starts again at once");
    a->Kill();
    std::filesystem::remove_all(deployment.DataFolder("core-1"));
    deployment.WriteSettings(*a, true, 1, machines, false);
    a->Start();
  }
  // recoveryS (12 s) and contactWindowMs (4 s) are over after 16 s.
  Sleep(20000);
  int version = ReadBack(deployment, machines, 30000);
  for (auto* each : { &a, &b, &d }) {
    if (*each && (*each)->HasEnded()) {
      Show((*each)->Name() + " ended by itself");
    }
  }
  if (version != 2) {
    End(Broken,
        "CONFIG broken: version 2 was acknowledged; read back in the 20 s to "
        "50 s after the loss of one disk: " +
          std::string(version == 0 ? "nothing" : std::to_string(version)));
  }
  End(Held, "version 2 is read back");
}
