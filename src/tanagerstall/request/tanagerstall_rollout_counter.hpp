#ifndef TANAGERSTALL_ROLLOUT_COUNTER_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_COUNTER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tanagerstall {

/// Returns the bucket of `RolloutCounts::firstParts_` for a time.
std::size_t
RolloutBucketOf(Duration aTime);

/// How a request that was sent to a replica ended.
enum class SentOutcome
{
  Answered,
  /// A server error, a broken response, or no first part before the deadline.
  Failed,
  /// A refusal that states that the request has not run, a caller that left, or
  /// another end that says nothing about the version.
  Neutral
};

/// Counts the requests that an entry sends to the replicas of services with a
/// running roll-out, by side and route. Requests that are in progress when a
/// roll-out begins count as sent after its beginning. Does no I/O and reads no
/// clock; not thread-safe.
class RolloutCounter
{
public:
  /// One request that was sent to a replica.
  struct Sent
  {
    std::string service_;
    std::string version_;
    std::string route_;
    TimePoint sentAt_;
    bool hasFirstPart_ = false;
  };

  /// Begins to count for a roll-out; the counts of an earlier one of the
  /// service are dropped. Has no effect if it is being counted already.
  void Begin(const Rollout& aRollout);
  /// Stops counting for a service.
  void End(const std::string& aService);

  Sent OnSent(const Replica& aReplica,
              const std::string& aRoute,
              TimePoint aNow);
  /// Counts the first part of a good response; later calls have no effect.
  void OnFirstPart(Sent& aSent, TimePoint aNow);
  /// An answered request whose first part was not counted had it at its end.
  void OnEnd(Sent& aSent, SentOutcome aOutcome, TimePoint aNow);

  /// Returns the counts of all services with a running roll-out.
  std::vector<RolloutCounts> Report() const;
  /// Returns the requests that were sent, by service and version.
  std::map<std::pair<std::string, std::string>, std::uint64_t> SentByVersion()
    const;

private:
  /// By version and route.
  using Running = std::map<std::pair<std::string, std::string>, std::uint64_t>;

  struct Counted
  {
    Rollout rollout_;
    /// By side and route.
    std::map<std::pair<bool, std::string>, RolloutCounts> counts_;
  };

  static RolloutCounts& CountsOf(Counted& aCounted,
                                 const std::string& aVersion,
                                 const std::string& aRoute);
  RolloutCounts* Find(const Sent& aSent);

  /// The requests in progress, by service.
  std::map<std::string, Running> running_;
  /// By service.
  std::map<std::string, Counted> counted_;
};

} // namespace tanagerstall

#endif
