#ifndef TANAGERSTALL_ROLLOUT_ROUTER_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_ROUTER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/request/tanagerstall_replica_chooser.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tanagerstall {

/// How long an entry follows the shares of a leader's directive.
constexpr Duration kDirectiveLease = std::chrono::milliseconds(1500);

/// The replicas that a request may be sent to.
enum class RolloutSide : std::uint8_t
{
  /// The service has no running roll-out.
  Any,
  /// Replicas of other versions than the new one.
  Old,
  New
};

/// Decides which replicas a request may be sent to while the service is moved
/// to another version, and after that. While a roll-out runs, each request is
/// assigned to a side, and the new side gets no more than the leader's share of
/// this entry's requests. Sessions stay on their side unless that share would
/// be exceeded or not be used. Does no I/O and reads no clock; not thread-safe.
class RolloutRouter
{
public:
  explicit RolloutRouter(std::uint64_t aSeed);

  /// Adopts what a control process knows. Its shares are followed until
  /// `aSharesUntil`, if it is the leader. Returns whether Filter() may return
  /// other replicas now.
  bool Adopt(const std::vector<RolloutDirective>& aDirectives,
             const std::string& aControl,
             std::optional<TimePoint> aSharesUntil);
  /// Extends the time for which the shares are followed, if they are those of
  /// this control process.
  void Renew(const std::string& aControl, TimePoint aSharesUntil);

  /// Returns the replicas that may get requests at all. Those of the new side
  /// are limited to the leader's share of them, which is the same at all
  /// entries.
  std::shared_ptr<const ReplicasByService> Filter(
    const std::shared_ptr<const ReplicasByService>& aReplicas) const;

  /// Assigns a request to a side by its session key; 0 for none.
  RolloutSide Assign(const std::string& aService,
                     std::uint64_t aSession,
                     TimePoint aNow);
  /// Returns the side for another attempt after one at the new side failed: the
  /// old one, unless all requests go to the new one. The old side would never
  /// become idle otherwise.
  RolloutSide SideAfterFailure(const std::string& aService,
                               TimePoint aNow) const;
  /// Returns a replica of the side, or of the old side if the new one has no
  /// healthy replica; `aSide` is the side of the result.
  std::optional<Replica> Choose(ReplicaChooser& aChooser,
                                const ChoiceRequest& aRequest,
                                RolloutSide& aSide,
                                TimePoint aNow) const;

  /// The latest roll-out of each service.
  std::vector<Rollout> Rollouts() const;

private:
  struct Service
  {
    RolloutDirective directive_;
    /// Earlier roll-outs that have ended, the latest last. What they exclude
    /// remains excluded until an order names it.
    std::vector<Rollout> ended_;
    /// Requests that the new side may get now.
    double credit_ = 0.0;
  };

  double ShareOf(const Service& aService, TimePoint aNow) const;
  bool AdoptOne(const RolloutDirective& aDirective, bool aHasShares);
  static bool IsExcluded(const Service& aService, const Replica& aReplica);
  static std::vector<Replica> FilterOne(const Service& aService,
                                        const std::vector<Replica>& aReplicas);

  std::mt19937_64 random_;
  std::map<std::string, Service> services_;
  /// The leader whose shares are followed, and until when.
  std::string sharesFrom_;
  TimePoint sharesUntil_;
};

} // namespace tanagerstall

#endif
