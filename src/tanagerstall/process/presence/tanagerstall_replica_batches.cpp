#include "tanagerstall/process/presence/tanagerstall_replica_batches.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The answers that publications may cause in a second. With 50 us for each
/// they take 2% of a core.
constexpr double kAnswersPerSecond = 400.0;
/// A departure passes two control processes on its way to an entry. Both
/// intervals and the ways between them take less than the time after which a
/// replica that leaves gets no new work.
constexpr Duration kMaxInterval = std::chrono::seconds(1);
/// Every entry reports at least once in this time, also one that stands by.
constexpr Duration kPeriod = std::chrono::seconds(3);

} // namespace

void
ReplicaBatches::RecordFollower(const std::string& aEntry, TimePoint aNow)
{
  if (aNow >= periodEndsAt_) {
    lastCount_ = current_.size();
    current_.clear();
    periodEndsAt_ = aNow + kPeriod;
  }
  current_.insert(aEntry);
}

std::size_t
ReplicaBatches::Followers() const
{
  return std::max(lastCount_, current_.size());
}

Duration
ReplicaBatches::Interval() const
{
  std::chrono::duration<double> interval(static_cast<double>(Followers()) /
                                         kAnswersPerSecond);
  return std::min(std::chrono::duration_cast<Duration>(interval), kMaxInterval);
}

} // namespace tanagerstall
