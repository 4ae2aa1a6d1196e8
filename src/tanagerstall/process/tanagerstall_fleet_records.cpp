#include "tanagerstall/process/tanagerstall_fleet_records.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <utility>

namespace tanagerstall {

FleetRecords::FleetRecords(RaftMember& aMember, Clock aClock)
  : member_(aMember)
  , clock_(std::move(aClock))
{
}

void
FleetRecords::RecordLeaves(const std::vector<Replica>& aReplicas,
                           const LeaveRecorder::Done& aDone)
{
  member_.Propose(
    GroupName::Configuration,
    FleetState::EncodeLeaves(aReplicas, ReadWallTime()),
    [this, count = aReplicas.size(), aDone](const GroupResult& aResult) {
      if (!aResult) {
        LogEvent(
          Severity::Warning,
          "leaves not recorded",
          { { "replicas", count }, { "error", aResult.error().detail_ } });
      }
      aDone(clock_.Now());
    });
}

void
FleetRecords::RecordVersionStart(const std::string& aService,
                                 const std::string& aVersion,
                                 const VersionGate::Done& aDone)
{
  member_.Propose(
    GroupName::Configuration,
    FleetState::EncodeVersionStart(aService, aVersion, ReadWallTime()),
    [aService, aVersion, aDone](const GroupResult& aResult) {
      // A leader of an earlier build passes over the command, which is in the
      // log all the same.
      bool isRecorded =
        aResult || aResult.error().fault_ == GroupFault::Malformed;
      LogEvent(isRecorded ? Severity::Info : Severity::Warning,
               isRecorded ? "version started" : "version not started",
               { { "service", aService },
                 { "version", aVersion },
                 { "error", aResult ? "" : aResult.error().detail_ } });
      aDone(isRecorded);
    });
}

void
FleetRecords::RecordRolloutEnd(const RolloutEnd& aEnd)
{
  member_.Propose(
    GroupName::Configuration,
    FleetState::EncodeEndRollout(aEnd.id_, aEnd.state_, aEnd.endedAt_),
    [id = aEnd.id_](const GroupResult& aResult) {
      if (!aResult) {
        LogEvent(Severity::Warning,
                 "rollout end not recorded",
                 { { "id", id }, { "error", aResult.error().detail_ } });
      }
    });
}

} // namespace tanagerstall
