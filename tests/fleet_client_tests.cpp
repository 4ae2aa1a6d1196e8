// Reports of an entry's client to a control process, over the loopback
// interface.
#define BOOST_TEST_MODULE fleet_client
#include "tanagerstall/connection/tanagerstall_fleet_client.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_server.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tanagerstall;
using namespace std::chrono_literals;

namespace {

/// Returns a port of the loopback interface that is free now.
std::uint16_t
FreePort()
{
  int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  BOOST_REQUIRE(
    ::bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  ::close(listener);
  return ntohs(address.sin_port);
}

constexpr int kBriefReports = 20;
constexpr auto kMaxTestTime = 20s;

} // namespace

// Guards against brief reports that stop for good after the first ones, so that
// the entry gets no grants any more.
BOOST_AUTO_TEST_CASE(Brief_reports_go_on_after_each_answer)
{
  ControlLoop loop;
  Address address{ "127.0.0.1", FreePort() };
  std::atomic<int> briefReports{ 0 };
  int mostInFlight = 0;
  int inFlight = 0;
  FleetServer server(
    loop,
    { [&](const EntryReport& aReport) {
       briefReports += aReport.isBrief_ ? 1 : 0;
       inFlight += aReport.isBrief_ ? 1 : 0;
       mostInFlight = std::max(mostInFlight, inFlight);
     },
      [](const EntryReport& aReport) { return !aReport.isToLeader_; },
      [&](const EntryReport& aReport) {
        inFlight -= aReport.isBrief_ ? 1 : 0;
        ControlAnswer answer;
        answer.isLeader_ = true;
        return answer;
      } });
  server.Listen(address);
  FleetClient client(
    loop,
    { [](const std::string&, bool, bool) { return EntryReport(); },
      [&](const std::string&, const ControlAnswer&) {
        if (briefReports >= kBriefReports) {
          loop.Stop();
          return;
        }
        loop.Post([&] {
          client.RefreshLeader();
          client.RefreshLeader();
        });
      } });
  client.SetSeeds({ address });
  std::thread guard([&] {
    for (auto waited = 0ms;
         waited < kMaxTestTime && briefReports < kBriefReports;
         waited += 50ms) {
      std::this_thread::sleep_for(50ms);
    }
    loop.Stop();
  });
  loop.Run();
  guard.join();
  BOOST_TEST(briefReports >= kBriefReports);
  BOOST_TEST(mostInFlight == 1);
}
