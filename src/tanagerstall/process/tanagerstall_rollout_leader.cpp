#include "tanagerstall/process/tanagerstall_rollout_leader.hpp"

#include "tanagerstall/process/tanagerstall_rollout_log.hpp"

namespace tanagerstall {

namespace {

/// Time between two counts of the replicas of each side.
constexpr Duration kSidesInterval = std::chrono::milliseconds(500);
/// Time until an end is proposed again.
constexpr Duration kEndInterval = std::chrono::milliseconds(500);

} // namespace

RolloutLeader::RolloutLeader(RolloutBounds aBounds,
                             std::uint64_t aFirstRevision,
                             Hooks aHooks)
  : hooks_(std::move(aHooks))
  , controller_(aBounds, aFirstRevision)
{
}

void
RolloutLeader::SetRollouts(const std::map<std::string, Rollout>& aRollouts)
{
  rollouts_ = aRollouts;
  controller_.SetRollouts(aRollouts);
}

void
RolloutLeader::SetLeading(bool aIsLeading, TimePoint aNow)
{
  if (aIsLeading == isLeading_) {
    return;
  }
  isLeading_ = aIsLeading;
  if (aIsLeading) {
    controller_.StartLeading(aNow);
  } else {
    controller_.StopLeading();
  }
  hooks_.notify_();
}

void
RolloutLeader::Record(const std::string& aEntry,
                      const EntryReport& aReport,
                      TimePoint aNow)
{
  if (aReport.isToLeader_) {
    controller_.Record(
      aEntry, aReport.rolloutCounts_, aReport.rolloutRevision_, aNow);
  }
}

bool
RolloutLeader::HasUpdate(const std::string& aEntry,
                         const EntryReport& aReport) const
{
  auto sent = sent_.find(aEntry);
  bool isSent = sent != sent_.end() && sent->second == controller_.Revision();
  return !rollouts_.empty() && aReport.entry_.weight_ > 0 &&
         aReport.rolloutRevision_ != controller_.Revision() && !isSent;
}

void
RolloutLeader::AddTo(ControlAnswer& aAnswer,
                     const std::string& aEntry,
                     const EntryReport& aReport)
{
  if (rollouts_.empty()) {
    return;
  }
  aAnswer.rolloutRevision_ = controller_.Revision();
  if (aReport.rolloutRevision_ != controller_.Revision()) {
    aAnswer.rollouts_ = controller_.Directives();
    sent_[aEntry] = controller_.Revision();
  }
}

void
RolloutLeader::Update(TimePoint aNow, WallTime aWallNow)
{
  if (!rollouts_.empty()) {
    auto entries = hooks_.entries_();
    std::erase_if(
      sent_, [&](const auto& aIt) { return !entries.contains(aIt.first); });
    if (isLeading_ && controller_.HasRunning()) {
      Decide(std::move(entries), aNow, aWallNow);
    }
  }
}

void
RolloutLeader::Decide(std::set<std::string> aEntries,
                      TimePoint aNow,
                      WallTime aWallNow)
{
  if (aNow >= nextSidesAt_) {
    nextSidesAt_ = aNow + kSidesInterval;
    sides_ = CountSides(rollouts_, *hooks_.replicas_());
  }
  auto revision = controller_.Revision();
  controller_.Update({ std::move(aEntries), sides_ }, aNow, aWallNow);
  for (const auto& step : controller_.TakeSteps()) {
    LogRolloutStep(step);
  }
  if (revision != controller_.Revision()) {
    hooks_.notify_();
  }
  ProposeEnds(aNow);
}

/// Proposes the ends that were decided until the record shows them.
void
RolloutLeader::ProposeEnds(TimePoint aNow)
{
  auto ends = controller_.PendingEnds();
  if (ends.empty() || aNow < nextEndAt_) {
    return;
  }
  nextEndAt_ = aNow + kEndInterval;
  for (const auto& end : ends) {
    hooks_.propose_(end);
  }
}

std::vector<RolloutDirective>
RolloutLeader::Directives() const
{
  return controller_.Directives();
}

} // namespace tanagerstall
