#ifndef TANAGERSTALL_LEAVE_RECORDER_HPP_INCLUDED
#define TANAGERSTALL_LEAVE_RECORDER_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <functional>
#include <vector>

namespace tanagerstall {

/// Proposes what replicas that leave said for the replicated log: what arrives
/// while a proposal is under way shares the next one, so that a release costs
/// few syncs. A state machine that reads no clock.
class LeaveRecorder
{
public:
  /// Is called when a proposal has been decided, or has failed.
  using Done = std::function<void(TimePoint)>;
  using ProposeHook = std::function<void(const std::vector<Replica>&, Done)>;

  explicit LeaveRecorder(ProposeHook aPropose);

  void Record(const Replica& aReplica, TimePoint aNow);
  /// Proposes what waits for a proposal that takes too long.
  void Tick(TimePoint aNow);

private:
  void OnProposed(std::uint64_t aNumber, TimePoint aNow);

  ProposeHook propose_;
  std::vector<Replica> waiting_;
  /// The number of the last proposal.
  std::uint64_t number_ = 0;
  /// Until when the last proposal holds back the next one.
  TimePoint pendingUntil_;
};

} // namespace tanagerstall

#endif
