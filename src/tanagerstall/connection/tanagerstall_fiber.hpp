#ifndef TANAGERSTALL_FIBER_HPP_INCLUDED
#define TANAGERSTALL_FIBER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace tanagerstall {

/// A stackful coroutine on one traffic thread. Its waits don't block the
/// thread, so that handlers can be written as sequential code.
class Fiber
{
public:
  struct Context;
  using Resume = std::function<void()>;

  explicit Fiber(Context& aContext)
    : context_(aContext)
  {
  }

  /// Suspends the fiber for `aFor`.
  void Sleep(Duration aFor);
  /// Calls `aStart` with a function that resumes the fiber, and suspends it.
  /// The function has to be called exactly once, from any thread.
  void Suspend(const std::function<void(Resume)>& aStart);
  /// Starts another fiber on the same thread.
  void Spawn(std::function<void(Fiber&)> aBody);

  /// Calls `aStart` with a callback, suspends the fiber until the callback is
  /// called, and returns the value passed to it.
  template<class Value>
  Value Await(const std::function<void(std::function<void(Value)>)>& aStart)
  {
    auto slot = std::make_shared<std::optional<Value>>();
    Suspend([&](const Resume& aResume) {
      aStart([slot, aResume](Value aValue) {
        slot->emplace(std::move(aValue));
        aResume();
      });
    });
    return std::move(**slot);
  }

  Context& GetContext() { return context_; }

private:
  Context& context_;
};

} // namespace tanagerstall

#endif
