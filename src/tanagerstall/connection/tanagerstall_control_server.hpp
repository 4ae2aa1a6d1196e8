#ifndef TANAGERSTALL_CONTROL_SERVER_HPP_INCLUDED
#define TANAGERSTALL_CONTROL_SERVER_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"
#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"
#include "tanagerstall/version/tanagerstall_configuration_store.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// The Raft groups.
enum class GroupName
{
  Configuration,
  Ledger
};

/// Callbacks that pass calls on to a Raft group.
struct ControlHooks
{
  std::function<void(GroupName, BytesView, GroupCallback)> propose_;
  std::function<void(GroupName, BytesView, GroupCallback)> query_;
};

/// Serves entries over Cap'n Proto RPC. Used on the control thread only.
class ControlServer
{
public:
  ControlServer(ControlLoop& aLoop,
                Clock aClock,
                const ConfigurationStore& aStore,
                EntryDirectory& aEntries,
                ControlHooks aHooks);
  ~ControlServer();

  /// Starts to listen and returns the bound address; port 0 picks a free port.
  /// Throws kj::Exception if the address can't be used.
  Address Listen(const Address& aAddress);
  /// Starts to query the configuration group periodically whether this member
  /// is current. Until then watches are answered as unavailable, so that
  /// entries turn to another member. The group has to be open.
  void Start();
  /// Completes the watches that wait for a newer revision.
  void NotifyRevision();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
