#ifndef TANAGERSTALL_TRAFFIC_THREADS_HPP_INCLUDED
#define TANAGERSTALL_TRAFFIC_THREADS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace tanagerstall {

/// The threads that carry traffic. Each runs a loop of its own; a fiber
/// stays on the thread it was started on.
class TrafficThreads
{
public:
  struct State;

  explicit TrafficThreads(std::size_t aCount);
  ~TrafficThreads();

  /// Starts a fiber on one of the threads. Safe from any thread.
  void Spawn(std::function<void(Fiber&)> aBody);
  /// Runs a task on the first thread. Safe from any thread.
  void Post(std::function<void()> aTask);
  /// Ends the threads; fibers that still wait are dropped.
  void Stop();

  State& GetState() { return *state_; }

private:
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
