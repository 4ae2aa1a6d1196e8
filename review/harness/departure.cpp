// A replica leaves with a DELETE, which a control process acknowledges that
// doesn't know this run of the replica. Usage: departure MODE RECORD
// MODE is "replica": the replica has restarted under its id shortly before;
// "control": the control process has restarted five seconds before; or "core":
// all control processes restart after the acknowledgement, a heartbeat of the
// replica arrives five seconds late, and the replica serves on for long; or
// "cut": the replica reports that it drains, is then cut off from all control
// processes for five seconds, and an earlier heartbeat arrives late.
#include "harness.hpp"

using namespace review;

namespace {

constexpr Millis kDrain = 3000;
/// How much longer than drainMs the replica serves.
constexpr Millis kLonger = 1500;
/// How late the last heartbeat before the DELETE arrives.
constexpr Millis kLate = 5000;
/// How much longer the replica serves from then on.
constexpr Millis kManySeconds = 4000;
constexpr Millis kWorkTime = 150;
constexpr int kClients = 32;
/// Replicas beside the one that leaves.
constexpr int kSteady = 7;
/// The control process that restarts, and that acknowledges the DELETE.
constexpr int kRestarted = 2;
constexpr const char* kConfiguration =
  R"({"version":7,"routes":[)"
  R"({"name":"pay","host":"shop.example","pathPrefix":"/pay/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"orders","attempts":1,"anonymous":false,"sessionAffinity":false,"resumable":false}],)"
  R"("services":[{"name":"orders","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
  R"("tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"],"priority":1,"ratePerS":0,"burst":0}]})";

/// When each request was sent, by its id.
struct Sent
{
  std::mutex mutex_;
  std::map<std::string, Millis> at_;
};

/// A heartbeat to one control process is held up, so that the replica turns to
/// another one after a second, and tells that one that it drains. Its
/// heartbeats to all control processes are lost from then on, until the cut
/// ends.
void
DrainBehindCut(Replica& aReplica, std::atomic<Millis>& aAcknowledgedAt)
{
  constexpr int kHeldUp = 0;
  constexpr int kNext = 1;
  constexpr Millis kBeat = 1200;
  constexpr Millis kCut = 5000;
  constexpr Millis kArrival = 4000;
  constexpr Millis kExit = 5700;
  aReplica.PauseBeats();
  SleepFor(kBeat);
  int held = aReplica.HoldBeat();
  RECORD("heartbeat %d to the first control process is held up", held);
  SleepFor(1000);
  aReplica.BeatTo(kNext);
  SleepFor(200);
  aReplica.state_ = "draining";
  if (!aReplica.BeatTo(kNext)) {
    return;
  }
  Millis acknowledged = Now();
  aAcknowledgedAt = acknowledged;
  RECORD("the state draining is acknowledged");
  Millis nextBeat = kBeat;
  Millis cutUntil = IsCalm() ? 0 : kCut;
  bool hasArrived = false;
  for (Millis at = 0; at < kExit; at = Now() - acknowledged) {
    if (at >= nextBeat) {
      nextBeat += kBeat;
      if (at >= cutUntil) {
        aReplica.Beat();
      } else {
        RECORD("a heartbeat is lost behind the cut");
      }
    }
    if (at >= kArrival && !hasArrived) {
      hasArrived = true;
      aReplica.DeliverLate(kHeldUp, held);
    }
    SleepFor(5);
  }
  aReplica.Leave(false);
  aReplica.Crash();
  RECORD("the replica i-leaves exits");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return kCouldNotRun;
  }
  std::string mode = aArguments[1];
  bool restartsReplica = mode == "replica";
  bool restartsCore = mode == "core";
  bool isCut = mode == "cut";
  Record::The().Open(aArguments[2]);
  Fleet fleet(5, 2);
  fleet.StartAll(kConfiguration);

  std::vector<std::unique_ptr<Replica>> steady;
  for (int i = 0; i < kSteady; ++i) {
    steady.push_back(std::make_unique<Replica>(
      fleet,
      Replica::Options{
        "i-steady-" + std::to_string(i), "orders", 110 + i, kWorkTime }));
    steady.back()->StartBeats(i);
  }
  auto leaving = std::make_unique<Replica>(
    fleet, Replica::Options{ "i-leaves", "orders", 103, kWorkTime });
  leaving->StartBeats(0);

  Sent sent;
  std::atomic<Millis> acknowledgedAt{ 0 };
  std::atomic<int> reachedLate{ 0 };
  std::atomic<int> lost{ 0 };
  std::atomic<int> answered{ 0 };
  std::atomic<bool> isOver{ false };
  auto restart = [&](Machine& aControl) {
    RECORD("%s is killed", aControl.name_.c_str());
    Fleet::Kill(aControl);
    SleepFor(300);
    fleet.Start(aControl);
    RECORD("%s starts", aControl.name_.c_str());
  };
  auto onRun = [&](const Message& aRequest) {
    std::string id = aRequest.Header("Tanagerstall-Request-Id");
    Millis ack = acknowledgedAt;
    std::scoped_lock lock(sent.mutex_);
    if (ack > 0 && Now() > ack + kDrain && sent.at_[id] > ack) {
      ++reachedLate;
      RECORD("request %s reaches the replica that left, %ld ms after the "
             "acknowledgement",
             id.c_str(),
             Now() - ack);
    }
  };
  leaving->onRun_ = onRun;

  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      // Different phases and pauses, so that the clients don't move in step.
      SleepFor(client * 8);
      for (int i = 0; !isOver; ++i) {
        std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        {
          std::scoped_lock lock(sent.mutex_);
          sent.at_[id] = Now();
        }
        RECORD("request %s is sent to %s",
               id.c_str(),
               fleet.Entry(client % 2).name_.c_str());
        int status = Call(fleet.Entry(client % 2).host_,
                          kFrontPort,
                          "POST",
                          "/pay/x",
                          "{}",
                          ClientHeaders(id, 1500),
                          2000)
                       .Status();
        RECORD("request %s is answered %d", id.c_str(), status);
        if (status == 200) {
          ++answered;
        } else if (acknowledgedAt > 0 && status != 503) {
          ++lost;
          RECORD("request %s was accepted and is lost: %d", id.c_str(), status);
        }
        SleepFor(80 + client * 37 % 50);
      }
    });
  }

  // Six heartbeats, so that each control process has had one.
  SleepFor(7500);
  if (restartsReplica) {
    if (!IsCalm()) {
      RECORD("the replica i-leaves crashes and starts again under its id");
      leaving = nullptr;
      SleepFor(1000);
      leaving = std::make_unique<Replica>(
        fleet, Replica::Options{ "i-leaves", "orders", 103, kWorkTime });
      leaving->onRun_ = onRun;
      leaving->StartBeats(0);
    }
    SleepFor(1600);
  } else if (!isCut) {
    while (leaving->LastControl() != kRestarted) {
      SleepFor(5);
    }
    if (!restartsCore && !IsCalm()) {
      restart(fleet.Control(kRestarted));
    }
    // Heartbeats to all others; with five control processes they take longer
    // than contactWindowMs.
    while (leaving->LastControl() != kRestarted - 1) {
      SleepFor(5);
    }
    SleepFor(200);
  }
  if (isCut) {
    DrainBehindCut(*leaving, acknowledgedAt);
  } else {
    int runsBefore = leaving->Runs();
    acknowledgedAt = leaving->Leave(restartsReplica);
    RECORD("the DELETE is acknowledged; requests so far: %d", runsBefore);
    if (restartsCore) {
      SleepFor(500);
      if (!IsCalm()) {
        RECORD("all control processes are killed");
        for (int i = 0; i < fleet.Controls(); ++i) {
          Fleet::Kill(fleet.Control(i));
        }
        SleepFor(500);
        for (int i = 0; i < fleet.Controls(); ++i) {
          fleet.Start(fleet.Control(i));
        }
        RECORD("all control processes start");
      }
      SleepFor(kLate - (Now() - acknowledgedAt));
      leaving->DeliverLate(kRestarted, leaving->LastSequence());
      SleepFor(kManySeconds);
    } else {
      // It serves for drainMs after the acknowledgement and a little longer.
      SleepFor(kDrain + kLonger);
    }
    leaving->Crash();
    RECORD("the replica i-leaves exits");
  }
  SleepFor(1500);
  isOver = true;
  for (auto& client : clients) {
    client.join();
  }
  RECORD("answered with success: %d; lost since the acknowledgement: %d; "
         "reached the replica too late: %d",
         answered.load(),
         lost.load(),
         reachedLate.load());
  if (answered == 0 || acknowledgedAt == 0) {
    return kCouldNotRun;
  }
  return reachedLate > 0 ? kBroken : kHeld;
}
