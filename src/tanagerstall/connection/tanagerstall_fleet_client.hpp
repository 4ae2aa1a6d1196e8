#ifndef TANAGERSTALL_FLEET_CLIENT_HPP_INCLUDED
#define TANAGERSTALL_FLEET_CLIENT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// Exchanges reports and answers with every control process, on the control
/// thread. A process that can't be reached is retried until it is neither a
/// seed nor a cluster member.
class FleetClient
{
public:
  struct Hooks
  {
    /// Returns the report for the control process at this address; `aLeads` is
    /// set if it was the leader when it last answered, `aIsBrief` if only what
    /// it answers at once is to be reported.
    std::function<
      EntryReport(const std::string& aControl, bool aLeads, bool aIsBrief)>
      report_;
    std::function<void(const std::string& aControl, const ControlAnswer&)>
      onAnswer_;
  };

  FleetClient(ControlLoop& aLoop, Hooks aHooks);
  ~FleetClient();

  /// Sets the addresses to contact in any case. The members that answers list
  /// are contacted as well.
  void SetSeeds(const std::vector<Address>& aSeeds);
  /// Sends a report to every connected control process immediately.
  void Refresh();
  /// Sends a brief report to the leader, if it is known and connected: at once,
  /// or when the last one is answered, so that a leader that falls behind isn't
  /// sent more and more of them.
  void RefreshLeader();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
