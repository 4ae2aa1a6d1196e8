#ifndef TANAGERSTALL_SOAK_REPLICA_HPP_INCLUDED
#define TANAGERSTALL_SOAK_REPLICA_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/connection/tanagerstall_transport_error.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall_soak_checker.hpp"
#include "tanagerstall_soak_network.hpp"
#include "tanagerstall_soak_random.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall::soak {

/// Faults of a replica's responses.
enum class ReplicaFault
{
  None,
  /// Resets the connection before the request starts to run.
  ResetBefore,
  /// Resets the connection after the request ran.
  ResetAfter,
  /// Resets the connection in the middle of the response.
  Truncated,
  /// Sends no response until the caller disconnects.
  NoResponse,
  /// Responds 503 with the header for requests that were not run.
  Refused,
  /// Runs the request and responds 500 with a seal.
  Failed,
  /// The same with 503, without the header for requests that were not run.
  FailedAsUnavailable
};

constexpr std::uint16_t kReplicaPort = 8080;

struct ReplicaOptions
{
  std::string name_;
  std::string service_;
  std::string failureDomain_;
  Host host_ = 0;
  /// Instances that accept announcements.
  std::vector<Host> control_;
};

/// A replica of a service. It announces itself and runs requests, and can be
/// told to crash, to drain, or to send faulty responses.
class SoakReplica
{
public:
  /// Called when the replica starts to run a request.
  using StartHook = std::function<void(const SoakReplica&, const HttpRequest&)>;

  SoakReplica(ReplicaOptions aOptions,
              TrafficThreads& aThreads,
              Network& aNetwork,
              CallerProtocol aProtocol,
              std::uint64_t aSeed,
              StartHook aOnStart);

  /// Listens and starts the announcements. Returns false if it can't listen.
  bool Start(TrafficThreads& aThreads);
  /// Resets all connections, and refuses new ones until Restart().
  void Crash();
  /// Starts a new incarnation, with the same replica id or a new one.
  void Restart(bool aUnderSameId);
  /// Announces from now on that it drains.
  void Drain();
  /// Withdraws its announcement and stops accepting requests.
  void Leave(Fiber& aFiber);
  /// Applies a fault to each further response with this probability.
  void SetFault(ReplicaFault aFault, double aProbability);

  const ReplicaOptions& Options() const { return options_; }
  /// Returns when a control process first acknowledged that it drains.
  std::optional<TimePoint> DrainingSince() const { return drainingSince_; }

private:
  void Handle(HttpExchange& aExchange);
  void RunRequest(HttpExchange& aExchange, ReplicaFault aFault);
  void SendStream(HttpExchange& aExchange, bool aIsTruncated);
  bool IsPastIncarnation(unsigned aIncarnation) const;
  void AnnounceForever(Fiber& aFiber);
  void Announce(Fiber& aFiber);
  tl::expected<HttpResponse, TransportError> SendToControl(Fiber& aFiber,
                                                           const char* aMethod,
                                                           std::string aBody);
  void SetRefusing(bool aIsRefusing);

  ReplicaOptions options_;
  Network& network_;
  CallerProtocol protocol_;
  Random random_;
  StartHook onStart_;
  Clock clock_;
  Replica announcement_;
  unsigned incarnation_ = 0;
  bool isUp_ = true;
  ReplicaFault fault_ = ReplicaFault::None;
  double faultProbability_ = 0.0;
  std::optional<TimePoint> drainingSince_;
  HttpServer server_;
};

} // namespace tanagerstall::soak

#endif
