#ifndef TANAGERSTALL_CONTROL_CLIENT_HPP_INCLUDED
#define TANAGERSTALL_CONTROL_CLIENT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_control_server.hpp"
#include "tanagerstall/version/tanagerstall_configuration_view.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagerstall {

/// A configuration update that a control member sends to an entry.
struct ControlUpdate : ConfigurationUpdate
{
  /// Whether `entries_` is set; otherwise the known entries are unchanged.
  bool hasEntries_ = false;
  std::vector<EntryInfo> entries_;
};

/// An entry's client for the control members. Used on the control thread
/// only.
class ControlClient
{
public:
  struct Hooks
  {
    /// Returns the entry's current state, sent with every heartbeat.
    std::function<EntryInfo()> self_;
    std::function<void(const ControlUpdate&)> onUpdate_;
  };

  ControlClient(ControlLoop& aLoop,
                std::vector<Address> aAddresses,
                Hooks aHooks);
  ~ControlClient();

  /// Fetches a configuration that a quorum has confirmed, then watches one
  /// member for changes and sends heartbeats to the others.
  void Start();
  /// Reports the entry's state to the watched member at once.
  void Refresh();
  /// Commits a command to the group's log. A failed call is retried at the
  /// next address, a limited number of times.
  void Propose(GroupName aGroup, Bytes aCommand, GroupCallback aDone);
  /// Reads the group's state, with the same retries.
  void Query(GroupName aGroup, Bytes aQuery, GroupCallback aDone);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
