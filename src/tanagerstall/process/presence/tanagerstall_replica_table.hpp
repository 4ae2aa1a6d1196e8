#ifndef TANAGERSTALL_REPLICA_TABLE_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_TABLE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// The replicas that announce themselves to one control process. Soft state;
/// a plain state machine. Each change gets a stamp, so that entries ask only
/// for what changed.
class ReplicaTable
{
public:
  /// `aTimeToLive`: the age of the last announcement at which a replica
  /// counts as silent.
  explicit ReplicaTable(Duration aTimeToLive);

  /// Takes an announcement in; false where it is older than what is known.
  bool Announce(const Replica& aReplica, TimePoint aNow);
  /// Notes that a replica leaves. Later announcements of the same incarnation
  /// change nothing. `aStartTimeMs` is 0 where the replica didn't say it.
  void Leave(const std::string& aId,
             std::uint64_t aStartTimeMs,
             TimePoint aNow);
  /// Marks the replicas that have gone silent; forgets those long gone.
  void Tick(TimePoint aNow);

  /// Grows with every change.
  std::uint64_t Stamp() const { return stamp_; }
  /// What changed after a stamp.
  std::vector<Replica> ChangedAfter(std::uint64_t aStamp) const;
  /// The replicas that would take work.
  std::vector<Replica> Ready() const;

private:
  struct KnownReplica
  {
    Replica replica_;
    TimePoint receivedAt_;
    std::uint64_t stamp_ = 0;
  };

  bool ClaimAddress(const Replica& aReplica, TimePoint aNow);
  void SetState(KnownReplica& aKnown, ReplicaState aState);

  Duration timeToLive_;
  std::uint64_t stamp_ = 0;
  std::map<std::string, KnownReplica> replicas_;
  /// The id of the newest replica at an address.
  std::map<std::string, std::string> byAddress_;
};

} // namespace tanagerstall

#endif
