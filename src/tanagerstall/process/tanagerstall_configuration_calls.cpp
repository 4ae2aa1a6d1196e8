#include "tanagerstall/process/tanagerstall_configuration_calls.hpp"

namespace tanagerstall {

ConfigurationCalls::ConfigurationCalls(ControlLoop& aLoop, RaftMember& aMember)
  : loop_(aLoop)
  , member_(aMember)
{
}

GroupResult
ConfigurationCalls::Propose(Fiber& aFiber,
                            const std::function<Bytes()>& aMakeCommand) const
{
  return aFiber.Await<GroupResult>([&](const GroupCallback& aDone) {
    loop_.Post([this, aMakeCommand, aDone] {
      member_.Propose(GroupName::Configuration, aMakeCommand(), aDone);
    });
  });
}

GroupResult
ConfigurationCalls::Query(Fiber& aFiber, const Bytes& aQuery) const
{
  return aFiber.Await<GroupResult>([&](const GroupCallback& aDone) {
    loop_.Post([this, aQuery, aDone] {
      member_.Query(GroupName::Configuration, aQuery, aDone);
    });
  });
}

} // namespace tanagerstall
