#ifndef TANAGERSTALL_SOAK_OPERATORS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_OPERATORS_HPP_INCLUDED

#include "tanagerstall_soak_environment.hpp"

namespace tanagerstall::soak {

/// Starts operators that change and read the configuration, and a caller that
/// looks at every entry for the newest change.
void
StartOperators(Environment& aEnvironment);

/// Starts the cloud that takes orders and reports. False if it can't listen.
bool
StartCloud(Environment& aEnvironment);

/// Reads the configuration at every control process; what was acknowledged
/// has to be there by `aUntil`.
void
VerifyConfiguration(Fiber& aFiber, Environment& aEnvironment, TimePoint aUntil);

} // namespace tanagerstall::soak

#endif
