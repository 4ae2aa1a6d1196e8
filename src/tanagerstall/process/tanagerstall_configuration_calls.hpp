#ifndef TANAGERSTALL_CONFIGURATION_CALLS_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_CALLS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"

#include <functional>

namespace tanagerstall {

/// Calls the configuration group of this process's member from fibers, which
/// are suspended until the result is there.
class ConfigurationCalls
{
public:
  /// Both must outlive this object.
  ConfigurationCalls(ControlLoop& aLoop, RaftMember& aMember);

  /// `aMakeCommand` runs on the control thread.
  GroupResult Propose(Fiber& aFiber,
                      const std::function<Bytes()>& aMakeCommand) const;
  GroupResult Query(Fiber& aFiber, const Bytes& aQuery) const;

private:
  ControlLoop& loop_;
  RaftMember& member_;
};

} // namespace tanagerstall

#endif
