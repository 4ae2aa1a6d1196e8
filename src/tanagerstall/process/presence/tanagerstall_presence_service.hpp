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

/// Presence in a running entry: the table, its exchange with peers and the
/// timer that drives them. Lives on the control thread.
class PresenceService
{
public:
  /// `aOnChange` is called after every round and every change of standing.
  PresenceService(ControlLoop& aLoop,
                  Clock aClock,
                  EntryRun aSelf,
                  Metrics& aMetrics,
                  std::function<void()> aOnChange);
  ~PresenceService();

  /// Listens for peers; port 0 lets the system choose. Gives the address.
  Address Listen(const Address& aAddress);
  /// Starts the rounds of exchange.
  void Start();
  /// Takes in an upstream's announcement.
  void Announce(const UpstreamInfo& aUpstream);
  /// Says which entries there are; peers are chosen among them.
  void SetEntries(const std::vector<EntryInfo>& aEntries);
  const PresenceTable& Table() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
