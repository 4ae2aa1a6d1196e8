#ifndef TANAGERSTALL_VERSION_HISTORY_HPP_INCLUDED
#define TANAGERSTALL_VERSION_HISTORY_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagerstall {

/// Which software versions of each service have accepted work lately, as this
/// process has seen it. A deterministic state machine that reads no clock.
class VersionHistory
{
public:
  /// Records the replicas that accept work now.
  void Observe(const ReplicasByService& aPresent, TimePoint aNow);
  /// Records that a version may have accepted work until now, though none of
  /// its replicas has been seen yet.
  void RecordStart(const std::string& aService,
                   const std::string& aVersion,
                   TimePoint aNow);
  /// Whether the version accepts work by what was observed last.
  bool IsPresent(const std::string& aService,
                 const std::string& aVersion) const;
  /// Whether another version of the service has accepted work since `aSince`,
  /// by what was observed.
  bool HasOtherSince(const std::string& aService,
                     const std::string& aVersion,
                     TimePoint aSince) const;
  /// Returns the only version of the service that has accepted work since
  /// `aSince`. Returns nullopt if there were several or none, or if this
  /// process has observed them for a shorter time.
  std::optional<std::string> OnlySince(const std::string& aService,
                                       TimePoint aSince) const;
  /// Returns the services of which several versions have accepted work since
  /// `aSince`, by what was observed.
  std::set<std::string> MixedSince(TimePoint aSince) const;
  /// Forgets the versions that have accepted no work since `aTime`.
  void ForgetBefore(TimePoint aTime);

private:
  /// Until when each version has accepted work; TimePoint::max() if it does.
  using Versions = std::map<std::string, TimePoint>;

  std::optional<TimePoint> observedSince_;
  std::map<std::string, Versions> services_;
};

} // namespace tanagerstall

#endif
