// A change adds a route whose host has capital letters. Requests that name the
// host just as the configuration does are sent after configApplyMs.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr long kApplyMs = 3000;
constexpr int kRequests = 100;

std::string
Route(const std::string& aName, const std::string& aHost)
{
  return R"({"name":")" + aName + R"(","host":")" + aHost +
         R"(","pathPrefix":"/a/","kind":"safe","timeoutMs":2000,)"
         R"("targetLatencyMs":500,"priority":1,"service":"s1","attempts":2,)"
         R"("anonymous":true})";
}

std::string
Configuration(int aVersion, const std::string& aRoutes)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         aRoutes +
         R"(],"services":[{"name":"s1","healthPath":"/health",)"
         R"("maxConnections":100}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

std::map<int, int>
Send(const Deployment& aDeployment, const std::string& aHost)
{
  std::map<int, int> statuses;
  for (int i = 0; i < kRequests; ++i) {
    std::string id = NewId();
    auto answer = Call(aDeployment.Front(11 + i % 2),
                       "GET",
                       "/a/x",
                       { { "Tanagerstall-Request-Id", id },
                         { "Tanagerstall-Time-Remaining", "2000" } },
                       "",
                       2500,
                       aHost);
    RECORD("client: %s host %s -> %d %s",
           id.c_str(),
           aHost.c_str(),
           answer.Status(),
           answer.body_.c_str());
    ++statuses[answer.Status()];
  }
  for (auto [status, count] : statuses) {
    Show("host " + aHost + ": status " + std::to_string(status) + ": " +
         std::to_string(count));
  }
  return statuses;
}

} // namespace

int
main(int, char** aArguments)
{
  Record::Get().Open(aArguments[1]);
  Deployment deployment;
  Platform platform(deployment);
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<Address> addresses;
  for (int i = 1; i <= 3; ++i) {
    processes.push_back(deployment.Make(
      "core-" + std::to_string(i), true, i, { 1, 2, 3 }, true));
    addresses.push_back(deployment.Control(i));
  }
  for (int i = 11; i <= 12; ++i) {
    processes.push_back(deployment.Make(
      "front-" + std::to_string(i), false, i, { 1, 2, 3 }, true));
  }
  for (auto& process : processes) {
    process->Start();
  }
  Replica replica("i-21", "s1", deployment.Other(21));
  replica.BeatAt(addresses, 1200);
  std::string first = Route("r1", "shop.example");
  if (!PutConfiguration(addresses, Configuration(1, first), 15000) ||
      !AwaitReady(deployment, 11, 10000) ||
      !AwaitReady(deployment, 12, 10000)) {
    End(CannotRun, "the deployment doesn't serve");
  }
  Sleep(6000);
  std::string host = HasTrouble() ? "Booth.Example" : "booth.example";
  std::string second = first + "," + Route("r2", host);
  if (!PutConfiguration(addresses, Configuration(2, second), 10000)) {
    End(CannotRun, "the change was not acknowledged");
  }
  Show("acknowledged: version 2 adds a route of the host " + host);
  Sleep(kApplyMs + 1500);
  auto old = Send(deployment, "shop.example");
  auto added = Send(deployment, host);
  if (old[200] != kRequests) {
    End(CannotRun, "the first route isn't served");
  }
  int refused = added[404];
  // DENIED allows 5 and one in 500; CONFIG allows none.
  End(refused > 5 ? Broken : Held,
      (refused > 5 ? "CONFIG and DENIED broken: " : "CONFIG held: ") +
        std::to_string(refused) + " of " + std::to_string(kRequests) +
        " requests got 404 though their route is there");
}
