#ifndef TANAGERSTALL_REPLICA_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <string>

namespace tanagerstall {

/// The state of a replica by its last announcement.
enum class ReplicaState : std::uint8_t
{
  Ready,
  /// Accepts no new work.
  Draining,
  /// Has announced its departure, or another replica has taken its address.
  Departed
};

/// A replica of a service, as described by its last announcement.
struct Replica
{
  std::string id_;
  std::string service_;
  /// IP:port.
  std::string address_;
  std::string failureDomain_;
  /// Start time in milliseconds since 1970 by the replica's own clock;
  /// distinguishes incarnations that use the same id.
  std::uint64_t startTimeMs_ = 0;
  /// Increases with each announcement of an incarnation.
  std::uint64_t sequence_ = 0;
  /// How many requests it runs concurrently.
  std::uint32_t slots_ = 0;
  ReplicaState state_ = ReplicaState::Ready;
  /// Whether it has not renewed its announcement in time at the control process
  /// that reports it.
  bool hasExpired_ = false;
  /// Whether its instance may be reclaimed by the provider.
  bool isReclaimable_ = false;
  /// How long its answers remain slower than usual after a start.
  std::chrono::milliseconds warmUpTime_{ 0 };
  /// The version of its software; "" if it named none.
  std::string version_{};

  bool operator==(const Replica&) const = default;
};

} // namespace tanagerstall

#endif
