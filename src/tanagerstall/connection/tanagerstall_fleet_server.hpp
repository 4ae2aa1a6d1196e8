#ifndef TANAGERSTALL_FLEET_SERVER_HPP_INCLUDED
#define TANAGERSTALL_FLEET_SERVER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// Answers entries' reports in a control process, on its control thread. An
/// answer is delayed until there is an update for the entry, for at most the
/// time that the report allows (long polling).
class FleetServer
{
public:
  struct Hooks
  {
    /// Called with every report received.
    std::function<void(const EntryReport&)> onReport_;
    /// Whether there is an update that the reporting entry doesn't have.
    std::function<bool(const EntryReport&)> hasUpdate_;
    /// Builds the answer to a report.
    std::function<ControlAnswer(const EntryReport&)> answer_;
  };

  FleetServer(ControlLoop& aLoop, Hooks aHooks);
  ~FleetServer();

  /// Starts to listen. Throws kj::Exception if the address can't be used.
  void Listen(const Address& aAddress);
  /// Answers the delayed reports for which there is an update now.
  void Notify();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
