#ifndef TANAGERSTALL_REPLICA_TABLE_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_TABLE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// The replicas that announce themselves to one control process. The state is
/// soft: it is rebuilt from announcements after a restart. A deterministic
/// state machine that reads no clock. Each change gets an increasing stamp, so
/// that entries request only changes.
class ReplicaTable
{
public:
  /// A replica expires when its last announcement is older than `aTimeToLive`.
  explicit ReplicaTable(Duration aTimeToLive);

  /// Handles an announcement. Returns false if it is out of date: older than
  /// the last one, from an incarnation that has departed, or from an earlier
  /// holder of the address.
  bool Announce(const Replica& aReplica, TimePoint aNow);
  /// Marks a run of a replica as departed, also one that has not announced
  /// itself here; later announcements of it are rejected. Does nothing if a
  /// later run is known.
  void Leave(const std::string& aId,
             std::uint64_t aStartTimeMs,
             TimePoint aNow);
  /// Records that a replica drains or has departed, as another control process
  /// reports, so that this one rejects delayed announcements as well, also
  /// after the other restarts, and tells entries.
  void AdoptReport(const Replica& aReplica, TimePoint aNow);
  /// Marks replicas as expired, whose ids it returns, and removes those that
  /// departed or expired long ago.
  std::vector<std::string> Tick(TimePoint aNow);

  /// The start time of the newest run of a replica, if it is heard here or said
  /// here that it leaves.
  std::optional<std::uint64_t> NewestRun(const std::string& aId) const;
  /// What a replica said first when it began to drain or departed, if it does
  /// or has: later announcements of the same drain add nothing.
  std::optional<Replica> LeaveOf(const std::string& aId) const;
  /// The stamp of the last change of a replica; 0 if it is not known.
  std::uint64_t StampOf(const std::string& aId) const;
  /// The stamp of the last change.
  std::uint64_t Stamp() const { return stamp_; }
  /// Returns the replicas that changed after a stamp, in any state.
  std::vector<Replica> ChangedAfter(std::uint64_t aStamp) const;
  /// The same without those that changed again after `aTo`.
  std::vector<Replica> ChangedBetween(std::uint64_t aFrom,
                                      std::uint64_t aTo) const;
  /// Returns the replicas that accept new work.
  std::vector<Replica> Ready() const;

private:
  struct KnownReplica
  {
    Replica replica_;
    /// The sequence number of the announcement with which it began to drain.
    std::uint64_t drainSequence_ = 0;
    TimePoint receivedAt_;
    std::uint64_t stamp_ = 0;
  };

  /// Returns false if a newer replica holds the address. Otherwise marks the
  /// earlier holder of the address, if any, as departed.
  bool ClaimAddress(const Replica& aReplica, TimePoint aNow);
  void MarkDeparted(KnownReplica& aKnown, TimePoint aNow);
  /// Replaces what the replica said last.
  static void Replace(KnownReplica& aKnown, const Replica& aReplica);

  Duration timeToLive_;
  std::uint64_t stamp_ = 0;
  std::map<std::string, KnownReplica> replicas_;
  /// The id of the newest replica at each address.
  std::map<std::string, std::string> byAddress_;
};

} // namespace tanagerstall

#endif
