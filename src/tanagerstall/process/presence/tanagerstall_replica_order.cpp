#include "tanagerstall/process/presence/tanagerstall_replica_order.hpp"

#include <tuple>

namespace tanagerstall {

namespace {

std::tuple<std::uint64_t, bool, std::uint64_t>
RankOf(const Replica& aReplica)
{
  bool hasDeparted = aReplica.state_ == ReplicaState::Departed;
  // Nothing follows a departure, so its own sequence number says nothing.
  return { aReplica.startTimeMs_,
           hasDeparted,
           hasDeparted ? 0 : aReplica.sequence_ };
}

} // namespace

bool
Supersedes(const Replica& aLeft, const Replica& aRight)
{
  return RankOf(aLeft) > RankOf(aRight);
}

bool
IsEqualForEntries(const Replica& aLeft, const Replica& aRight)
{
  Replica left = aLeft;
  left.sequence_ = aRight.sequence_;
  left.warmUpTime_ = aRight.warmUpTime_;
  return left == aRight;
}

} // namespace tanagerstall
