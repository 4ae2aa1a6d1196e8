#ifndef TANAGERSTALL_STATE_MACHINE_HPP_INCLUDED
#define TANAGERSTALL_STATE_MACHINE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

/// What a replicated group keeps. Applying the same commands in the same
/// order gives the same state and the same results on every member.
struct StateMachine
{
  std::function<Bytes(BytesView aCommand)> apply_;
  std::function<Bytes(BytesView aQuery)> query_;
  std::function<Bytes()> takeSnapshot_;
  std::function<void(BytesView aSnapshot)> installSnapshot_;
};

enum class GroupFault
{
  /// Another member leads; the detail is its address, or empty.
  NotLeader,
  /// No quorum answered in time; the command may or may not be applied.
  Unavailable,
  /// The command or query could not be read.
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
