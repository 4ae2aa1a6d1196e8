#ifndef TANAGERSTALL_REPLICA_LEAVES_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_LEAVES_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <map>
#include <string>
#include <utility>

namespace tanagerstall {

/// What replicas that drain or have departed said, as part of the replicated
/// state: a control process that restarts rejects their delayed announcements.
/// A deterministic state machine that reads no clock.
class ReplicaLeaves
{
public:
  /// Records that a replica drains or has departed, unless it has said
  /// something later, and forgets those that left long before `aNow`.
  void Record(const Replica& aReplica, WallTime aNow);
  /// Returns whether this, or what the replica said later, is recorded.
  bool Holds(const Replica& aReplica) const;
  /// By the replicas' ids, with the time of the record.
  const std::map<std::string, std::pair<Replica, WallTime>>& All() const
  {
    return leaves_;
  }

private:
  std::map<std::string, std::pair<Replica, WallTime>> leaves_;
};

} // namespace tanagerstall

#endif
