// Many users at once send requests of the largest body that the configuration
// allows. The platform kills a process that uses more than memoryMb.
// Usage: uploads RECORD
#include "harness.hpp"

using namespace review;

namespace {

constexpr std::size_t kBodyBytes = 4'194'304;
/// limits.memoryMb of an entry.
constexpr long kMemoryKilobytes = 260L * 1024;
/// limits.linkMbps, which all uploads to the entry share.
constexpr double kLinkBytesPerMilli = 125'000.0;
constexpr int kUsualClients = 18;
/// The burst has 1.7 times as many.
constexpr int kBurstClients = 30;
constexpr int kRounds = 3;
constexpr int kReplicas = 6;
constexpr Millis kWorkTime = 200;
/// Time over which the clients begin: spread out, or nearly at once.
constexpr Millis kUsualSpread = 1000;
constexpr Millis kBurstSpread = 120;
/// So many cut requests break the rule.
constexpr int kToleratedCuts = 3;
constexpr const char* kConfiguration =
  R"({"version":7,"routes":[)"
  R"({"name":"pay","host":"shop.example","pathPrefix":"/pay/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":400,"priority":2,"service":"orders","attempts":1,"anonymous":false,"sessionAffinity":false,"resumable":false}],)"
  R"("services":[{"name":"orders","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
  R"("tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"],"priority":1,"ratePerS":0,"burst":0}]})";

long
MemoryOf(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
}

/// Writes a body at this client's part of the link.
bool
Upload(Stream& aStream, const std::string& aBody, int aClients)
{
  constexpr std::size_t kStep = 65'536;
  Millis begin = Now();
  for (std::size_t at = 0; at < aBody.size(); at += kStep) {
    double due = static_cast<double>(at) * aClients / kLinkBytesPerMilli;
    while (static_cast<double>(Now() - begin) < due) {
      SleepFor(1);
    }
    if (!aStream.Write(aBody.substr(at, kStep))) {
      return false;
    }
  }
  return true;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return kCouldNotRun;
  }
  Record::The().Open(aArguments[1]);
  Fleet fleet(3, 1);
  fleet.StartAll(kConfiguration);

  std::mutex mutex;
  std::set<std::string> passedOn;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
      fleet,
      Replica::Options{
        "i-orders-" + std::to_string(i), "orders", 101 + i, kWorkTime }));
    replicas.back()->onRun_ = [&](const Message& aRequest) {
      std::scoped_lock lock(mutex);
      std::string id = aRequest.Header("Tanagerstall-Request-Id");
      passedOn.insert(id);
    };
    replicas.back()->StartBeats(i);
  }
  SleepFor(2000);

  Machine& entry = fleet.Entry(0);
  std::atomic<long> peak{ 0 };
  std::atomic<bool> isOver{ false };
  std::atomic<bool> isKilled{ false };
  std::thread platform([&] {
    while (!isOver && !isKilled) {
      long memory = MemoryOf(entry.pid_);
      peak = std::max(peak.load(), memory);
      if (memory > kMemoryKilobytes) {
        RECORD("%s uses %ld kB, more than memoryMb: the platform kills it",
               entry.name_.c_str(),
               memory);
        ::kill(entry.pid_, SIGKILL);
        isKilled = true;
      }
      SleepFor(2);
    }
  });

  int clients = IsCalm() ? kUsualClients : kBurstClients;
  Millis spread = IsCalm() ? kUsualSpread : kBurstSpread;
  Millis startsAt = Now() + 500;
  const std::string body(kBodyBytes, 'x');
  std::atomic<int> answered{ 0 };
  std::atomic<int> cut{ 0 };
  std::vector<std::thread> threads;
  for (int client = 0; client < clients; ++client) {
    threads.emplace_back([&, client] {
      Stream stream;
      Message response;
      if (!stream.Connect(entry.host_, kFrontPort, 1000)) {
        return;
      }
      auto send = [&](const std::string& aId, const std::string& aBody) {
        return stream.Write("POST /pay/x HTTP/1.1\r\n" +
                            ClientHeaders(aId, 4000) + "Content-Length: " +
                            std::to_string(aBody.size()) + "\r\n\r\n") &&
               Upload(stream, aBody, clients) &&
               stream.Read(response, 5000, true);
      };
      std::string name = "c" + std::to_string(client) + "-";
      // A small request first, so that the connection is a kept one.
      if (!send(name + "first", "{}")) {
        return;
      }
      SleepFor(startsAt + client * spread / clients - Now());
      for (int round = 0; round < kRounds && !isKilled; ++round) {
        std::string id = name + std::to_string(round);
        RECORD("request %s is sent", id.c_str());
        if (send(id, body)) {
          answered += response.Status() == 200 ? 1 : 0;
          RECORD("request %s is answered %d", id.c_str(), response.Status());
          continue;
        }
        std::scoped_lock lock(mutex);
        bool wasPassedOn = passedOn.contains(id);
        cut += wasPassedOn ? 1 : 0;
        RECORD("request %s: the connection closes without an answer%s",
               id.c_str(),
               wasPassedOn ? ", after it was passed on" : "");
        return;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  isOver = true;
  platform.join();
  RECORD("%d clients; peak memory %ld kB; answered with success: %d; passed on "
         "and cut: %d",
         clients,
         peak.load(),
         answered.load(),
         cut.load());
  for (auto& replica : replicas) {
    replica->Crash();
  }
  if (answered == 0 && !isKilled) {
    return kCouldNotRun;
  }
  return cut > kToleratedCuts ? kBroken : kHeld;
}
