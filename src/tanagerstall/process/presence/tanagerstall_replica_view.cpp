#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

namespace tanagerstall {

namespace {

/// A control process without a report for this long is stale and ignored while
/// another one reports: its replicas announce themselves elsewhere by then.
constexpr Duration kMaxSourceAge = std::chrono::seconds(6);
/// How long the replicas of a control process's previous run stay in use after
/// its restart.
constexpr Duration kPreviousRunGrace = std::chrono::seconds(6);
/// How often the view is recomputed without new reports, since sources become
/// stale with time alone.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(500);

/// The merged reports of several control processes about one replica.
struct Merged
{
  Replica newest_;
  /// Whether its newest incarnation is ready or draining at any of them.
  bool isResponsive_ = false;
};

bool
IsResponsive(const Replica& aReplica)
{
  return aReplica.state_ == ReplicaState::Ready ||
         aReplica.state_ == ReplicaState::Draining;
}

void
Merge(std::map<std::string, Merged>& aInto, const Replica& aReplica)
{
  auto [it, isNew] = aInto.try_emplace(aReplica.id_);
  Merged& merged = it->second;
  if (isNew || aReplica.startTimeMs_ > merged.newest_.startTimeMs_) {
    merged = { aReplica, IsResponsive(aReplica) };
    return;
  }
  if (aReplica.startTimeMs_ < merged.newest_.startTimeMs_) {
    return;
  }
  merged.isResponsive_ = merged.isResponsive_ || IsResponsive(aReplica);
  bool hasLeft = merged.newest_.state_ == ReplicaState::Departed;
  bool leaves = aReplica.state_ == ReplicaState::Departed;
  // A replica that expired at one control process may announce itself to
  // another one, so any other state overrides expiry. Departure is final for
  // an incarnation.
  if (leaves || (!hasLeft && aReplica.state_ != ReplicaState::Expired &&
                 (merged.newest_.state_ == ReplicaState::Expired ||
                  IsNewer(aReplica, merged.newest_)))) {
    merged.newest_ = aReplica;
  }
}

} // namespace

void
ReplicaView::ApplyReport(const std::string& aControl,
                         const ReplicaReport& aReport,
                         TimePoint aNow)
{
  Source& source = sources_[aControl];
  if (source.run_ != aReport.run_) {
    source.previousRun_ = std::move(source.replicas_);
    source.previousRunUntil_ = aNow + kPreviousRunGrace;
    source.replicas_.clear();
    source.run_ = aReport.run_;
    hasChanged_ = true;
  }
  for (const auto& replica : aReport.changed_) {
    source.replicas_[replica.id_] = replica;
    hasChanged_ = true;
  }
  source.stamp_ = aReport.stamp_;
  source.receivedAt_ = aNow;
}

std::pair<std::uint64_t, std::uint64_t>
ReplicaView::Position(const std::string& aControl) const
{
  auto it = sources_.find(aControl);
  return it == sources_.end() ? std::pair<std::uint64_t, std::uint64_t>()
                              : std::pair(it->second.run_, it->second.stamp_);
}

bool
ReplicaView::IsTrusted(const Source& aSource,
                       TimePoint aNow,
                       bool aHasFresh) const
{
  return !aHasFresh || aNow - aSource.receivedAt_ < kMaxSourceAge;
}

std::shared_ptr<const ReplicasByService>
ReplicaView::Present(TimePoint aNow) const
{
  bool hasFresh = false;
  for (const auto& [address, source] : sources_) {
    hasFresh = hasFresh || aNow - source.receivedAt_ < kMaxSourceAge;
  }
  std::map<std::string, Merged> merged;
  for (const auto& [address, source] : sources_) {
    bool isTrusted = IsTrusted(source, aNow, hasFresh);
    for (const auto& [id, replica] : source.replicas_) {
      // Departure is final, so it counts even if the source is stale.
      if (isTrusted || replica.state_ == ReplicaState::Departed) {
        Merge(merged, replica);
      }
    }
    if (aNow < source.previousRunUntil_) {
      for (const auto& [id, replica] : source.previousRun_) {
        Merge(merged, replica);
      }
    }
  }
  auto present = std::make_shared<ReplicasByService>();
  for (const auto& [id, it] : merged) {
    if (it.isResponsive_ && it.newest_.state_ == ReplicaState::Ready) {
      (*present)[it.newest_.service_].push_back(it.newest_);
    }
  }
  return present;
}

bool
ReplicaView::ConsumeChange(TimePoint aNow)
{
  bool isDue = hasChanged_ || aNow >= checkAt_;
  hasChanged_ = false;
  checkAt_ = aNow + kRecheckInterval;
  return isDue;
}

} // namespace tanagerstall
