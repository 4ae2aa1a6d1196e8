#ifndef TANAGERSTALL_REQUESTED_BACKOFF_HPP_INCLUDED
#define TANAGERSTALL_REQUESTED_BACKOFF_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/request/tanagerstall_replica_notice.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace tanagerstall {

/// What an entry may send to a replica, by the replica's own words.
enum class ReplicaAvailability
{
  Open,
  /// Open again after a back-off, for a part of its requests.
  Returning,
  /// Wants no requests for a while.
  BackingOff,
  /// Takes no new requests any more.
  Leaving
};

/// Back-off that the server asks for: the replicas that have told this entry
/// that they leave, or that they want no requests for a while. A mark belongs
/// to one incarnation of a replica. Performs no I/O and reads no clock.
class RequestedBackoff
{
public:
  /// How long a replica that returns from a back-off gets only a part of its
  /// requests.
  static constexpr Duration kReturnTime = std::chrono::seconds(1);

  /// Records what the replica said in a response that arrived at `aNow`.
  /// Returns whether that changes its availability or lengthens its back-off.
  bool Record(const Replica& aReplica,
              const ReplicaNotice& aNotice,
              TimePoint aNow);
  ReplicaAvailability AvailabilityOf(const Replica& aReplica,
                                     TimePoint aNow) const;
  /// Returns when the replica's back-off ends; a time in the past if it asked
  /// for none.
  TimePoint BackoffEnd(const Replica& aReplica) const;

private:
  struct Mark
  {
    std::uint64_t startTimeMs_ = 0;
    bool isLeaving_ = false;
    TimePoint backoffUntil_;
    TimePoint recordedAt_;
  };

  const Mark* Find(const Replica& aReplica) const;
  void ForgetOldMarks(TimePoint aNow);

  std::map<std::string, Mark> marks_;
};

} // namespace tanagerstall

#endif
