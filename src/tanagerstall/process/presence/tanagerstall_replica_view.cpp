#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

namespace tanagerstall {

namespace {

/// A control process not heard of for this long is passed over, as long as
/// another one is heard of: its replicas have moved on by then.
constexpr Duration kSourceAge = std::chrono::seconds(6);
constexpr Duration kEarlierRun = std::chrono::seconds(6);
/// How often standings that depend on time alone are looked at.
constexpr Duration kCheckPause = std::chrono::milliseconds(500);

/// What several control processes say of one replica.
struct Merged
{
  Replica newest_;
  /// Whether any of them has heard of its incarnation in time.
  bool isHeard_ = false;
};

bool
IsHeard(const Replica& aReplica)
{
  return aReplica.standing_ == ReplicaStanding::Ready ||
         aReplica.standing_ == ReplicaStanding::Draining;
}

void
Merge(std::map<std::string, Merged>& aInto, const Replica& aReplica)
{
  auto [it, isNew] = aInto.try_emplace(aReplica.id_);
  Merged& merged = it->second;
  if (isNew || aReplica.bornMs_ > merged.newest_.bornMs_) {
    merged = { aReplica, IsHeard(aReplica) };
    return;
  }
  if (aReplica.bornMs_ < merged.newest_.bornMs_) {
    return;
  }
  merged.isHeard_ = merged.isHeard_ || IsHeard(aReplica);
  bool hasLeft = merged.newest_.standing_ == ReplicaStanding::Gone;
  bool leaves = aReplica.standing_ == ReplicaStanding::Gone;
  // Silence at one control process says nothing where another one was told
  // something else; leaving is final for an incarnation.
  if (leaves || (!hasLeft && aReplica.standing_ != ReplicaStanding::Silent &&
                 (merged.newest_.standing_ == ReplicaStanding::Silent ||
                  IsNewer(aReplica, merged.newest_)))) {
    merged.newest_ = aReplica;
  }
}

} // namespace

void
ReplicaView::Take(const std::string& aControl,
                  const ReplicaReport& aReport,
                  TimePoint aNow)
{
  Source& source = sources_[aControl];
  if (source.run_ != aReport.run_) {
    source.earlier_ = std::move(source.replicas_);
    source.earlierUntil_ = aNow + kEarlierRun;
    source.replicas_.clear();
    source.run_ = aReport.run_;
    hasChanged_ = true;
  }
  for (const auto& replica : aReport.changed_) {
    source.replicas_[replica.id_] = replica;
    hasChanged_ = true;
  }
  source.stamp_ = aReport.stamp_;
  source.heardAt_ = aNow;
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
  return !aHasFresh || aNow - aSource.heardAt_ < kSourceAge;
}

std::shared_ptr<const ReplicasByService>
ReplicaView::Present(TimePoint aNow) const
{
  bool hasFresh = false;
  for (const auto& [address, source] : sources_) {
    hasFresh = hasFresh || aNow - source.heardAt_ < kSourceAge;
  }
  std::map<std::string, Merged> merged;
  for (const auto& [address, source] : sources_) {
    bool isTrusted = IsTrusted(source, aNow, hasFresh);
    for (const auto& [id, replica] : source.replicas_) {
      // What has left stays so, however old the word.
      if (isTrusted || replica.standing_ == ReplicaStanding::Gone) {
        Merge(merged, replica);
      }
    }
    if (aNow < source.earlierUntil_) {
      for (const auto& [id, replica] : source.earlier_) {
        Merge(merged, replica);
      }
    }
  }
  auto present = std::make_shared<ReplicasByService>();
  for (const auto& [id, it] : merged) {
    if (it.isHeard_ && it.newest_.standing_ == ReplicaStanding::Ready) {
      (*present)[it.newest_.service_].push_back(it.newest_);
    }
  }
  return present;
}

bool
ReplicaView::TakeChanged(TimePoint aNow)
{
  bool isDue = hasChanged_ || aNow >= checkAt_;
  hasChanged_ = false;
  checkAt_ = aNow + kCheckPause;
  return isDue;
}

} // namespace tanagerstall
