#ifndef TANAGERSTALL_DEPARTURE_HPP_INCLUDED
#define TANAGERSTALL_DEPARTURE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <optional>

namespace tanagerstall {

/// The newest run of a replica that any control process reports.
struct ReportedRun
{
  std::uint64_t startMs_ = 0;
  /// Whether it is heard, drains or has left. Otherwise it has expired, and a
  /// later one may have begun since.
  bool isCurrent_ = false;
};

/// What a control process knows of the runs of a replica that says that it
/// leaves, by their start times.
struct DepartureFacts
{
  /// The start time that the replica sent; 0 if it sent none.
  std::uint64_t sentStartMs_ = 0;
  /// The newest run that is heard here or said here that it leaves.
  std::optional<std::uint64_t> ownStartMs_;
  std::optional<ReportedRun> reported_;
  /// How long this process has been running.
  Duration uptime_{ 0 };
  /// Each run that is present announces itself to some control process within
  /// this time.
  Duration timeToLive_{ 0 };
};

/// Returns the start time of the run that a departure ends: the one that the
/// replica sent, else the newest that is known. Returns nullopt if a newer run
/// may exist that isn't known here, so that the departure can't be recorded nor
/// acknowledged.
std::optional<std::uint64_t>
FindDepartedRun(const DepartureFacts& aFacts);

} // namespace tanagerstall

#endif
