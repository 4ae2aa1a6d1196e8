#ifndef TANAGERSTALL_SOAK_FAULTS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_FAULTS_HPP_INCLUDED

#include "tanagerstall_soak_environment.hpp"

#include <string_view>
#include <vector>

namespace tanagerstall::soak {

/// The names of the faults, in the order in which seeds draw them.
std::vector<std::string_view>
FaultNames();

/// Lets a fault happen, repairs it, and returns. False if there is none of
/// that name.
bool
InjectFault(Fiber& aFiber, Environment& aEnvironment, std::string_view aName);

/// Lets several faults happen, overlapping, and returns when all are repaired.
void
InjectOverlappingFaults(Fiber& aFiber, Environment& aEnvironment);

/// Stops and starts an entry, rereads settings, drains a replica, with nothing
/// else going on.
void
RunPlannedWork(Fiber& aFiber, Environment& aEnvironment);

/// Starts again what ended, and notes what ended by itself. For good.
void
SuperviseProcesses(Fiber& aFiber, Environment& aEnvironment);

} // namespace tanagerstall::soak

#endif
