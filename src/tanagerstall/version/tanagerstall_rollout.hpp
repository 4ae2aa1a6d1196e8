#ifndef TANAGERSTALL_ROLLOUT_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace tanagerstall {

/// The longest time from an order to its deadline.
constexpr std::chrono::milliseconds kMaxRolloutDuration =
  std::chrono::hours(24);
/// The longest name of a version. Every entry receives the names.
constexpr std::size_t kMaxVersionBytes = 256;

/// Converts the duration of an order, in seconds, to a whole number of
/// milliseconds of at least 1. Returns nullopt if it isn't above 0 or exceeds
/// the longest.
inline std::optional<std::chrono::milliseconds>
ToRolloutDuration(double aSeconds)
{
  std::chrono::duration<double> duration(aSeconds);
  bool isInRange = duration.count() > 0 && duration <= kMaxRolloutDuration;
  if (!isInRange) {
    return std::nullopt;
  }
  return std::max(std::chrono::milliseconds(1),
                  std::chrono::round<std::chrono::milliseconds>(
                    std::chrono::duration<double, std::milli>(duration)));
}

enum class RolloutState : std::uint8_t
{
  Running,
  /// All requests go to replicas of the new version.
  Completed,
  /// No request goes to replicas of the new version.
  RolledBack
};

/// Returns the name of a state in logs and in the operators' interface.
inline const char*
NameOf(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Running:
      return "running";
    case RolloutState::Completed:
      return "completed";
    case RolloutState::RolledBack:
      return "rolled_back";
  }
  return "unknown";
}

/// An operator's order to move a service's traffic to another version.
struct RolloutOrder
{
  std::string service_;
  /// The version that the traffic moves to.
  std::string version_;
  /// The time from the order to its deadline.
  std::chrono::milliseconds duration_{ 0 };
  /// When a control process received the order.
  WallTime orderedAt_;

  bool operator==(const RolloutOrder&) const = default;
};

/// The latest roll-out of a service, as the replicated log records it.
struct Rollout
{
  /// Identifies the order; a later order has a greater id.
  std::uint64_t id_ = 0;
  RolloutOrder order_;
  RolloutState state_ = RolloutState::Running;
  /// When it was completed or rolled back. Replicas of other versions that had
  /// started before it was completed get no requests.
  WallTime endedAt_;

  bool operator==(const Rollout&) const = default;
};

/// What became of an order when it was applied.
enum class RolloutReply : std::uint8_t
{
  Accepted,
  /// The same order was accepted before.
  Repeated,
  /// Another roll-out of the service is running.
  Conflict,
  /// An earlier roll-out has already moved the traffic to this version.
  InForce,
  /// The order is much older than the latest one that was accepted.
  Outdated
};

} // namespace tanagerstall

#endif
