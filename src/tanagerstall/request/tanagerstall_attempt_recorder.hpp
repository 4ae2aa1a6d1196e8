#ifndef TANAGERSTALL_ATTEMPT_RECORDER_HPP_INCLUDED
#define TANAGERSTALL_ATTEMPT_RECORDER_HPP_INCLUDED

#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/request/tanagerstall_crash_quarantine.hpp"
#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

namespace tanagerstall {

/// Records what the attempts of an entry's requests showed of their replicas
/// and prompts: for the choice of replicas, the quarantine and the metrics.
/// Belongs to the thread of the forwarder.
class AttemptRecorder
{
public:
  AttemptRecorder(ReplicaChooser& aChooser,
                  CrashQuarantine& aQuarantine,
                  Metrics& aMetrics,
                  Clock aClock);

  /// Records the latencies of a request that was answered.
  void RecordAnswerLatency(const ForwardedRequest& aRequest);
  /// Reports an attempt's result to the replica chooser. An attempt that was
  /// abandoned before its first part counts with the time that it waited, since
  /// it shows a slow replica just as a late first part does.
  void RecordAttempt(const ForwardedRequest& aRequest,
                     const Replica& aReplica,
                     const AttemptResult& aResult,
                     TimePoint aStartedAt);
  /// Records whether the replica survived the request. `aIsCounted` is set if
  /// its success was recorded while it was being answered.
  void RecordEvidence(const ForwardedRequest& aRequest,
                      const Replica& aReplica,
                      const AttemptResult& aResult,
                      bool aIsCounted);
  /// Records what a replica said of itself in any response.
  void RecordNotice(const Replica& aReplica, const ReplicaNotice& aNotice);
  /// Records the rate limit that a replica named, or not, in its response to a
  /// request that was sent at `aSentAt`.
  void RecordRate(const Replica& aReplica,
                  const ReplicaNotice& aNotice,
                  TimePoint aSentAt);

private:
  ReplicaChooser& chooser_;
  CrashQuarantine& quarantine_;
  Metrics& metrics_;
  Clock clock_;
};

} // namespace tanagerstall

#endif
