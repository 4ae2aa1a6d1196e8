#ifndef TANAGERSTALL_ROLLOUT_CONTROLLER_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_CONTROLLER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/process/tanagerstall_rollout_verdict.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// What a version may get before it has been found good.
struct RolloutBounds
{
  /// The part of the service's requests, and a number beyond that part.
  double exposureShare_ = 0.1;
  double exposureSlack_ = 50.0;
};

/// The numbers of a service's present replicas.
struct RolloutReplicas
{
  std::size_t old_ = 0;
  std::size_t new_ = 0;
};

/// Counts the replicas of each service with a running roll-out.
std::map<std::string, RolloutReplicas>
CountSides(const std::map<std::string, Rollout>& aRollouts,
           const ReplicasByService& aPresent);

/// The fleet as the leader sees it.
struct RolloutFleet
{
  /// The runs of the entries that take requests.
  std::set<std::string> entries_;
  /// By service.
  std::map<std::string, RolloutReplicas> replicas_;
};

/// A step of a roll-out, with the counts that decided.
struct RolloutStep
{
  Rollout rollout_;
  /// Running while the roll-out goes on with another share.
  RolloutState state_ = RolloutState::Running;
  const char* reason_ = "";
  double requestShare_ = 0.0;
  double replicaShare_ = 0.0;
  RolloutReplicas replicas_;
  /// The sums over all routes and entries.
  RolloutTally counts_;
  std::optional<RolloutEvidence> evidence_;
};

/// A decision that has to be recorded.
struct RolloutEnd
{
  std::uint64_t id_ = 0;
  RolloutState state_ = RolloutState::Running;
  WallTime endedAt_;
};

/// Decides at the leader how much of each service's traffic goes to the new
/// version, and how the roll-out ends. During a canary phase the new version
/// gets no more than its bounds allow, on so few replicas that each carries the
/// load of an old one. If the verdict finds no fault, the share rises to all
/// requests, and the roll-out is completed when the old replicas have nothing
/// left to do. Does no I/O and reads no clock.
class RolloutController
{
public:
  /// Revisions begin behind `aFirstRevision`, so that those of another process
  /// differ.
  RolloutController(RolloutBounds aBounds, std::uint64_t aFirstRevision);

  /// Adopts the recorded roll-outs, by service.
  void SetRollouts(const std::map<std::string, Rollout>& aRollouts);
  /// Begins with no share; the counts of entries are kept.
  void StartLeading(TimePoint aNow);
  void StopLeading();
  /// Records the cumulative counts of one run of an entry, and the revision of
  /// the directives that it follows.
  void Record(const std::string& aEntry,
              const std::vector<RolloutCounts>& aCounts,
              std::uint64_t aRevision,
              TimePoint aNow);
  /// Decides on shares and ends. Has no effect unless this process leads.
  void Update(const RolloutFleet& aFleet, TimePoint aNow, WallTime aWallNow);

  /// The roll-outs of all services, with the shares if this process leads.
  std::vector<RolloutDirective> Directives() const;
  /// Changes whenever the directives do.
  std::uint64_t Revision() const { return revision_; }
  bool HasRunning() const { return !running_.empty(); }
  std::vector<RolloutStep> TakeSteps();
  /// The decisions that the record doesn't show yet.
  std::vector<RolloutEnd> PendingEnds() const;

private:
  enum class Phase
  {
    /// Entries have yet to report what they counted.
    Listening,
    Canary,
    /// The share rises.
    Ramp,
    /// All requests go to the new version.
    Drain
  };

  /// What one run of an entry counted.
  struct Entry
  {
    /// By side and route.
    std::map<std::pair<bool, std::string>, RolloutCounts> counts_;
    std::uint64_t revision_ = 0;
    TimePoint heardAt_;
    /// Whether it has reported since this process leads.
    bool isHeard_ = false;
  };

  /// A request share that was given with a revision.
  struct GivenShare
  {
    std::uint64_t revision_ = 0;
    double share_ = 0.0;
    TimePoint givenAt_;
  };

  struct Running
  {
    explicit Running(const Rollout& aRollout);

    Rollout rollout_;
    std::map<std::string, Entry> entries_;
    RolloutTallies sums_;
    /// Requests counted since `rateFrom_`, and their smoothed rate per second.
    double added_ = 0.0;
    std::optional<TimePoint> rateFrom_;
    std::optional<double> rate_;
    Phase phase_ = Phase::Listening;
    double requestShare_ = 0.0;
    double replicaShare_ = 0.0;
    TimePoint adjustedAt_;
    std::size_t rampStep_ = 0;
    Duration rampInterval_{ 0 };
    /// The time from the order until the new side got requests.
    std::optional<Duration> newSince_;
    std::deque<GivenShare> given_;
    RolloutVerdict verdict_;
    std::optional<RolloutEnd> end_;
  };

  /// What Update() knows of a roll-out at one time.
  struct Moment
  {
    TimePoint now_;
    WallTime wallNow_;
    /// The time since the order.
    Duration elapsed_;
    Duration length_;
    RolloutReplicas replicas_;
    const std::set<std::string>& entries_;
  };

  void RecordEntry(Running& aRunning,
                   const std::string& aEntry,
                   const std::vector<RolloutCounts>& aCounts);
  static void UpdateRate(Running& aRunning, TimePoint aNow);
  static bool HasHeardMost(const Running& aRunning, const Moment& aMoment);
  static double ShareInUse(const Running& aRunning, const Moment& aMoment);
  static bool HasEnough(const RolloutReplicas& aReplicas);
  static Duration CanaryEnd(const Running& aRunning, const Moment& aMoment);
  double CanaryShare(const Running& aRunning, const Moment& aMoment) const;
  static bool IsOldIdle(const Running& aRunning, const Moment& aMoment);

  void UpdateOne(Running& aRunning, const Moment& aMoment);
  void Listen(Running& aRunning, const Moment& aMoment);
  void AdjustCanary(Running& aRunning, const Moment& aMoment);
  void Rise(Running& aRunning, const Moment& aMoment);
  void SetShare(Running& aRunning,
                const Moment& aMoment,
                double aRequestShare,
                double aReplicaShare,
                const char* aReason);
  void End(Running& aRunning,
           const Moment& aMoment,
           RolloutState aState,
           const char* aReason,
           const std::optional<RolloutEvidence>& aEvidence = std::nullopt);
  void AddStep(const Running& aRunning,
               const Moment& aMoment,
               const char* aReason,
               const std::optional<RolloutEvidence>& aEvidence);

  RolloutBounds bounds_;
  std::uint64_t revision_;
  bool isLeading_ = false;
  std::map<std::string, Rollout> rollouts_;
  /// The roll-outs that are running, by service.
  std::map<std::string, Running> running_;
  std::vector<RolloutStep> steps_;
};

} // namespace tanagerstall

#endif
