#ifndef TANAGERSTALL_STREAM_DIRECTORY_HPP_INCLUDED
#define TANAGERSTALL_STREAM_DIRECTORY_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_version_history.hpp"
#include "tanagerstall/request/tanagerstall_stream_origins.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <optional>
#include <string>

namespace tanagerstall {

/// Returns how long after its beginning a stream may still be resumed under the
/// plan's timeouts.
Duration
LongestStreamTime(const TrafficPlan& aPlan);

/// Finds the software version at which a stream may go on. Entries have one for
/// the streams that began there, the leader one for those of all entries. Reads
/// no clock; not thread-safe.
class StreamDirectory
{
public:
  explicit StreamDirectory(std::size_t aMaxStreams);

  void SetPlan(const TrafficPlan& aPlan);
  /// Sets the replicas that accept work now.
  void SetReplicas(const ReplicasByService& aPresent, TimePoint aNow);
  /// Confirms that the replicas are those that the leader knew at `aTime`.
  /// Without that for a while, another version may have been added.
  void ConfirmReplicas(TimePoint aTime) { confirmedAt_ = aTime; }
  void Record(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow);
  /// Returns what began the stream, if that was recorded or if only one version
  /// of the service could have.
  std::optional<StreamOrigin> Find(std::optional<StreamKey> aStream,
                                   const std::string& aService,
                                   TimePoint aNow) const;
  /// Returns the streams that have not been returned yet and whose service has
  /// had several versions lately.
  StreamGroups TakeNew(TimePoint aNow);
  /// Answers for each of the streams of which the origin is known.
  StreamGroups FindAll(const StreamGroups& aWanted, TimePoint aNow) const;
  /// Forgets what is too old to matter.
  void Tick(TimePoint aNow);

private:
  Duration memory_;
  std::optional<TimePoint> confirmedAt_;
  VersionHistory versions_;
  StreamOrigins origins_;
};

} // namespace tanagerstall

#endif
