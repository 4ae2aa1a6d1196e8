#ifndef TANAGERSTALL_ROLLOUT_SIDES_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_SIDES_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/version/tanagerstall_rollout.hpp"

namespace tanagerstall {

/// Whether a replica runs the version that the roll-out moves the traffic to.
inline bool
IsNewVersion(const Rollout& aRollout, const Replica& aReplica)
{
  return aReplica.version_ == aRollout.order_.version_;
}

/// Whether a replica gets no requests because of how the roll-out ended. A
/// replica that names no start time counts as one that had started before.
inline bool
IsExcludedByEnd(const Rollout& aRollout, const Replica& aReplica)
{
  switch (aRollout.state_) {
    case RolloutState::Running:
      return false;
    case RolloutState::Completed:
      return !IsNewVersion(aRollout, aReplica) &&
             static_cast<std::int64_t>(aReplica.startTimeMs_) <
               aRollout.endedAt_.time_since_epoch().count();
    case RolloutState::RolledBack:
      return IsNewVersion(aRollout, aReplica);
  }
  return false;
}

/// Whether a replica belongs to the side that carries the load of the service:
/// the old one until the roll-out is completed.
inline bool
IsServingSide(const Rollout& aRollout, const Replica& aReplica)
{
  bool isNewWhileRunning = aRollout.state_ == RolloutState::Running &&
                           IsNewVersion(aRollout, aReplica);
  return !isNewWhileRunning && !IsExcludedByEnd(aRollout, aReplica);
}

} // namespace tanagerstall

#endif
