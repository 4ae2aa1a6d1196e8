#include "tanagerstall/request/tanagerstall_requested_backoff.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Marks are kept for longer than any late announcement may take.
constexpr Duration kMarkAge = std::chrono::minutes(10);
constexpr std::size_t kMaxMarks = 8192;

} // namespace

bool
RequestedBackoff::Record(const Replica& aReplica,
                         const ReplicaNotice& aNotice,
                         TimePoint aNow)
{
  if (aNotice.IsEmpty()) {
    return false;
  }
  ForgetOldMarks(aNow);
  Mark& mark = marks_[aReplica.id_];
  if (aReplica.startTimeMs_ < mark.startTimeMs_) {
    return false;
  }
  if (aReplica.startTimeMs_ > mark.startTimeMs_) {
    mark = {};
    mark.startTimeMs_ = aReplica.startTimeMs_;
  }
  mark.recordedAt_ = aNow;
  bool isNew = aNotice.isLeaving_ && !mark.isLeaving_;
  mark.isLeaving_ = mark.isLeaving_ || aNotice.isLeaving_;
  bool isBackingOff = aNotice.backoff_ > Duration::zero();
  if (isBackingOff && aNow + aNotice.backoff_ > mark.backoffUntil_) {
    mark.backoffUntil_ = aNow + aNotice.backoff_;
    isNew = true;
  }
  return isNew;
}

/// Returns the mark of the replica's id, unless it is of an earlier
/// incarnation.
const RequestedBackoff::Mark*
RequestedBackoff::Find(const Replica& aReplica) const
{
  auto it = marks_.find(aReplica.id_);
  bool isKnown =
    it != marks_.end() && it->second.startTimeMs_ >= aReplica.startTimeMs_;
  return isKnown ? &it->second : nullptr;
}

ReplicaAvailability
RequestedBackoff::AvailabilityOf(const Replica& aReplica, TimePoint aNow) const
{
  const Mark* mark = Find(aReplica);
  if (mark == nullptr) {
    return ReplicaAvailability::Open;
  }
  // An incarnation that a later one has replaced is gone.
  if (mark->isLeaving_ || mark->startTimeMs_ > aReplica.startTimeMs_) {
    return ReplicaAvailability::Leaving;
  }
  if (aNow < mark->backoffUntil_) {
    return ReplicaAvailability::BackingOff;
  }
  return aNow < mark->backoffUntil_ + kReturnTime
           ? ReplicaAvailability::Returning
           : ReplicaAvailability::Open;
}

TimePoint
RequestedBackoff::BackoffEnd(const Replica& aReplica) const
{
  const Mark* mark = Find(aReplica);
  return mark == nullptr ? TimePoint() : mark->backoffUntil_;
}

void
RequestedBackoff::ForgetOldMarks(TimePoint aNow)
{
  if (marks_.size() < kMaxMarks) {
    return;
  }
  std::erase_if(marks_, [&](const auto& aIt) {
    return aNow - aIt.second.recordedAt_ > kMarkAge;
  });
  if (marks_.size() >= kMaxMarks) {
    auto oldest = std::min_element(
      marks_.begin(), marks_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.recordedAt_ < aRight.second.recordedAt_;
      });
    marks_.erase(oldest);
  }
}

} // namespace tanagerstall
