#ifndef TANAGERSTALL_LOG_VOLUME_HPP_INCLUDED
#define TANAGERSTALL_LOG_VOLUME_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace tanagerstall {

/// What becomes of one line.
struct LineVerdict
{
  bool isWritten_ = false;
  /// Lines of the same event that were left out since the last one written.
  std::uint64_t leftOut_ = 0;

  bool operator==(const LineVerdict&) const = default;
};

/// Bounds the lines of each event in a second, so that a flood of one kind
/// neither costs much nor hides the others. Safe from any thread.
class LogVolume
{
public:
  explicit LogVolume(std::uint32_t aLinesPerSecond);

  LineVerdict Take(std::string_view aEvent, TimePoint aNow);
  /// Lines left out since the start.
  std::uint64_t LeftOut() const;

private:
  struct Count
  {
    TimePoint since_;
    std::uint32_t lines_ = 0;
    std::uint64_t leftOut_ = 0;
  };

  std::uint32_t linesPerSecond_;
  mutable std::mutex mutex_;
  std::map<std::string, Count, std::less<>> counts_;
  std::uint64_t leftOut_ = 0;
};

} // namespace tanagerstall

#endif
