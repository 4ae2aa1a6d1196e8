#ifndef TANAGERSTALL_PRESENCE_SERVICE_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_SERVICE_HPP_INCLUDED

#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"
#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"
#include "tanagerstall/process/tanagerstall_control_loop.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace tanagerstall {

/// Runs presence in an entry: the table, its exchange with peers and the timer
/// that drives both. Used on the control thread only.
class PresenceService
{
public:
  /// `aOnChange` is called after each round of pulls and after each change of
  /// the table.
  PresenceService(ControlLoop& aLoop,
                  Clock aClock,
                  EntryRun aSelf,
                  Metrics& aMetrics,
                  std::function<void()> aOnChange);
  ~PresenceService();

  /// Listens for peers and returns the bound address; with port 0 the system
  /// chooses the port.
  Address Listen(const Address& aAddress);
  /// Starts the periodic pulls from peers.
  void Start();
  /// Handles an announcement that an upstream sent to this entry.
  void Announce(const UpstreamInfo& aUpstream);
  /// Sets the entries among which peers are chosen.
  void SetEntries(const std::vector<EntryInfo>& aEntries);
  const PresenceTable& Table() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
