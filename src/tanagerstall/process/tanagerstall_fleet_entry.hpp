#ifndef TANAGERSTALL_FLEET_ENTRY_HPP_INCLUDED
#define TANAGERSTALL_FLEET_ENTRY_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"
#include "tanagerstall/request/tanagerstall_forwarder.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// The settings of a fleet's entry.
struct FleetEntrySettings
{
  std::string id_;
  std::string failureDomain_;
  std::string region_;
  /// The address for callers.
  Address callerAddress_;
  /// The address of the platform's readiness probe.
  Address readinessAddress_;
  /// The address that serves metrics.
  Address metricsAddress_;
  /// The addresses of control processes, used until answers name others.
  std::vector<Address> control_;
  /// How long callers may use an answer of the directory.
  Duration discoveryTimeToLive_ = std::chrono::seconds(2);
  /// Time from a shutdown signal until the platform kills the process.
  Duration grace_ = std::chrono::seconds(8);
  /// How long a leader's directive on a roll-out is followed.
  Duration directiveLease_ = kDirectiveLease;
  ForwarderSettings forwarder_;
  ClientSettings clients_;
};

/// The functions that differ between deployments.
struct FleetEntryHooks
{
  PlanDecoder decodePlan_;
  /// Responds to a request at the readiness address.
  std::function<void(HttpExchange&, bool aIsReady)> answerReadiness_;
  /// Reads the addresses of control processes from the current settings.
  std::function<std::vector<Address>()> readControl_;
};

/// A fleet's entry: accepts callers' requests and forwards them to upstreams
/// according to the current declaration.
class FleetEntry
{
public:
  FleetEntry(FleetEntrySettings aSettings, FleetEntryHooks aHooks);
  ~FleetEntry();

  /// Serves until a shutdown signal arrives and requests in progress have ended
  /// or the grace period is over. Returns the exit status.
  int Run();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
