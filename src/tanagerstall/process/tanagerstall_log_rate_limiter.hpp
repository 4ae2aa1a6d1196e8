#ifndef TANAGERSTALL_LOG_RATE_LIMITER_HPP_INCLUDED
#define TANAGERSTALL_LOG_RATE_LIMITER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace tanagerstall {

/// Whether to write one line.
struct LineDecision
{
  bool isWritten_ = false;
  /// The number of lines of the same event that were dropped since its last
  /// written line.
  std::uint64_t droppedLines_ = 0;

  bool operator==(const LineDecision&) const = default;
};

/// Bounds the lines per second of each event, so that a flood of one event
/// neither costs much nor hides the others. Thread-safe.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(std::uint32_t aLinesPerSecond);

  /// Decides whether to write a line of `aEvent`, and counts it.
  LineDecision Admit(std::string_view aEvent, TimePoint aNow);
  /// Returns the number of lines of all events dropped since the start.
  std::uint64_t DroppedLines() const;

private:
  struct Count
  {
    TimePoint intervalStart_;
    std::uint32_t lines_ = 0;
    std::uint64_t droppedLines_ = 0;
  };

  std::uint32_t linesPerSecond_;
  mutable std::mutex mutex_;
  std::map<std::string, Count, std::less<>> counts_;
  std::uint64_t droppedLines_ = 0;
};

} // namespace tanagerstall

#endif
