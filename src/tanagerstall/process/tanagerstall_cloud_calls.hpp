#ifndef TANAGERSTALL_CLOUD_CALLS_HPP_INCLUDED
#define TANAGERSTALL_CLOUD_CALLS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/connection/tanagerstall_transport_error.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// An order for a number of replicas of one kind in a failure domain.
struct ReplicaOrder
{
  std::string service_;
  std::string failureDomain_;
  std::uint32_t count_ = 0;
  bool isReclaimable_ = false;

  bool operator==(const ReplicaOrder&) const = default;
};

/// Who acts for the cluster, and the number that fences off earlier holders.
struct FencingToken
{
  std::string holder_;
  std::uint64_t fence_ = 0;
};

/// How the cloud took a call.
enum class CloudAnswer
{
  Accepted,
  /// Not to be had at the moment.
  Unavailable,
  /// Too many calls, or a fault of the cloud's own.
  TryLater,
  /// Malformed or out of date.
  Refused
};

/// The calls to the cloud. Each checks `aCanAct` right before it sends, and
/// sends nothing once that is false.
struct CloudCalls
{
  using CanAct = std::function<bool()>;
  using Result = tl::expected<CloudAnswer, TransportError>;

  std::function<
    Result(Fiber&, const FencingToken&, const UsageWindow&, const CanAct&)>
    reportUsage_;
  std::function<
    Result(Fiber&, const FencingToken&, const ReplicaOrder&, const CanAct&)>
    orderReplicas_;
};

} // namespace tanagerstall

#endif
