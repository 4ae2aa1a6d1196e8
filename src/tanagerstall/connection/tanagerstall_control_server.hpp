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

enum class GroupName
{
  Configuration,
  Ledger
};

/// What the control server asks of the process around it.
struct ControlHooks
{
  std::function<void(GroupName, BytesView, GroupCallback)> propose_;
  std::function<void(GroupName, BytesView, GroupCallback)> query_;
};

/// Serves entries over Cap'n Proto RPC, on the control thread.
class ControlServer
{
public:
  ControlServer(ControlLoop& aLoop,
                Clock aClock,
                const ConfigurationStore& aStore,
                EntryDirectory& aEntries,
                ControlHooks aHooks);
  ~ControlServer();

  /// Listens; port 0 lets the system choose. Gives the address in use.
  Address Listen(const Address& aAddress);
  /// Starts to ask the configuration group whether this member is current;
  /// until then entries are told to ask another. The group has to be open.
  void Start();
  /// Wakes the entries that wait for a newer revision.
  void NotifyRevision();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
