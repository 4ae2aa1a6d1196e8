#ifndef TANAGERSTALL_REPLICA_NOTICE_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_NOTICE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

namespace tanagerstall {

/// What a replica's response says of the replica itself.
struct ReplicaNotice
{
  /// Whether the replica is about to stop and must get no new requests.
  bool isLeaving_ = false;
  /// How long the replica wants no requests from this entry; zero if it takes
  /// them.
  Duration backoff_{ 0 };

  bool IsEmpty() const { return !isLeaving_ && backoff_ == Duration::zero(); }
};

} // namespace tanagerstall

#endif
