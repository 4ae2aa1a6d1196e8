#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include "tanagerstall/process/presence/tanagerstall_replica_order.hpp"

#include <algorithm>

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

} // namespace

std::vector<Replica>
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
  std::vector<Replica> withdrawn;
  for (const auto& replica : aReport.changed_) {
    source.replicas_[replica.id_] = replica;
    auto [it, isNew] = newest_.try_emplace(replica.id_, replica);
    bool wasReady = !isNew && it->second.state_ == ReplicaState::Ready;
    if (!isNew && Supersedes(replica, it->second)) {
      it->second = replica;
    }
    if (wasReady && it->second.state_ != ReplicaState::Ready) {
      withdrawn.push_back(replica);
    }
    hasChanged_ = true;
  }
  source.stamp_ = aReport.stamp_;
  source.receivedAt_ = aNow;
  return withdrawn;
}

std::pair<std::uint64_t, std::uint64_t>
ReplicaView::Position(const std::string& aControl) const
{
  auto it = sources_.find(aControl);
  return it == sources_.end() ? std::pair<std::uint64_t, std::uint64_t>()
                              : std::pair(it->second.run_, it->second.stamp_);
}

std::optional<ReportedRun>
ReplicaView::NewestRun(const std::string& aId, TimePoint aNow) const
{
  auto it = newest_.find(aId);
  if (it == newest_.end()) {
    return std::nullopt;
  }
  bool isCurrent = it->second.state_ != ReplicaState::Ready ||
                   ResponsiveAt(aNow).contains(aId);
  return ReportedRun{ it->second.startTimeMs_, isCurrent };
}

bool
ReplicaView::IsTrusted(const Source& aSource,
                       TimePoint aNow,
                       bool aHasFresh) const
{
  return !aHasFresh || aNow - aSource.receivedAt_ < kMaxSourceAge;
}

void
ReplicaView::AddResponsive(const std::map<std::string, Replica>& aReported,
                           std::set<std::string_view>& aTo) const
{
  for (const auto& [id, replica] : aReported) {
    bool isNewestRun = newest_.at(id).startTimeMs_ == replica.startTimeMs_;
    if (isNewestRun && !replica.hasExpired_) {
      aTo.insert(id);
    }
  }
}

std::set<std::string_view>
ReplicaView::ResponsiveAt(TimePoint aNow) const
{
  bool hasFresh = false;
  for (const auto& [address, source] : sources_) {
    hasFresh = hasFresh || aNow - source.receivedAt_ < kMaxSourceAge;
  }
  std::set<std::string_view> responsive;
  for (const auto& [address, source] : sources_) {
    if (IsTrusted(source, aNow, hasFresh)) {
      AddResponsive(source.replicas_, responsive);
    }
    if (aNow < source.previousRunUntil_) {
      AddResponsive(source.previousRun_, responsive);
    }
  }
  return responsive;
}

std::shared_ptr<const ReplicasByService>
ReplicaView::Present(TimePoint aNow) const
{
  auto responsive = ResponsiveAt(aNow);
  auto present = std::make_shared<ReplicasByService>();
  for (const auto& [id, replica] : newest_) {
    if (replica.state_ == ReplicaState::Ready && responsive.contains(id)) {
      (*present)[replica.service_].push_back(replica);
    }
  }
  return present;
}

bool
ReplicaView::HasRecentReports(const std::vector<std::string>& aControls,
                              TimePoint aNow) const
{
  return !aControls.empty() &&
         std::all_of(
           aControls.begin(), aControls.end(), [&](const std::string& aIt) {
             auto source = sources_.find(aIt);
             return source != sources_.end() &&
                    aNow - source->second.receivedAt_ < kMaxSourceAge;
           });
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
