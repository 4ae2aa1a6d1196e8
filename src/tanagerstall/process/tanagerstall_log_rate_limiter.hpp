#ifndef TANAGERSTALL_LOG_RATE_LIMITER_HPP_INCLUDED
#define TANAGERSTALL_LOG_RATE_LIMITER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace tanagerstall {

/// What becomes of one line.
struct LineDecision
{
  bool isWritten_ = false;
  /// Lines of the same event that were left out since the last one written.
  std::uint64_t droppedLines_ = 0;

  bool operator==(const LineDecision&) const = default;
};

/// Bounds the lines of each event in a second, so that a flood of one kind
/// neither costs much nor hides the others. Safe from any thread.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(std::uint32_t aLinesPerSecond);

  LineDecision Admit(std::string_view aEvent, TimePoint aNow);
  /// Lines left out since the start.
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
