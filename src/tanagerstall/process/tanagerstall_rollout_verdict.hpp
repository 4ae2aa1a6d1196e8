#ifndef TANAGERSTALL_ROLLOUT_VERDICT_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_VERDICT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// The counts of both sides on one route, summed over all entries.
struct RolloutTally
{
  RolloutCounts old_;
  RolloutCounts new_;
};

/// By route; the name "" stands for all routes together.
using RolloutTallies = std::map<std::string, RolloutTally>;

/// Adds counts to a sum, which keeps its names.
void
AddCounts(RolloutCounts& aTo, const RolloutCounts& aFrom);

/// The counts that decided against a version.
struct RolloutEvidence
{
  /// "" for all routes together.
  std::string route_;
  /// Whether slow responses decided, rather than failures.
  bool isSlow_ = false;
  /// Bad responses and all known ones of the new side.
  double newBad_ = 0.0;
  double newAll_ = 0.0;
  /// The highest rate that the old side makes plausible for a good version.
  double allowedRate_ = 0.0;
  /// The logarithm of the likelihood ratio, and what it had to reach.
  double weight_ = 0.0;
  double threshold_ = 0.0;
};

/// Judges the new version of a running roll-out by its responses, compared with
/// those of the old side in the same time. A version is bad if a sequential
/// test rejects that its rate of failures, or of slow responses, is the old
/// side's. The tests run on each route and on all together, over the whole
/// roll-out and over its latest seconds, since a version may turn bad late. All
/// of them together reject a good version with a fixed probability. Does no I/O
/// and reads no clock.
class RolloutVerdict
{
public:
  /// `aLength` is the time for which the version is judged.
  explicit RolloutVerdict(Duration aLength);

  /// Judges by the sums since the order. Returns evidence against the version,
  /// if it suffices.
  std::optional<RolloutEvidence> Judge(const RolloutTallies& aSums,
                                       TimePoint aNow);
  /// The responses of the new side that were bad, by the last sums.
  double BadResponses() const { return badResponses_; }

private:
  struct Snapshot
  {
    TimePoint takenAt_;
    RolloutTallies sums_;
  };

  /// A time over which the sides are compared.
  struct Window
  {
    RolloutTallies counts_;
    TimePoint since_;
    /// The probability that its tests reject a good version.
    double errorProbability_ = 0.0;
  };

  void TakeSnapshot(TimePoint aNow);
  const Snapshot* Before(TimePoint aTime) const;
  double HighestOldRate(const std::string& aRoute, bool aIsSlow) const;
  std::optional<RolloutEvidence> JudgeWindow(const Window& aWindow) const;
  double MostInInterval(
    const std::string& aRoute,
    TimePoint aSince,
    const std::function<double(const RolloutCounts&)>& aBad) const;
  std::optional<RolloutEvidence> JudgeNumber();

  Duration length_;
  Snapshot latest_;
  /// The sums at the ends of intervals, the latest last.
  std::deque<Snapshot> snapshots_;
  double badResponses_ = 0.0;
};

} // namespace tanagerstall

#endif
