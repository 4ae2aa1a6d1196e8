#ifndef TANAGERSTALL_SOAK_NETWORK_HPP_INCLUDED
#define TANAGERSTALL_SOAK_NETWORK_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace tanagerstall::soak {

/// A simulated instance: the last byte of its loopback address.
using Host = std::uint8_t;

/// The connecting and the accepting instance of a link.
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

/// Faults of all connections of a link.
struct LinkFaults
{
  /// Delay of each chunk of data, in both directions.
  Duration delay_{};
  /// Holds back data from the connecting side until it is false again.
  bool isRequestHeld_ = false;
  /// Holds back data from the accepting side until it is false again.
  bool isResponseHeld_ = false;
  /// Resets new connections.
  bool isRefusing_ = false;
  /// When a delay or hold of requests last began or ended.
  std::optional<TimePoint> changedAt_;

  /// Whether data from the connecting side arrives late.
  bool HoldsUpRequests() const
  {
    return isRequestHeld_ || delay_ > Duration::zero();
  }
};

/// A TCP proxy that injects faults between simulated instances. An instance
/// listens at 127.S.0.HOST, with S the subnet; the proxy accepts connections of
/// instance FROM to it at 127.S.FROM.HOST. Processes connect to 127.S.0.HOST,
/// and the preloaded shared object inserts FROM. Used by fibers of one thread.
class Network
{
public:
  Network(TrafficThreads& aThreads, std::uint8_t aSubnet);
  ~Network();

  /// Returns the address at which an instance listens.
  Address ListenAddress(Host aHost, std::uint16_t aPort) const;
  /// Returns the proxy's address for connections of a link.
  Address ProxyAddress(LinkEnds aLink, std::uint16_t aPort) const;
  /// Returns the proxy's address for connections of `aFrom` to an instance that
  /// listens at `aListenAddress`.
  Address ProxyAddress(Host aFrom, const Address& aListenAddress) const;

  /// Accepts connections of a link to a port. Returns false if it can't listen.
  bool Open(LinkEnds aLink, std::uint16_t aPort);

  /// Returns the faults in force on a link, for changes.
  LinkFaults& Faults(LinkEnds aLink);
  /// Resets the open connections of a link.
  void Reset(LinkEnds aLink);
  /// Discards all further data on the open connections of a link. New
  /// connections work.
  void Blackhole(LinkEnds aLink);
  std::vector<LinkEnds> Links() const;
  /// Returns the links to or from an instance.
  std::vector<LinkEnds> LinksOf(Host aHost) const;

private:
  struct State;
  std::shared_ptr<State> state_;
  std::uint8_t subnet_;
};

} // namespace tanagerstall::soak

#endif
