#ifndef TANAGERSTALL_REPLICA_BATCHES_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_BATCHES_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstddef>
#include <set>
#include <string>

namespace tanagerstall {

/// Determines when a control process publishes changes of replicas to the
/// entries that follow it. A publication wakes all of them, so the time between
/// two follows from their number and their answers take a bounded part of the
/// processor. A change after a quiet period is published at once. A state
/// machine that reads no clock.
class ReplicaBatches
{
public:
  /// Records a report of an entry that follows the replicas.
  void RecordFollower(const std::string& aEntry, TimePoint aNow);
  /// The least time between two publications.
  Duration Interval() const;
  /// The earliest time of the next publication.
  TimePoint NextAt() const { return publishedAt_ + Interval(); }
  void RecordPublication(TimePoint aNow) { publishedAt_ = aNow; }
  /// The number of entries that follow the replicas.
  std::size_t Followers() const;

private:
  /// The entries that reported in the current period, and their number in the
  /// last one.
  std::set<std::string> current_;
  std::size_t lastCount_ = 0;
  TimePoint periodEndsAt_;
  TimePoint publishedAt_;
};

} // namespace tanagerstall

#endif
