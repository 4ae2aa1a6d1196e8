#ifndef TANAGERSTALL_SOAK_CALLERS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_CALLERS_HPP_INCLUDED

#include "tanagerstall_soak_world.hpp"

namespace tanagerstall::soak {

/// A try as a caller sends it that waits for so long.
HttpRequest
MakeCallerRequest(const SentRequest& aSent,
                  std::chrono::milliseconds aPatience);

/// Starts callers that ask the directory, keep connections until the entry
/// closes them, and send requests of every kind until the run is over.
void
StartCallers(World& aWorld);

/// Whether one request of each kind is served right now.
bool
IsServed(Fiber& aFiber, World& aWorld);

} // namespace tanagerstall::soak

#endif
