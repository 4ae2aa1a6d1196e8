#ifndef TANAGERSTALL_FLEET_SERVER_HPP_INCLUDED
#define TANAGERSTALL_FLEET_SERVER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// Answers the entries' questions at a control process, on its control
/// thread. A question waits there until something has changed.
class FleetServer
{
public:
  struct Hooks
  {
    /// Takes what an entry says of itself.
    std::function<void(const EntryReport&)> onReport_;
    /// Whether there is something that the entry doesn't know.
    std::function<bool(const EntryReport&)> hasUpdate_;
    std::function<ControlAnswer(const EntryReport&)> answer_;
  };

  FleetServer(ControlLoop& aLoop, Hooks aHooks);
  ~FleetServer();

  /// Listens. Throws kj::Exception where the address can't be used.
  void Listen(const Address& aAddress);
  /// Looks at all waiting questions again.
  void Notify();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
