// Calls to the cloud over a link that doesn't deliver what was sent. The test
// is the link: it accepts the connection and looks at it once the caller has
// given up.
#define BOOST_TEST_MODULE cloud_call
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall_platform_cloud.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <future>
#include <sys/socket.h>
#include <unistd.h>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// A connection of a caller whose data the link holds.
class HeldLink
{
public:
  HeldLink()
    : listener_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(::bind(listener_, generic, length) == 0);
    BOOST_REQUIRE(::listen(listener_, 1) == 0);
    ::getsockname(listener_, generic, &length);
    port_ = ntohs(address.sin_port);
  }

  ~HeldLink()
  {
    ::close(listener_);
    ::close(connection_);
  }

  HeldLink(const HeldLink&) = delete;
  HeldLink& operator=(const HeldLink&) = delete;

  Address GetAddress() const { return { "127.0.0.1", port_ }; }
  void Accept() { connection_ = ::accept(listener_, nullptr, nullptr); }
  void Send(std::string_view aBytes) const
  {
    ::send(connection_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  /// Whether the link delivers the held data when it is repaired. The sender
  /// repeats it unless it has reset the connection.
  bool DeliversLater() const
  {
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(connection_, SOL_SOCKET, SO_ERROR, &error, &length);
    return error != ECONNRESET;
  }

  bool HasReceived() const
  {
    char byte = 0;
    return ::recv(connection_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

private:
  int listener_;
  int connection_ = -1;
  std::uint16_t port_ = 0;
};

struct Call
{
  const char* name_;
  std::function<
    CloudCalls::Result(Fiber&, const CloudCalls&, const CallPermit&)>
    send_;
};

std::ostream&
operator<<(std::ostream& aOut, const Call& aCall)
{
  return aOut << aCall.name_;
}

const FencingToken kToken{ "control-1", 7 };
const CallPermit kPermit{ [] { return true; }, [] { return Duration(10s); } };

const std::vector<Call> kCalls{
  { "usage",
    [](Fiber& aFiber, const CloudCalls& aCloud, const CallPermit& aPermit) {
      return aCloud.reportUsage_(aFiber, kToken, UsageWindow{ 1, {} }, aPermit);
    } },
  { "order",
    [](Fiber& aFiber, const CloudCalls& aCloud, const CallPermit& aPermit) {
      return aCloud.orderReplicas_(
        aFiber, kToken, ReplicaOrder{ "s", "a", 2 }, aPermit);
    } },
};

/// Starts a call over the link.
std::future<CloudCalls::Result>
Start(TrafficThreads& aThreads,
      const HeldLink& aLink,
      const Call& aCall,
      const CallPermit& aPermit = kPermit)
{
  auto result = std::make_shared<std::promise<CloudCalls::Result>>();
  aThreads.Spawn([cloud = platform::MakeCloudCalls(aLink.GetAddress()),
                  aCall,
                  aPermit,
                  result](Fiber& aFiber) {
    result->set_value(aCall.send_(aFiber, cloud, aPermit));
  });
  return result->get_future();
}

struct PermitCase
{
  const char* name_;
  bool canSend_;
  Duration timeLeft_;
  bool isSent_;
};

std::ostream&
operator<<(std::ostream& aOut, const PermitCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<PermitCase> kPermitCases{
  { "permitted", true, 200ms, true },
  { "no longer confirmed", false, 200ms, false },
  { "no time to deliver it", true, 0ms, false },
};

} // namespace

// Guards against a call of an earlier leader that arrives after one of its
// successor, since the system went on delivering what was sent in time.
BOOST_DATA_TEST_CASE(A_call_that_was_given_up_is_never_delivered,
                     data::make(kCalls))
{
  HeldLink link;
  TrafficThreads threads(1);
  auto result = Start(threads, link, sample);
  link.Accept();
  BOOST_TEST(!result.get().has_value());
  threads.Stop();
  BOOST_TEST(!link.DeliversLater());
}

// Guards against an answered call that ends with a reset.
BOOST_DATA_TEST_CASE(An_answered_call_ends_in_order, data::make(kCalls))
{
  HeldLink link;
  TrafficThreads threads(1);
  auto result = Start(threads, link, sample);
  link.Accept();
  link.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  auto answer = result.get();
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((*answer == CloudAnswer::Accepted));
  threads.Stop();
  BOOST_TEST(link.DeliversLater());
}

// Guards against a call that is sent, or still delivered, when a successor may
// already act.
BOOST_DATA_TEST_CASE(A_call_is_sent_and_delivered_only_while_permitted,
                     data::make(kPermitCases) * data::make(kCalls),
                     permit,
                     call)
{
  HeldLink link;
  TrafficThreads threads(1);
  auto result = Start(
    threads,
    link,
    call,
    { [&] { return permit.canSend_; }, [&] { return permit.timeLeft_; } });
  link.Accept();
  BOOST_TEST(!result.get().has_value());
  threads.Stop();
  BOOST_TEST(link.HasReceived() == permit.isSent_);
  BOOST_TEST(link.DeliversLater() == !permit.isSent_);
}

// Guards against a call that is still delivered after its machine was
// suspended: the time that it has ends, while the timers stand still.
BOOST_DATA_TEST_CASE(A_call_ends_with_its_permit_whatever_the_timers_say,
                     data::make(kCalls))
{
  HeldLink link;
  TrafficThreads threads(1);
  // Asked before the request is sent and before its answer is awaited.
  std::atomic<int> allowed{ 2 };
  auto result =
    Start(threads,
          link,
          sample,
          { [] { return true; },
            [&] { return allowed-- > 0 ? Duration(10s) : Duration(-1s); } });
  link.Accept();
  BOOST_TEST((result.wait_for(1s) == std::future_status::ready));
  BOOST_TEST(!result.get().has_value());
  threads.Stop();
  BOOST_TEST(!link.DeliversLater());
}
