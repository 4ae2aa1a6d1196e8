#ifndef TANAGERSTALL_FLEET_ENTRY_HPP_INCLUDED
#define TANAGERSTALL_FLEET_ENTRY_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"
#include "tanagerstall/request/tanagerstall_forwarder.hpp"

#include <functional>
#include <memory>

namespace tanagerstall {

/// The settings of an entry of a fleet.
struct FleetEntrySettings
{
  std::string id_;
  std::string failureDomain_;
  std::string region_;
  /// Where callers connect.
  Address callerAddress_;
  /// Where the platform asks whether the entry is ready.
  Address readinessAddress_;
  /// Where metrics are served.
  Address metricsAddress_;
  /// Where entries reach control processes that were known at the start.
  std::vector<Address> control_;
  /// How long callers use an answer of the directory.
  Duration discoveryTimeToLive_ = std::chrono::seconds(2);
  /// From a request to stop until the process is ended.
  Duration grace_ = std::chrono::seconds(8);
  ForwarderSettings forwarder_;
};

/// What differs between deployments.
struct FleetEntryHooks
{
  PlanDecoder decodePlan_;
  /// Answers on the readiness address.
  std::function<void(HttpExchange&, bool aIsReady)> answerReadiness_;
  /// The control processes as the settings name them now.
  std::function<std::vector<Address>()> readControl_;
};

/// An entry: takes callers' requests and forwards them by the declaration
/// that control has accepted.
class FleetEntry
{
public:
  FleetEntry(FleetEntrySettings aSettings, FleetEntryHooks aHooks);
  ~FleetEntry();

  /// Serves until a signal asks for a stop and the requests in progress have
  /// ended. Gives the exit status.
  int Run();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
