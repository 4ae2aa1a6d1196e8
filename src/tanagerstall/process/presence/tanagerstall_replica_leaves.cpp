#include "tanagerstall/process/presence/tanagerstall_replica_leaves.hpp"

#include "tanagerstall/process/presence/tanagerstall_replica_order.hpp"

namespace tanagerstall {

namespace {

/// An announcement from before has arrived by then, also where the clock of a
/// control process is ahead.
constexpr std::chrono::seconds kRetention{ 180 };

} // namespace

void
ReplicaLeaves::Record(const Replica& aReplica, WallTime aNow)
{
  std::erase_if(leaves_, [&](const auto& aIt) {
    return aIt.second.second + kRetention < aNow;
  });
  if (!Holds(aReplica)) {
    leaves_[aReplica.id_] = { aReplica, aNow };
  }
}

bool
ReplicaLeaves::Holds(const Replica& aReplica) const
{
  auto it = leaves_.find(aReplica.id_);
  return it != leaves_.end() && !Supersedes(aReplica, it->second.first);
}

} // namespace tanagerstall
