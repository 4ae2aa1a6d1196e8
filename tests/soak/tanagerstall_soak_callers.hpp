#ifndef TANAGERSTALL_SOAK_CALLERS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_CALLERS_HPP_INCLUDED

#include "tanagerstall_soak_environment.hpp"

namespace tanagerstall::soak {

/// Returns the HTTP request of a caller whose time limit is `aTimeout`.
HttpRequest
MakeCallerRequest(const SentRequest& aSent, std::chrono::milliseconds aTimeout);

/// Starts callers that find entries by the directory, reuse connections until
/// the entry closes them, and send requests of every kind until the run ends.
void
StartCallers(Environment& aEnvironment);

/// Sends one request per route. Returns true if all of them are served.
bool
IsServed(Fiber& aFiber, Environment& aEnvironment);

} // namespace tanagerstall::soak

#endif
