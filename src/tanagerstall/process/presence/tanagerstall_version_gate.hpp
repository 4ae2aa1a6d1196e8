#ifndef TANAGERSTALL_VERSION_GATE_HPP_INCLUDED
#define TANAGERSTALL_VERSION_GATE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace tanagerstall {

/// Holds back the replicas of a software version that begins to accept work
/// until the replicated log says so. From then on a leader that a quorum has
/// confirmed knows the version, before any stream can begin there. A state
/// machine that reads no clock.
class VersionGate
{
public:
  /// Is called with whether the start is in the log.
  using Done = std::function<void(bool)>;
  using ProposeHook = std::function<
    void(const std::string& aService, const std::string& aVersion, Done)>;
  using AcceptHook = std::function<void(const Replica&)>;

  VersionGate(ProposeHook aPropose, AcceptHook aAccept);

  /// Accepts the replica once the start of its version is in the log. Drops it
  /// if that fails; it announces itself again.
  void Hold(const Replica& aReplica);

private:
  using Key = std::pair<std::string, std::string>;

  void OnProposed(const Key& aVersion, bool aIsRecorded);

  ProposeHook propose_;
  AcceptHook accept_;
  /// The replicas of each version of a service that waits, by their ids.
  std::map<Key, std::map<std::string, Replica>> held_;
};

} // namespace tanagerstall

#endif
