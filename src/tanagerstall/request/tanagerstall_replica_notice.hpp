#ifndef TANAGERSTALL_REPLICA_NOTICE_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_NOTICE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <optional>

namespace tanagerstall {

/// What a replica's response says of the replica itself.
struct ReplicaNotice
{
  /// Whether the replica is about to stop and must get no new requests.
  bool isLeaving_ = false;
  /// How long the replica wants no requests from this entry; zero if it takes
  /// them.
  Duration backoff_{ 0 };

  /// The requests per second that the replica takes from all entries together;
  /// nullopt if it names no limit.
  std::optional<double> ratePerSecond_ = std::nullopt;
  /// Whether it names a limit that can't be read. What it named before stands.
  bool isRateUnreadable_ = false;

  /// Whether the replica says neither that it leaves nor that it backs off.
  bool IsEmpty() const { return !isLeaving_ && backoff_ == Duration::zero(); }
};

} // namespace tanagerstall

#endif
