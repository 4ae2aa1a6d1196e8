#ifndef TANAGERSTALL_ON_LOOP_HPP_INCLUDED
#define TANAGERSTALL_ON_LOOP_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"

#include <functional>

namespace tanagerstall {

/// Runs `aRead` on the control thread, suspends the fiber until it has run, and
/// returns its result.
template<class Value>
Value
OnLoop(ControlLoop& aLoop, Fiber& aFiber, const std::function<Value()>& aRead)
{
  return aFiber.Await<Value>([&](std::function<void(Value)> aDone) {
    aLoop.Post([aRead, aDone] { aDone(aRead()); });
  });
}

} // namespace tanagerstall

#endif
