#ifndef TANAGERSTALL_REQUEST_LOG_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_LOG_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_crash_detector.hpp"
#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

#include <string_view>

namespace tanagerstall {

// The log lines of forwarded requests: one for each way a request can end, and
// one for each failed attempt. docs/OPERATIONS.md explains their fields.

/// Logs that the whole answer was relayed to the caller.
void
LogAnswered(const ForwardedRequest& aRequest,
            const Replica& aReplica,
            int aStatus,
            TimePoint aNow);

/// Logs that the request was refused without having run.
void
LogRefused(const ForwardedRequest& aRequest,
           int aStatus,
           std::string_view aReason,
           std::size_t aReplicas,
           TimePoint aNow);

/// Logs that an attempt at one replica failed.
void
LogAttemptFailed(const ForwardedRequest& aRequest,
                 const AttemptResult& aResult);

/// Logs that requests with a prompt part, or one request, are refused from now
/// on.
void
LogQuarantined(const QuarantineDecision& aDecision);

/// Logs that a replica said that it leaves or wants no requests for a while.
/// Logs the rate limit that a replica names, or that it names none any more.
void
LogReplicaRate(const Replica& aReplica, std::optional<double> aPerSecond);

void
LogReplicaNotice(const Replica& aReplica, const ReplicaNotice& aNotice);

/// Logs that the request ended without a whole answer. `aEvent` is the name of
/// the log event.
void
LogFailure(std::string_view aEvent,
           const ForwardedRequest& aRequest,
           const AttemptResult& aLast,
           TimePoint aNow);

} // namespace tanagerstall

#endif
