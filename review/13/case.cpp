// The operator's first configuration has version 0. It is acknowledged. Does it
// come back, and is it in force?
#include "stand.hpp"

using namespace review;

int
main(int, char** aArguments)
{
  // More than contactWindowMs (4 s) and recoveryS (12 s).
  constexpr int kReadForS = 15;
  Record record(aArguments[1]);
  bool hasTrouble = HasTrouble();
  int version = hasTrouble ? 0 : 1;
  record.Line(hasTrouble ? "with the disruption" : "without the disruption");
  std::atomic<int> runs{ 0 };
  Deployment deployment(record, 1);
  Replica replica("i-1", deployment.ReplicaHost(1), [&](const Message& aIt) {
    ++runs;
    return Answer(aIt, 200, "OK", "done");
  });
  const std::string document = Configuration(version);
  record.Line("the operator sends " + OneLine(document));
  deployment.Configure(document);
  deployment.Announce(replica, "app");

  auto send = [&](const std::string& aId) {
    auto connection =
      Connection::To(deployment.EntryHost(0), Deployment::kEntryPort);
    if (!connection) {
      deployment.Fail("no connection to the entry");
    }
    connection->Write("POST /unsafe/filings HTTP/1.1\r\nHost: desk.example\r\n"
                      "Tanagerstall-Request-Id: " +
                      aId +
                      "\r\nTanagerstall-Time-Remaining: 4000\r\n"
                      "Content-Length: 4\r\n\r\nfile");
    auto answer = ReadMessage(*connection, 5000);
    return answer ? answer->Status() : 0;
  };

  // As the operator reads it back at the end of a day: again and again, at any
  // node.
  auto begin = Clock::now();
  bool isBack = false;
  int reads = 0;
  for (; !isBack && Clock::now() - begin < std::chrono::seconds(kReadForS);
       ++reads) {
    auto node = static_cast<std::size_t>(reads % 3);
    auto answer =
      deployment.AskControl(node, "GET /tanagerstall/configuration", "");
    isBack = answer && answer->Status() == 200 &&
             answer->body_.find("\"version\":" + std::to_string(version)) !=
               std::string::npos;
    if (isBack || reads % 20 == 0) {
      record.Line("core-" + std::to_string(node) + " answers a read with " +
                  (answer ? std::to_string(answer->Status()) + " " +
                              OneLine(answer->body_, 100)
                          : std::string("nothing")));
    }
    SleepMs(250);
  }
  SleepMs(3500);
  int status = send("filing-1");
  record.Line("a client gets " + std::to_string(status) + " for filing-1, " +
              std::to_string(runs.load()) + " runs");
  if (!isBack) {
    record.Line("CONFIG: acknowledged, and it didn't come in " +
                std::to_string(reads) + " reads");
  }
  bool isBroken = !isBack;
  record.Line(isBroken ? "broken" : "held");
  deployment.End(isBroken ? kBroken : kHeld);
}
