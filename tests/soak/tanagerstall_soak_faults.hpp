#ifndef TANAGERSTALL_SOAK_FAULTS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_FAULTS_HPP_INCLUDED

#include "tanagerstall_soak_environment.hpp"

#include <string_view>
#include <vector>

namespace tanagerstall::soak {

/// Returns the names of all faults. Their order decides which fault a seed
/// draws.
std::vector<std::string_view>
FaultNames();

/// Injects a fault, repairs it, and returns. Returns false if no fault has that
/// name.
bool
InjectFault(Fiber& aFiber, Environment& aEnvironment, std::string_view aName);

/// Injects several overlapping faults and returns when all are repaired.
void
InjectOverlappingFaults(Fiber& aFiber, Environment& aEnvironment);

/// Reloads the settings of a process, restarts an entry and drains a replica
/// while no faults are injected.
void
RunPlannedWork(Fiber& aFiber, Environment& aEnvironment);

/// Restarts processes that exited, and records a finding for each unexpected
/// exit. Returns when the run is finished.
void
SuperviseProcesses(Fiber& aFiber, Environment& aEnvironment);

} // namespace tanagerstall::soak

#endif
