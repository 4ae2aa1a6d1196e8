#ifndef TANAGERSTALL_SHUTDOWN_SIGNAL_HPP_INCLUDED
#define TANAGERSTALL_SHUTDOWN_SIGNAL_HPP_INCLUDED

#include <functional>
#include <memory>

namespace tanagerstall {

/// Waits for SIGTERM, SIGINT and SIGHUP on a thread of its own. Made before
/// any other thread, so that all of them leave these signals to it.
class ShutdownSignal
{
public:
  ShutdownSignal();
  ~ShutdownSignal();

  /// Calls a hook on the waiting thread at each signal: `aStop` at SIGTERM and
  /// SIGINT, `aReload` at SIGHUP.
  void Start(std::function<void()> aStop,
             std::function<void()> aReload = nullptr);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
