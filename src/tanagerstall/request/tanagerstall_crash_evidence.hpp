#ifndef TANAGERSTALL_CRASH_EVIDENCE_HPP_INCLUDED
#define TANAGERSTALL_CRASH_EVIDENCE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>

namespace tanagerstall {

/// What is known of a prompt part, or a request, that was present at crashes,
/// counted from the part's first crash that no success followed to its last
/// one.
struct CrashEvidence
{
  /// Moments at which replicas were lost: with the part, and all.
  std::uint64_t crashes_ = 0;
  std::uint64_t allCrashes_ = 0;
  /// Different replicas that were lost with the part.
  std::size_t replicas_ = 0;
  /// Losses of one replica at one moment: with the part, and all.
  std::size_t replicaLosses_ = 0;
  std::size_t allReplicaLosses_ = 0;
  /// Requests that were lost: with the part, and all.
  std::uint64_t requests_ = 0;
  std::uint64_t lost_ = 0;
  /// Requests with any parts that were answered whole.
  std::uint64_t answered_ = 0;
  /// The same since the entries started.
  std::uint64_t answeredEver_ = 0;
  /// The parts like this one that no success has cleared of their crashes, this
  /// one included.
  std::size_t parts_ = 1;
  /// Whether any request with the part was ever answered.
  bool wasAnswered_ = false;
  /// Whether no other suspected part was present at more crashes.
  bool isFirst_ = false;
  /// Whether the possible cause is a whole request, not a part of its prompt.
  bool isWholeRequest_ = false;
  /// The most losses of one replica at one moment that another possible cause
  /// has which was never answered.
  std::size_t otherReplicaLosses_ = 0;
};

/// Whether the part crashes replicas: chance no longer explains that all
/// requests with it were lost.
bool
IsConvincing(const CrashEvidence& aEvidence);

} // namespace tanagerstall

#endif
