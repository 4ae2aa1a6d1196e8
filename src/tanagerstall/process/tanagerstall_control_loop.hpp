#ifndef TANAGERSTALL_CONTROL_LOOP_HPP_INCLUDED
#define TANAGERSTALL_CONTROL_LOOP_HPP_INCLUDED

#include <functional>
#include <memory>

namespace kj {
struct AsyncIoContext;
class WaitScope;
}

namespace tanagerstall {

/// The event loop of the control thread, which alone accesses the control state
/// of a process.
class ControlLoop
{
public:
  using Task = std::function<void()>;

  /// Creates the loop. The calling thread becomes the control thread.
  ControlLoop();
  ~ControlLoop();

  /// Schedules `aTask` on the control thread. Never blocks; may be called from
  /// any thread.
  void Post(Task aTask);
  /// Runs tasks and I/O until Stop() is called.
  void Run();
  /// Makes Run() return. May be called from any thread.
  void Stop();

  kj::AsyncIoContext& Io();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
