#ifndef TANAGERSTALL_REPLICA_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <string>

namespace tanagerstall {

/// What is known of a replica's willingness to take work.
enum class ReplicaState : std::uint8_t
{
  Ready,
  /// Takes no new work.
  Draining,
  /// Has said that it leaves, or another replica has its address.
  Departed,
  /// Has not renewed its announcement in time at this control process.
  Expired
};

/// One replica of a service, as it announced itself.
struct Replica
{
  std::string id_;
  std::string service_;
  /// IP:port.
  std::string address_;
  std::string failureDomain_;
  /// When the replica started, as milliseconds since 1970 by its own clock;
  /// tells one incarnation under an id from the next.
  std::uint64_t startTimeMs_ = 0;
  /// Grows with each announcement of an incarnation.
  std::uint64_t sequence_ = 0;
  std::uint32_t slots_ = 0;
  ReplicaState state_ = ReplicaState::Ready;
  /// Whether its instance may be reclaimed.
  bool isReclaimable_ = false;
  /// How long it stays slow after its start.
  std::chrono::milliseconds warmUpTime_{ 0 };

  bool operator==(const Replica&) const = default;
};

/// Whether `aLeft` was said later than `aRight`, of the same id.
bool
IsNewer(const Replica& aLeft, const Replica& aRight);

} // namespace tanagerstall

#endif
