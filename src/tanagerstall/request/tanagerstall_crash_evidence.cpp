#include "tanagerstall/request/tanagerstall_crash_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerstall {

namespace {

/// With fewer replicas, the fault may be theirs.
constexpr std::size_t kMinReplicas = 2;
/// The probability below which chance is no explanation for any of the parts
/// that were present at crashes.
constexpr double kMaxChance = 1e-3;
/// Of the part that was present at most crashes, and at more than this share of
/// all, a higher probability of chance convinces.
constexpr double kMinCoverage = 0.9;
constexpr std::uint64_t kMinCoveredCrashes = 5;
constexpr double kMaxChanceWithCoverage = 1e-2;
/// A part that appeared with fewer crashes, or fewer losses of replicas, may be
/// there by chance: failure domains can be lost one after the other.
constexpr std::uint64_t kMinCrashesOfNewPart = 4;
constexpr std::size_t kMinReplicaLosses = 8;
/// The same for a whole request. Fewer are enough, since hardly any sound
/// request is lost as often without one answer ever, while sound requests share
/// prompt parts.
constexpr std::uint64_t kMinCrashesOfNewRequest = 3;
constexpr std::size_t kMinReplicaLossesOfRequest = 5;
/// The same if no other request was lost as often. A sound request that is
/// repeated beside the deadly one is lost with it at two replicas.
constexpr std::uint64_t kMinCrashesOfOnlyRequest = 2;
constexpr std::size_t kMinReplicaLossesOfOnlyRequest = 3;
/// With fewer crashes a share of lost requests says too little.
constexpr std::uint64_t kMinCrashesForShare = 3;

/// The requests without the part that were lost; at least 1.
double
LostOthers(const CrashEvidence& aEvidence)
{
  return std::max(1.0,
                  static_cast<double>(aEvidence.lost_) -
                    static_cast<double>(aEvidence.requests_));
}

/// The probability that all requests with one of the parts are lost like
/// others. Each crash is one trial, since requests at one replica are lost
/// together.
double
ChanceOfLosses(const CrashEvidence& aEvidence)
{
  double lost = LostOthers(aEvidence);
  double share = lost / (lost + static_cast<double>(aEvidence.answered_));
  return static_cast<double>(aEvidence.parts_) *
         std::pow(share, static_cast<double>(aEvidence.crashes_));
}

/// Whether the part was present at nearly all crashes. It has a large share of
/// the requests then, so that some of those that were answered should have had
/// it. A request that was answered earlier is spared: one lookup can be most of
/// what a small service gets.
bool
CoversCrashes(const CrashEvidence& aEvidence)
{
  auto allCrashes = std::max(1.0, static_cast<double>(aEvidence.allCrashes_));
  double lostPerCrash = std::max(1.0, LostOthers(aEvidence) / allCrashes);
  double chanceOfAbsence =
    std::pow(1.0 - kMinCoverage,
             static_cast<double>(aEvidence.answered_) / lostPerCrash);
  bool isSpared = aEvidence.isWholeRequest_ && aEvidence.wasAnswered_;
  return !isSpared && aEvidence.isFirst_ &&
         aEvidence.crashes_ >= kMinCoveredCrashes &&
         static_cast<double>(aEvidence.crashes_) >= kMinCoverage * allCrashes &&
         chanceOfAbsence < kMaxChanceWithCoverage;
}

/// The least crashes, and losses of replicas, with which a part or request that
/// appeared when the crashes began is no chance.
std::pair<std::uint64_t, std::size_t>
LeastLossesOfNew(const CrashEvidence& aEvidence)
{
  if (!aEvidence.isWholeRequest_) {
    return { kMinCrashesOfNewPart, kMinReplicaLosses };
  }
  return aEvidence.replicaLosses_ > aEvidence.otherReplicaLosses_
           ? std::pair(kMinCrashesOfOnlyRequest, kMinReplicaLossesOfOnlyRequest)
           : std::pair(kMinCrashesOfNewRequest, kMinReplicaLossesOfRequest);
}

/// Whether the part appeared when the crashes began: nearly each replica was
/// lost with it, and by its share of the lost requests some of those that were
/// answered before should have had it. This needs no answer after the first
/// crash, when all replicas may be down.
bool
AppearedWithCrashes(const CrashEvidence& aEvidence)
{
  double share = static_cast<double>(aEvidence.requests_) /
                 std::max(1.0, static_cast<double>(aEvidence.lost_));
  double chanceOfAbsence = std::pow(
    std::max(0.0, 1.0 - share), static_cast<double>(aEvidence.answeredEver_));
  auto [minCrashes, minLosses] = LeastLossesOfNew(aEvidence);
  return !aEvidence.wasAnswered_ && aEvidence.crashes_ >= minCrashes &&
         aEvidence.replicaLosses_ >= minLosses &&
         static_cast<double>(aEvidence.replicaLosses_) >=
           kMinCoverage * static_cast<double>(aEvidence.allReplicaLosses_) &&
         chanceOfAbsence < kMaxChance;
}

} // namespace

bool
IsConvincing(const CrashEvidence& aEvidence)
{
  return aEvidence.replicas_ >= kMinReplicas &&
         ((aEvidence.crashes_ >= kMinCrashesForShare &&
           ChanceOfLosses(aEvidence) < kMaxChance) ||
          CoversCrashes(aEvidence) || AppearedWithCrashes(aEvidence));
}

} // namespace tanagerstall
