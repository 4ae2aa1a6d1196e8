#include "tanagerstall_soak_network.hpp"

#include "tanagerstall/internal/tanagerstall_fiber_context.hpp"
#include "tanagerstall/internal/tanagerstall_traffic_state.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>

namespace tanagerstall::soak {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kBufferBytes = 16UL * 1024;
constexpr Duration kHeldPoll = std::chrono::milliseconds(10);

/// One connection through the proxy.
struct Session
{
  explicit Session(boost::asio::io_context& aIo)
    : caller_(aIo)
    , server_(aIo)
  {
  }

  void Reset()
  {
    for (tcp::socket* socket : { &caller_, &server_ }) {
      error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  tcp::socket caller_;
  tcp::socket server_;
  bool isBlackholed_ = false;
};

struct Link
{
  LinkFaults faults_;
  std::list<std::weak_ptr<Session>> sessions_;
};

std::string
MakeHostAddress(std::uint8_t aSubnet, Host aThird, Host aFourth)
{
  return "127." + std::to_string(aSubnet) + "." + std::to_string(aThird) + "." +
         std::to_string(aFourth);
}

tcp::endpoint
MakeEndpoint(const Address& aAddress)
{
  return { boost::asio::ip::make_address(aAddress.host_), aAddress.port_ };
}

/// Whether the peer has reset the connection or it has failed otherwise.
/// Clears the error.
bool
TakeSocketError(tcp::socket& aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  return ::getsockopt(
           aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
         error != 0;
}

/// Waits until the faults of a link let data pass in one direction. Returns
/// false if the sender has reset the connection meanwhile.
bool
HoldBack(Fiber& aFiber,
         tcp::socket& aFrom,
         const LinkFaults& aFaults,
         const bool& aIsHeld)
{
  bool isLate = aIsHeld || aFaults.delay_ > Duration::zero();
  while (aIsHeld) {
    aFiber.Sleep(kHeldPoll);
  }
  if (aFaults.delay_ > Duration::zero()) {
    aFiber.Sleep(aFaults.delay_);
  }
  return !isLate || !TakeSocketError(aFrom);
}

/// Copies data in one direction until the sender closes or the session is
/// reset. Data is read only once the link lets it pass: what a link holds back
/// is lost if the sender resets the connection, but the kernel would still
/// return it.
void
CopyBytes(Fiber& aFiber,
          const std::shared_ptr<Session>& aSession,
          const Link& aLink,
          bool aIsRequest)
{
  auto& yield = aFiber.GetContext().yield_;
  tcp::socket& from = aIsRequest ? aSession->caller_ : aSession->server_;
  tcp::socket& to = aIsRequest ? aSession->server_ : aSession->caller_;
  const bool& isHeld =
    aIsRequest ? aLink.faults_.isRequestHeld_ : aLink.faults_.isResponseHeld_;
  std::array<char, kBufferBytes> buffer{};
  while (true) {
    error_code error;
    from.async_wait(tcp::socket::wait_read, yield[error]);
    if (!HoldBack(aFiber, from, aLink.faults_, isHeld)) {
      aSession->Reset();
      return;
    }
    auto count = error ? 0 : from.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
      continue;
    }
    if (error == boost::asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, error);
      return;
    }
    if (!error && !aSession->isBlackholed_) {
      boost::asio::async_write(
        to, boost::asio::buffer(buffer.data(), count), yield[error]);
    }
    if (error) {
      aSession->Reset();
      return;
    }
  }
}

} // namespace

struct Network::State
{
  explicit State(boost::asio::io_context& aIo)
    : io_(aIo)
  {
  }

  void Relay(Fiber& aFiber,
             const std::shared_ptr<Session>& aSession,
             Link& aLink,
             const Address& aServer)
  {
    error_code error;
    aSession->server_.async_connect(MakeEndpoint(aServer),
                                    aFiber.GetContext().yield_[error]);
    if (error || aLink.faults_.isRefusing_) {
      aSession->Reset();
      return;
    }
    error_code ignored;
    for (tcp::socket* socket : { &aSession->caller_, &aSession->server_ }) {
      socket->set_option(tcp::no_delay(true), ignored);
      socket->non_blocking(true, ignored);
    }
    aLink.sessions_.remove_if([](const auto& aIt) { return aIt.expired(); });
    aLink.sessions_.push_back(aSession);
    aFiber.Spawn([&aLink, aSession](Fiber& aOther) {
      CopyBytes(aOther, aSession, aLink, false);
    });
    CopyBytes(aFiber, aSession, aLink, true);
  }

  void Accept(Fiber& aFiber,
              tcp::acceptor& aAcceptor,
              Link& aLink,
              const Address& aServer)
  {
    while (true) {
      auto session = std::make_shared<Session>(io_);
      error_code error;
      aAcceptor.async_accept(session->caller_,
                             aFiber.GetContext().yield_[error]);
      if (error) {
        return;
      }
      aFiber.Spawn([this, session, &aLink, aServer](Fiber& aOther) {
        Relay(aOther, session, aLink, aServer);
      });
    }
  }

  boost::asio::io_context& io_;
  std::map<LinkEnds, Link> links_;
  std::list<tcp::acceptor> acceptors_;
};

Network::Network(TrafficThreads& aThreads, std::uint8_t aSubnet)
  : state_(std::make_shared<State>(*aThreads.GetState().loops_.front()))
  , subnet_(aSubnet)
{
}

Network::~Network() = default;

Address
Network::ListenAddress(Host aHost, std::uint16_t aPort) const
{
  return { MakeHostAddress(subnet_, 0, aHost), aPort };
}

Address
Network::ProxyAddress(LinkEnds aLink, std::uint16_t aPort) const
{
  return { MakeHostAddress(subnet_, aLink.from_, aLink.to_), aPort };
}

Address
Network::ProxyAddress(Host aFrom, const Address& aListenAddress) const
{
  auto bytes =
    boost::asio::ip::make_address_v4(aListenAddress.host_).to_bytes();
  return ProxyAddress({ aFrom, bytes[3] }, aListenAddress.port_);
}

bool
Network::Open(LinkEnds aLink, std::uint16_t aPort)
{
  auto& acceptor = state_->acceptors_.emplace_back(state_->io_);
  auto endpoint = MakeEndpoint(ProxyAddress(aLink, aPort));
  error_code error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    LogEvent(Severity::Error,
             "soak proxy can't listen",
             { { "address", ProxyAddress(aLink, aPort).ToString() },
               { "error", error.message() } });
    return false;
  }
  Link& link = state_->links_[aLink];
  SpawnFiber(state_->io_,
             [state = state_,
              &acceptor,
              &link,
              server = ListenAddress(aLink.to_, aPort)](Fiber& aFiber) {
               state->Accept(aFiber, acceptor, link, server);
             });
  return true;
}

LinkFaults&
Network::Faults(LinkEnds aLink)
{
  return state_->links_[aLink].faults_;
}

void
Network::Reset(LinkEnds aLink)
{
  for (const auto& weak : state_->links_[aLink].sessions_) {
    if (auto session = weak.lock()) {
      session->Reset();
    }
  }
}

void
Network::Blackhole(LinkEnds aLink)
{
  for (const auto& weak : state_->links_[aLink].sessions_) {
    if (auto session = weak.lock()) {
      session->isBlackholed_ = true;
    }
  }
}

std::vector<LinkEnds>
Network::Links() const
{
  std::vector<LinkEnds> links;
  for (const auto& [ends, link] : state_->links_) {
    links.push_back(ends);
  }
  return links;
}

std::vector<LinkEnds>
Network::LinksOf(Host aHost) const
{
  auto links = Links();
  std::erase_if(links, [aHost](LinkEnds aIt) {
    return aIt.from_ != aHost && aIt.to_ != aHost;
  });
  return links;
}

} // namespace tanagerstall::soak
