#ifndef TANAGERSTALL_TRAFFIC_THREADS_HPP_INCLUDED
#define TANAGERSTALL_TRAFFIC_THREADS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace tanagerstall {

/// Threads that serve requests. Each has its own event loop; a fiber stays on
/// the thread on which it was started.
class TrafficThreads
{
public:
  struct State;

  explicit TrafficThreads(std::size_t aCount);
  ~TrafficThreads();

  /// Starts a fiber on one of the threads, chosen round-robin. Can be called
  /// from any thread.
  void Spawn(std::function<void(Fiber&)> aBody);
  /// Runs a task on the first thread. Can be called from any thread.
  void Post(std::function<void()> aTask);
  /// Stops and joins the threads; suspended fibers are not resumed.
  void Stop();

  State& GetState() { return *state_; }

private:
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
