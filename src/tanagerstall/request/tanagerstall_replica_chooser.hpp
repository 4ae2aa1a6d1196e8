#ifndef TANAGERSTALL_REPLICA_CHOOSER_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_CHOOSER_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tanagerstall {

/// What the choice of a replica depends on.
struct ChoiceRequest
{
  std::string service_;
  /// Requests with the same key read the same prompt parts; 0 for none.
  std::uint64_t affinityKey_ = 0;
  /// Whether writing the answer takes longer than reading the prompt.
  bool isLongAnswer_ = false;
  /// Tokens or another measure of the work; at least 1.
  double cost_ = 1.0;
  /// Replicas that are not to be tried again.
  std::set<std::string> excluded_;
};

/// How a request ended at a replica.
enum class AttemptOutcome
{
  /// An answer, be it a failure of the request's own.
  Answered,
  /// Refused without having run.
  Refused,
  /// Refused, since another replica has the address.
  Misdirected,
  /// No connection could be made.
  Unreachable,
  /// The connection broke, or bytes came that are no answer.
  Broken,
  /// The caller left, or the time ran out.
  Abandoned
};

/// Chooses replicas by the work that this entry has there, by prompt parts
/// that a replica holds already, and by what requests have seen of it. For a
/// skewed load: requests that share prompt parts meet at one replica until it
/// has clearly more work than the others. For long answers beside long
/// prompts: some replicas are kept for long answers, whose parts would pause
/// while prompts are read; all entries agree on them without a word. For
/// replicas that turn slow: their work weighs as much more as their first
/// parts come later than the others'. Plain state machine.
class ReplicaChooser
{
public:
  struct Settings
  {
    std::string failureDomain_;
    /// The region of each failure domain.
    std::map<std::string, std::string> regions_;
  };

  ReplicaChooser(Settings aSettings, std::uint64_t aSeed);

  void SetReplicas(std::shared_ptr<const ReplicasByService> aReplicas);
  /// The replica for a request, which counts as running there until Finish().
  std::optional<Replica> Choose(const ChoiceRequest& aRequest, TimePoint aNow);
  void Finish(const Replica& aReplica,
              double aCost,
              AttemptOutcome aOutcome,
              TimePoint aNow);
  /// Notes how long a request waited for its first part, or waits in vain.
  void ObserveFirstPart(const Replica& aReplica,
                        Duration aWait,
                        TimePoint aNow);
  /// Whether a replica is still to be used.
  bool IsPresent(const std::string& aId) const;
  std::size_t CountReplicas(const std::string& aService) const;
  /// Requests that run at a replica from here.
  std::uint32_t RunningAt(const Replica& aReplica) const;
  /// Requests that run at a service's replicas from here.
  std::uint32_t Running(const std::string& aService) const;

private:
  struct ReplicaStats
  {
    std::uint64_t bornMs_ = 0;
    std::uint32_t running_ = 0;
    double work_ = 0.0;
    /// Failures since the last good answer.
    std::uint32_t failures_ = 0;
    TimePoint avoidUntil_;
    /// The smoothed wait for first parts, in milliseconds.
    double firstPartMs_ = 0.0;
    std::uint32_t samples_ = 0;
    TimePoint sampledAt_;
  };

  ReplicaStats& StatsOf(const Replica& aReplica);
  double SlownessOf(const Replica& aReplica, TimePoint aNow) const;
  bool IsInRegion(const Replica& aReplica) const;
  const Replica* Pick(const std::vector<const Replica*>& aFrom,
                      const ChoiceRequest& aRequest,
                      TimePoint aNow);
  void PartitionReplicas(const std::vector<Replica>& aReplicas);
  std::vector<const Replica*> FilterByAnswerLength(
    const std::vector<const Replica*>& aFrom,
    bool aForLongAnswers) const;
  std::vector<const Replica*> Candidates(const ChoiceRequest& aRequest,
                                         TimePoint aNow);

  Settings settings_;
  std::mt19937_64 random_;
  std::shared_ptr<const ReplicasByService> replicas_;
  std::set<std::string> present_;
  /// Replicas of this region that are kept for long answers, and the others.
  std::set<std::string> forLongAnswers_;
  std::set<std::string> forOthers_;
  std::map<std::string, ReplicaStats> stats_;
  /// The smoothed wait for first parts of each service, in milliseconds.
  std::map<std::string, double> serviceFirstPartMs_;
};

} // namespace tanagerstall

#endif
