#ifndef TANAGERSTALL_SOAK_OPERATORS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_OPERATORS_HPP_INCLUDED

#include "tanagerstall_soak_environment.hpp"

namespace tanagerstall::soak {

/// Starts operators that change and read the configuration, and a caller that
/// probes every entry for the newest change.
void
StartOperators(Environment& aEnvironment);

/// Starts the cloud's interface, which receives scaling orders and usage
/// reports. Returns false if it can't listen.
bool
StartCloud(Environment& aEnvironment);

/// Reads the configuration from every control process. Each has to return the
/// newest acknowledged one or a later one by `aUntil`.
void
VerifyConfiguration(Fiber& aFiber, Environment& aEnvironment, TimePoint aUntil);

} // namespace tanagerstall::soak

#endif
