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

/// What goes wrong with a replica's answers.
enum class ReplicaFault
{
  None,
  /// Resets before it has begun to work.
  ResetBefore,
  /// Resets when it has begun.
  ResetAfter,
  /// Ends in the middle of its answer.
  Truncated,
  /// Never answers.
  NoResponse,
  /// Says that it did not run the request.
  Refused,
  /// Fails with a seal.
  Failed
};

constexpr std::uint16_t kReplicaPort = 8080;

struct ReplicaOptions
{
  std::string name_;
  std::string service_;
  std::string failureDomain_;
  Host host_ = 0;
  /// Instances that take announcements.
  std::vector<Host> control_;
};

/// A replica of a service: announces itself, works on requests, and can crash,
/// drain or break its answers.
class SoakReplica
{
public:
  /// Called when it begins to work on a request.
  using StartHook = std::function<void(const SoakReplica&, const HttpRequest&)>;

  SoakReplica(ReplicaOptions aOptions,
              TrafficThreads& aThreads,
              Network& aNetwork,
              CallerProtocol aProtocol,
              std::uint64_t aSeed,
              StartHook aOnStart);

  /// Listens and announces itself for good. False if it can't.
  bool Start(TrafficThreads& aThreads);
  /// Ends at once; connections break. It stays away until Restart().
  void Crash();
  /// Begins a new incarnation, under a new id or the one it had.
  void Restart(bool aUnderSameId);
  /// Says that it drains from now on.
  void Drain();
  /// Says that it is gone.
  void Leave(Fiber& aFiber);
  /// A part of the answers goes wrong from now on.
  void SetFault(ReplicaFault aFault, double aProbability);

  const ReplicaOptions& Options() const { return options_; }
  /// When a control process acknowledged that it drains.
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
