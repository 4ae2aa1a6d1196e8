#ifndef TANAGERSTALL_SOAK_CALLERS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_CALLERS_HPP_INCLUDED

#include "tanagerstall_soak_environment.hpp"

namespace tanagerstall::soak {

/// A try as a caller sends it that waits for so long.
HttpRequest
MakeCallerRequest(const SentRequest& aSent, std::chrono::milliseconds aTimeout);

/// Starts callers that ask the directory, keep connections until the entry
/// closes them, and send requests of every kind until the run is over.
void
StartCallers(Environment& aEnvironment);

/// Whether one request of each kind is served right now.
bool
IsServed(Fiber& aFiber, Environment& aEnvironment);

} // namespace tanagerstall::soak

#endif
