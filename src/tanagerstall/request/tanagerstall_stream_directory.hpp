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
  /// Records that a version may accept work from now on.
  void RecordStart(const std::string& aService,
                   const std::string& aVersion,
                   TimePoint aNow);
  /// Whether replicas of the version accept work now.
  bool HasVersion(const std::string& aService,
                  const std::string& aVersion) const;
  /// Confirms that this process was the leader at `aTime`, by a quorum: no
  /// version that had begun to accept work by then is unknown here.
  void ConfirmVersions(TimePoint aTime) { confirmedAt_ = aTime; }
  void Record(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow);
  /// Returns what began the stream, if that was recorded.
  std::optional<StreamOrigin> Find(StreamKey aStream) const;
  /// Returns what began a stream that was resumed at `aResumedAt`, if only one
  /// version of the service could have. Only the leader knows.
  std::optional<StreamOrigin> Infer(const std::string& aService,
                                    TimePoint aResumedAt,
                                    TimePoint aNow) const;
  /// Adopts what another process knows, but for inferences that this one knows
  /// to be wrong.
  void Adopt(const StreamGroups& aFound, TimePoint aNow);
  /// Returns the streams that have not been returned yet and whose service has
  /// had several versions lately.
  StreamGroups TakeNew(TimePoint aNow);
  /// Answers for each of the streams of which the origin is known or certain.
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
