#ifndef TANAGERSTALL_REQUEST_LOG_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_LOG_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

#include <string_view>

namespace tanagerstall {

/// The log lines of a forwarded request, one for each way it may end and one
/// for each attempt that failed. docs/OPERATIONS.md tells how to read them.

/// A whole answer was passed on.
void
LogAnswered(const ForwardedRequest& aRequest,
            const Replica& aReplica,
            int aStatus,
            TimePoint aNow);

/// The request has not run and won't.
void
LogRefused(const ForwardedRequest& aRequest,
           int aStatus,
           std::string_view aReason,
           std::size_t aReplicas);

/// One try at one replica came to nothing.
void
LogAttemptFailed(const ForwardedRequest& aRequest,
                 const AttemptResult& aResult,
                 bool aMayHaveRun);

/// The request ended without a whole answer, as `aEvent` says.
void
LogFailure(std::string_view aEvent,
           const ForwardedRequest& aRequest,
           const AttemptResult& aLast,
           TimePoint aNow);

} // namespace tanagerstall

#endif
