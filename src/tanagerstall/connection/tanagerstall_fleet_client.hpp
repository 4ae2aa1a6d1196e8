#ifndef TANAGERSTALL_FLEET_CLIENT_HPP_INCLUDED
#define TANAGERSTALL_FLEET_CLIENT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// Keeps an entry in touch with every control process, on the entry's control
/// thread. A process that doesn't answer is asked again until the cluster no
/// longer names it.
class FleetClient
{
public:
  struct Hooks
  {
    /// What to tell the control process at this address, which led when it
    /// last answered.
    std::function<EntryReport(const std::string& aControl, bool aLeads)>
      report_;
    std::function<void(const std::string& aControl, const ControlAnswer&)>
      onAnswer_;
  };

  FleetClient(ControlLoop& aLoop, Hooks aHooks);
  ~FleetClient();

  /// Keeps asking at these addresses, and at those that answers name.
  void SetSeeds(const std::vector<Address>& aSeeds);
  /// Reports to all control processes at once.
  void Refresh();
  /// Reports to the leader at once, where one is known.
  void RefreshLeader();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
