#ifndef TANAGERSTALL_ROLLOUT_LEADER_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_LEADER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_rollout_controller.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace tanagerstall {

/// A control process's part in roll-outs: it tells entries the recorded state
/// and, as the leader, gives shares and records ends. Belongs to the control
/// thread.
class RolloutLeader
{
public:
  struct Hooks
  {
    /// The present replicas at all control processes.
    std::function<std::shared_ptr<const ReplicasByService>()> replicas_;
    /// The runs of the entries that take requests.
    std::function<std::set<std::string>()> entries_;
    /// Proposes the end of a roll-out. A repeated proposal has no effect.
    std::function<void(const RolloutEnd&)> propose_;
    /// Answers the entries that wait for an update.
    std::function<void()> notify_;
  };

  RolloutLeader(RolloutBounds aBounds,
                std::uint64_t aFirstRevision,
                Hooks aHooks);

  /// Adopts the recorded roll-outs, by service.
  void SetRollouts(const std::map<std::string, Rollout>& aRollouts);
  void SetLeading(bool aIsLeading, TimePoint aNow);
  /// Records the counts in a report to the leader of one run of an entry.
  void Record(const std::string& aEntry,
              const EntryReport& aReport,
              TimePoint aNow);
  /// Whether the entry lacks the directives and has not been sent them. Other
  /// control processes and builds without roll-outs never report a revision.
  bool HasUpdate(const std::string& aEntry, const EntryReport& aReport) const;
  void AddTo(ControlAnswer& aAnswer,
             const std::string& aEntry,
             const EntryReport& aReport);
  /// Decides, logs and records. Call every 100 ms.
  void Update(TimePoint aNow, WallTime aWallNow);
  std::vector<RolloutDirective> Directives() const;

private:
  void Decide(std::set<std::string> aEntries,
              TimePoint aNow,
              WallTime aWallNow);
  void ProposeEnds(TimePoint aNow);

  Hooks hooks_;
  RolloutController controller_;
  bool isLeading_ = false;
  std::map<std::string, Rollout> rollouts_;
  /// The revision of the directives that was sent to each run of an entry.
  std::map<std::string, std::uint64_t> sent_;
  std::map<std::string, RolloutReplicas> sides_;
  TimePoint nextSidesAt_;
  TimePoint nextEndAt_;
};

} // namespace tanagerstall

#endif
