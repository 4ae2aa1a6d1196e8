// The soak's proxy treats data that a link holds back like a real link does.
#define BOOST_TEST_MODULE soak_network
#include "tanagerstall_soak_network.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>
#include <unistd.h>

using namespace tanagerstall;
using namespace tanagerstall::soak;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace data = boost::unit_test::data;

namespace {

constexpr LinkEnds kLink{ 1, 2 };
constexpr std::uint16_t kPort = 8299;
constexpr Duration kHoldTime = 100ms;

/// A proxied link between two loopback addresses of this process.
struct ProxiedLink
{
  ProxiedLink()
  {
    OnNetworkThread([this] { isOpen_ = network_.Open(kLink, kPort); });
  }

  void OnNetworkThread(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    threads_.Post([&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Hold(bool aIsHeld)
  {
    OnNetworkThread([&] { network_.Faults(kLink).isRequestHeld_ = aIsHeld; });
  }

  static tcp::endpoint Endpoint(const Address& aAddress)
  {
    return { boost::asio::ip::make_address(aAddress.host_), aAddress.port_ };
  }

  TrafficThreads threads_{ 1 };
  Network network_{ threads_, static_cast<std::uint8_t>(20 + getpid() % 200) };
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{ io_, Endpoint(network_.ListenAddress(2, kPort)) };
  tcp::socket sender_{ io_ };
  bool isOpen_ = false;
};

struct HeldData
{
  const char* name_;
  bool isHeld_;
  bool isReset_;
  const char* received_;
};

std::ostream&
operator<<(std::ostream& aOut, const HeldData& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<HeldData> kCases = {
  { "a link that holds nothing", false, false, "call" },
  { "a sender that closes while the link holds its data", true, false, "call" },
  { "a sender that resets while the link holds its data", true, true, "" },
};

} // namespace

// Guards against a proxy that delivers calls which their sender has taken back.
BOOST_TEST_DECORATOR(*boost::unit_test::label("soak"))
BOOST_DATA_TEST_CASE(Data_that_a_link_holds_is_lost_only_if_the_sender_resets,
                     data::make(kCases),
                     held)
{
  ProxiedLink link;
  BOOST_REQUIRE(link.isOpen_);
  link.Hold(held.isHeld_);
  link.sender_.connect(
    ProxiedLink::Endpoint(link.network_.ProxyAddress(kLink, kPort)));
  tcp::socket receiver = link.acceptor_.accept();
  boost::asio::write(link.sender_, boost::asio::buffer("call", 4));
  std::this_thread::sleep_for(kHoldTime);
  if (held.isReset_) {
    link.sender_.set_option(boost::asio::socket_base::linger(true, 0));
  }
  link.sender_.close();
  std::this_thread::sleep_for(kHoldTime);
  link.Hold(false);
  std::string received;
  boost::system::error_code end;
  boost::asio::read(receiver, boost::asio::dynamic_buffer(received), end);
  BOOST_TEST(received == held.received_);
  link.threads_.Stop();
}
