#ifndef TANAGERSTALL_SOAK_NETWORK_HPP_INCLUDED
#define TANAGERSTALL_SOAK_NETWORK_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace tanagerstall::soak {

/// A simulated instance: the last byte of its loopback address.
using Host = std::uint8_t;

/// From which instance connections go to which.
struct LinkEnds
{
  Host from_ = 0;
  Host to_ = 0;

  bool operator==(const LinkEnds&) const = default;
  bool operator<(const LinkEnds& aOther) const
  {
    return std::pair(from_, to_) < std::pair(aOther.from_, aOther.to_);
  }
};

/// What is wrong with the connections of a link.
struct LinkFaults
{
  /// Added to each piece of bytes, either way.
  Duration delay_{};
  /// Bytes of the connecting side don't arrive until this is false again.
  bool isRequestHeld_ = false;
  /// Nor those of the accepting side.
  bool isResponseHeld_ = false;
  /// New connections are reset.
  bool isRefusing_ = false;
};

/// A proxy on loopback addresses. An instance's own address is 127.S.0.HOST,
/// with S the subnet; instance FROM reaches it at 127.S.FROM.HOST, where the
/// proxy listens. The processes connect to the own address; the preloaded
/// object puts FROM into it. Used by fibers of one thread.
class Network
{
public:
  Network(TrafficThreads& aThreads, std::uint8_t aSubnet);
  ~Network();

  /// Where an instance listens.
  Address ListenAddress(Host aHost, std::uint16_t aPort) const;
  /// Where another instance connects to it.
  Address ProxyAddress(LinkEnds aLink, std::uint16_t aPort) const;
  /// The same for an instance's own address, as the system names it.
  Address ProxyAddress(Host aFrom, const Address& aListenAddress) const;

  /// Listens for connections of a link to a port. False if it can't.
  bool Open(LinkEnds aLink, std::uint16_t aPort);

  LinkFaults& Faults(LinkEnds aLink);
  /// Ends the open connections of a link with resets.
  void Reset(LinkEnds aLink);
  /// Open connections of a link carry nothing any more; new ones work.
  void Blackhole(LinkEnds aLink);
  std::vector<LinkEnds> Links() const;
  /// Those that lead to or from an instance.
  std::vector<LinkEnds> LinksOf(Host aHost) const;

private:
  struct State;
  std::shared_ptr<State> state_;
  std::uint8_t subnet_;
};

} // namespace tanagerstall::soak

#endif
