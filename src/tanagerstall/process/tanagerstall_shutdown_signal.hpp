#ifndef TANAGERSTALL_SHUTDOWN_SIGNAL_HPP_INCLUDED
#define TANAGERSTALL_SHUTDOWN_SIGNAL_HPP_INCLUDED

#include <functional>
#include <memory>

namespace tanagerstall {

/// Waits for SIGTERM, SIGINT and SIGHUP on a thread of its own. Construct it
/// before any other thread is started, so that all threads block these signals.
/// Also ignores SIGPIPE.
class ShutdownSignal
{
public:
  ShutdownSignal();
  ~ShutdownSignal();

  /// Starts the thread, which calls `aStop` at SIGTERM or SIGINT and `aReload`,
  /// if given, at SIGHUP.
  void Start(std::function<void()> aStop,
             std::function<void()> aReload = nullptr);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
