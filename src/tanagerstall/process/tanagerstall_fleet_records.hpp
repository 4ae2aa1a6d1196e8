#ifndef TANAGERSTALL_FLEET_RECORDS_HPP_INCLUDED
#define TANAGERSTALL_FLEET_RECORDS_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_leave_recorder.hpp"
#include "tanagerstall/process/presence/tanagerstall_version_gate.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"
#include "tanagerstall/process/tanagerstall_rollout_controller.hpp"

#include <string>
#include <vector>

namespace tanagerstall {

/// Records what a control process decides or learns by itself in the fleet's
/// replicated state, and logs what isn't recorded. Runs on the control thread.
class FleetRecords
{
public:
  /// `aMember` must outlive this object.
  FleetRecords(RaftMember& aMember, Clock aClock);

  /// Records replicas that drain or have departed.
  void RecordLeaves(const std::vector<Replica>& aReplicas,
                    const LeaveRecorder::Done& aDone);
  /// Records that a software version of a service begins to accept work.
  void RecordVersionStart(const std::string& aService,
                          const std::string& aVersion,
                          const VersionGate::Done& aDone);
  void RecordRolloutEnd(const RolloutEnd& aEnd);

private:
  RaftMember& member_;
  Clock clock_;
};

} // namespace tanagerstall

#endif
