// A replica leaves, and a control machine acknowledges that. Then all control
// processes and half of the entries are killed at the same moment and are back
// within a second. A heartbeat that the replica sent before it left arrives late. The replica must
// get no request later than drainMs after the acknowledgement.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr long kDrainMs = 3000;
constexpr long kContactWindowMs = 4000;
/// How late the heartbeat arrives.
constexpr long kLateMs = 3000;
/// How long the replica serves after it left, and exits then.
constexpr long kServesMs = 12000;
constexpr long kDownMs = 900;
constexpr int kControls = 3;
constexpr int kEntries = 4;
/// The entries that are killed.
constexpr int kKilledEntries = 2;

std::string
Configuration()
{
  return R"({"version":1,"routes":[{"name":"r1","host":"shop.example",)"
         R"("pathPrefix":"/a/","kind":"safe","timeoutMs":2000,)"
         R"("targetLatencyMs":500,"priority":1,"service":"s1","attempts":2,)"
         R"("anonymous":true}],"services":[{"name":"s1","healthPath":"/health",)"
         R"("maxConnections":100}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
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
  for (int i = 1; i <= kControls; ++i) {
    processes.push_back(deployment.Make(
      "core-" + std::to_string(i), true, i, { 1, 2, 3 }, true));
    addresses.push_back(deployment.Control(i));
  }
  for (int i = 11; i < 11 + kEntries; ++i) {
    processes.push_back(deployment.Make(
      "front-" + std::to_string(i), false, i, { 1, 2, 3 }, true));
  }
  for (auto& process : processes) {
    process->Start();
  }
  Replica stays("i-stays", "s1", deployment.Other(21));
  Replica leaves("i-leaves", "s1", deployment.Other(22));
  stays.BeatAt(addresses, 1200);
  leaves.BeatAt(addresses, 1200);
  if (!PutConfiguration(addresses, Configuration(), 15000)) {
    End(CannotRun, "the configuration was not acknowledged");
  }
  for (int front = 11; front < 11 + kEntries; ++front) {
    if (!AwaitReady(deployment, front, 10000)) {
      End(CannotRun, "an entry is not ready");
    }
  }
  // After a first start as after any other: contactWindowMs and more.
  Sleep(8000);

  std::atomic<bool> isOver{ false };
  std::mutex mutex;
  std::map<std::string, long> sentAt;
  std::map<std::string, int> sentTo;
  std::map<int, int> statuses;
  std::vector<std::thread> clients;
  for (int front = 11; front < 11 + kEntries; ++front) {
    clients.emplace_back([&, front] {
      while (!isOver) {
        std::string id = NewId();
        {
          std::scoped_lock lock(mutex);
          sentAt[id] = Now();
          sentTo[id] = front;
        }
        auto answer = Call(deployment.Front(front),
                           "GET",
                           "/a/x",
                           { { "Tanagerstall-Request-Id", id },
                             { "Tanagerstall-Time-Remaining", "2000" } },
                           "",
                           2500,
                           "shop.example");
        RECORD("client: %s to front-%d -> %d", id.c_str(), front, answer.Status());
        {
          std::scoped_lock lock(mutex);
          ++statuses[answer.Status()];
        }
        Sleep(50);
      }
    });
  }
  Sleep(3000);

  // The heartbeat that will be late is sent now; its call arrives later.
  leaves.Silence();
  Sleep(1300);
  std::string late = leaves.Beat("ready");
  long beatAt = Now();
  Sleep(100);
  long acknowledgedAt = 0;
  for (const auto& to : addresses) {
    auto answer = Call(
      to, "DELETE", leaves.Path(), Replica::Json(), leaves.Leave(), 1000);
    RECORD("i-leaves: DELETE at %s -> %d", to.Text().c_str(), answer.Status());
    if (answer.Status() == 200) {
      acknowledgedAt = Now();
      break;
    }
  }
  if (acknowledgedAt == 0) {
    End(CannotRun, "no machine acknowledged that the replica leaves");
  }
  Show("i-leaves left; acknowledged at " + std::to_string(acknowledgedAt));
  Sleep(300);
  long startedAt = 0;
  if (HasTrouble()) {
    Show("all control processes and half of the entries are killed");
    // The control processes come first in the list, then the entries.
    for (int i = 0; i < kControls + kKilledEntries; ++i) {
      processes[i]->Signal(SIGKILL);
    }
    for (int i = 0; i < kControls + kKilledEntries; ++i) {
      processes[i]->Kill();
    }
    Sleep(kDownMs);
    for (int i = 0; i < kControls + kKilledEntries; ++i) {
      processes[i]->Start();
    }
    startedAt = Now();
    Show("they are started again");
  }
  Sleep(beatAt + kLateMs - Now());
  for (const auto& to : addresses) {
    auto answer =
      Call(to, "PUT", leaves.Path(), Replica::Json(), late, 1000);
    RECORD("i-leaves: the late heartbeat, sent at %ld, at %s -> %d",
           beatAt,
           to.Text().c_str(),
           answer.Status());
    if (answer.Status() / 100 == 2) {
      break;
    }
  }
  Show("the late heartbeat has arrived");
  Sleep(acknowledgedAt + kServesMs - Now());
  isOver = true;
  for (auto& client : clients) {
    client.join();
  }

  int late3s = 0;
  int lateInTouch = 0;
  long last = 0;
  long inTouchAt = startedAt == 0 ? 0 : startedAt + kContactWindowMs;
  for (const auto& run : leaves.Runs()) {
    if (run.at_ <= acknowledgedAt + kDrainMs) {
      continue;
    }
    ++late3s;
    last = run.at_;
    lateInTouch += sentAt[run.id_] > inTouchAt ? 1 : 0;
  }
  for (auto [status, count] : statuses) {
    Show("status " + std::to_string(status) + ": " + std::to_string(count));
  }
  Show("i-leaves ran " + std::to_string(late3s) + " requests later than " +
       std::to_string(kDrainMs) + " ms after the acknowledgement, the last at " +
       std::to_string(last) + "; " + std::to_string(lateInTouch) +
       " of them were sent by clients after " + std::to_string(inTouchAt) +
       ", when all machines were in touch");
  End(lateInTouch > 0 ? Broken : Held,
      lateInTouch > 0 ? "DRAIN broken" : "DRAIN held");
}
