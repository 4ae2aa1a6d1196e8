// A replica fails part of its requests after it has run them, with status 503
// and without Tanagerstall-Not-Executed. What does the caller of an unsafe
// request get?
#include "stand.hpp"

#include <set>

using namespace review;

int
main(int, char** aArguments)
{
  constexpr int kRequests = 60;
  constexpr double kFailedShare = 0.4;
  Record record(aArguments[1]);
  bool hasTrouble = HasTrouble();
  record.Line(hasTrouble ? "with the disruption" : "without the disruption");
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::atomic<bool> isGrey{ false };
  int count = 0;
  Deployment deployment(record, 1);
  auto work = [&](const std::string& aReplica, bool aMayFail) {
    return [&, aReplica, aMayFail](const Message& aIt) {
      std::scoped_lock lock(mutex);
      std::string id = aIt.Field("tanagerstall-request-id");
      ++runs[id];
      bool fails = aMayFail && isGrey &&
                   static_cast<int>(count * kFailedShare) !=
                     static_cast<int>((count + 1) * kFailedShare);
      count += aMayFail && isGrey ? 1 : 0;
      record.Line(aReplica + " runs " + id +
                  (fails ? " and answers 503 without Tanagerstall-Not-Executed"
                         : ""));
      return fails ? Answer(aIt, 503, "Service Unavailable", "store failed")
                   : Answer(aIt, 200, "OK", "done");
    };
  };
  // One of three replicas is grey, as one of the three of a small service.
  Replica first("i-1", deployment.ReplicaHost(1), work("i-1", true));
  Replica second("i-2", deployment.ReplicaHost(2), work("i-2", false));
  Replica third("i-3", deployment.ReplicaHost(3), work("i-3", false));
  deployment.Configure(Configuration());
  for (auto* replica : { &first, &second, &third }) {
    deployment.Announce(*replica, "app");
  }

  auto send = [&](const std::string& aId) {
    auto connection =
      Connection::To(deployment.EntryHost(0), Deployment::kEntryPort);
    if (!connection) {
      deployment.Fail("no connection to the entry");
    }
    record.Line("client sends POST /unsafe/payments with id " + aId);
    connection->Write("POST /unsafe/payments HTTP/1.1\r\nHost: desk.example\r\n"
                      "Tanagerstall-Request-Id: " +
                      aId +
                      "\r\nTanagerstall-Time-Remaining: 1500\r\n"
                      "Content-Length: 4\r\n\r\npay1");
    auto answer = ReadMessage(*connection, 3000);
    int status = answer ? answer->Status() : 0;
    record.Line("client gets " + std::to_string(status) + " for " + aId);
    return status;
  };
  deployment.AwaitService([&] { return send("first") == 200; });

  isGrey = hasTrouble;
  const std::set<int> kPromises{ 408, 421, 429, 503 };
  bool isBroken = false;
  for (int i = 1; i <= kRequests; ++i) {
    std::string id = "payment-" + std::to_string(i);
    int status = send(id);
    std::scoped_lock lock(mutex);
    if (kPromises.contains(status) && runs[id] > 0) {
      record.Line("REFUSED: " + id + " was answered " +
                  std::to_string(status) + " and has run");
      isBroken = true;
    }
    // The client may send it again then, as a new request.
    if (kPromises.contains(status) && runs[id] > 0) {
      record.Line("a client that trusts the promise sends the same payment "
                  "again, which runs a second time");
    }
  }
  record.Line(isBroken ? "broken" : "held");
  deployment.End(isBroken ? kBroken : kHeld);
}
