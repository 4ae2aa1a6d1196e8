// The last organisation is removed by a new configuration. Its caller, and one
// with a key that no configuration ever held, go on sending.
// Usage: tenants RECORD
#include "harness.hpp"

using namespace review;

namespace {

/// configApplyMs.
constexpr Millis kApply = 3000;
constexpr const char* kTenant =
  R"({"name":"tenant-1","apiKeys":["key-of-tenant-1"],"priority":1,"ratePerS":0,"burst":0})";

std::string
Configuration(int aVersion, const std::string& aTenants)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[)"
         R"({"name":"pay","host":"shop.example","pathPrefix":"/pay/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"orders","attempts":1,"anonymous":false,"sessionAffinity":false,"resumable":false}],)"
         R"("services":[{"name":"orders","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[)" +
         aTenants + "]}";
}

std::string
Headers(const std::string& aId, const std::string& aKey)
{
  return "Host: shop.example\r\nTanagerstall-Request-Id: " + aId +
         "\r\nTanagerstall-Time-Remaining: 1500\r\nTanagerstall-Key: " + aKey +
         "\r\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return kCouldNotRun;
  }
  Record::The().Open(aArguments[1]);
  Fleet fleet(3, 2);
  fleet.StartAll(Configuration(7, kTenant));
  std::vector<std::unique_ptr<Replica>> replicas;
  std::atomic<Millis> acknowledgedAt{ 0 };
  std::atomic<int> runLate{ 0 };
  std::atomic<int> runBefore{ 0 };
  std::atomic<int> runUnknown{ 0 };
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(std::make_unique<Replica>(
      fleet,
      Replica::Options{ "i-orders-" + std::to_string(i), "orders", 101 + i }));
    replicas.back()->onRun_ = [&](const Message& aRequest) {
      std::string id = aRequest.Header("Tanagerstall-Request-Id");
      RECORD("request %s has the tenant \"%s\"",
             id.c_str(),
             aRequest.Header("Tanagerstall-Tenant").c_str());
      runUnknown += id.starts_with("unknown") ? 1 : 0;
      runLate += id.starts_with("withdrawn") ? 1 : 0;
      runBefore += id.starts_with("known") ? 1 : 0;
    };
    replicas.back()->StartBeats(i);
  }
  SleepFor(2000);
  auto send = [&](const std::string& aId, const std::string& aKey) {
    for (int i = 0; i < fleet.Entries(); ++i) {
      std::string id = aId + "-" + std::to_string(i);
      RECORD("request %s is sent", id.c_str());
      int status = Call(fleet.Entry(i).host_,
                        kFrontPort,
                        "POST",
                        "/pay/x",
                        "{}",
                        Headers(id, aKey),
                        2000)
                     .Status();
      RECORD("request %s with the key %s is answered %d",
             id.c_str(),
             aKey.c_str(),
             status);
    }
  };
  send("known", "key-of-tenant-1");
  send("unknown-before", "key-of-nobody");
  // Without the disruption, the change leaves the organisation with other keys.
  std::string changed =
    IsCalm() ? R"({"name":"tenant-1","apiKeys":["other-key"],"priority":1})"
             : "";
  if (!fleet.Put(0, Configuration(9, changed))) {
    RECORD("the change isn't acknowledged");
    return kCouldNotRun;
  }
  RECORD("the change is acknowledged");
  SleepFor(kApply + 500);
  for (int round = 0; round < 5; ++round) {
    send("withdrawn-" + std::to_string(round), "key-of-tenant-1");
    send("unknown-" + std::to_string(round), "key-of-nobody");
    SleepFor(200);
  }
  RECORD("run before: %d; run with the withdrawn key: %d; run with a key that "
         "never was: %d",
         runBefore.load(),
         runLate.load(),
         runUnknown.load());
  for (auto& replica : replicas) {
    replica->Crash();
  }
  if (runBefore == 0) {
    return kCouldNotRun;
  }
  return runLate + runUnknown > 0 ? kBroken : kHeld;
}
