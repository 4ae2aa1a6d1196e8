#ifndef TANAGERSTALL_CLOUD_CALLS_HPP_INCLUDED
#define TANAGERSTALL_CLOUD_CALLS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/connection/tanagerstall_transport_error.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// An order for a total number of replicas of one kind in a failure domain.
struct ReplicaOrder
{
  std::string service_;
  std::string failureDomain_;
  std::uint32_t count_ = 0;
  bool isReclaimable_ = false;

  bool operator==(const ReplicaOrder&) const = default;
};

/// Identifies the leader in a call, so that the cloud can reject calls of
/// earlier leaders, whose number is lower.
struct FencingToken
{
  std::string holder_;
  std::uint64_t fence_ = 0;
};

/// The result of a call that the cloud answered.
enum class CloudAnswer
{
  Accepted,
  /// The ordered replicas are not available at the moment.
  Unavailable,
  /// The cloud received too many calls or failed.
  TryLater,
  /// The call is malformed or outdated.
  Refused
};

/// What the leader lease permits a call. Both functions read the time.
struct CallPermit
{
  /// Whether a request may be sent now.
  std::function<bool()> canSend_;
  /// How long a request that was sent may still be delivered. A successor may
  /// act after that.
  std::function<Duration()> timeLeft_;
};

/// The calls to the cloud. Each asks its permit right before it sends its
/// request, and fails without sending if it may not. A call that fails is not
/// delivered later.
struct CloudCalls
{
  using Result = tl::expected<CloudAnswer, TransportError>;

  std::function<
    Result(Fiber&, const FencingToken&, const UsageWindow&, const CallPermit&)>
    reportUsage_;
  std::function<
    Result(Fiber&, const FencingToken&, const ReplicaOrder&, const CallPermit&)>
    orderReplicas_;
};

} // namespace tanagerstall

#endif
