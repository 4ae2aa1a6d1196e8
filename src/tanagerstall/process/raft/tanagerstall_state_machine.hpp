#ifndef TANAGERSTALL_STATE_MACHINE_HPP_INCLUDED
#define TANAGERSTALL_STATE_MACHINE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// The state machine that a group replicates. It has to be deterministic: the
/// same commands in the same order yield the same state and results on every
/// member.
struct StateMachine
{
  std::function<Bytes(BytesView aCommand)> apply_;
  std::function<Bytes(BytesView aQuery)> query_;
  std::function<Bytes()> takeSnapshot_;
  std::function<void(BytesView aSnapshot)> installSnapshot_;
};

enum class GroupFault
{
  /// This member is not the leader. The detail is the leader's address for
  /// entries, or empty if it is unknown. The command has not been applied.
  NotLeader,
  /// The command or query was not confirmed, for example because the leader
  /// lost its quorum. A command may or may not be applied.
  Unavailable,
  /// The command or query could not be decoded, or is too large.
  Malformed
};

struct GroupError
{
  GroupFault fault_;
  std::string detail_;
};

using GroupResult = tl::expected<Bytes, GroupError>;
using GroupCallback = std::function<void(GroupResult)>;

} // namespace tanagerstall

#endif
