#include "tanagerstall/process/tanagerstall_log_volume.hpp"

#include <utility>

namespace tanagerstall {

LogVolume::LogVolume(std::uint32_t aLinesPerSecond)
  : linesPerSecond_(aLinesPerSecond)
{
}

LineVerdict
LogVolume::Take(std::string_view aEvent, TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  auto it = counts_.find(aEvent);
  if (it == counts_.end()) {
    it = counts_.emplace(aEvent, Count{ aNow }).first;
  }
  Count& count = it->second;
  if (aNow - count.since_ >= std::chrono::seconds(1)) {
    count.since_ = aNow;
    count.lines_ = 0;
  }
  if (count.lines_ >= linesPerSecond_) {
    ++count.leftOut_;
    ++leftOut_;
    return {};
  }
  ++count.lines_;
  return { true, std::exchange(count.leftOut_, 0) };
}

std::uint64_t
LogVolume::LeftOut() const
{
  std::scoped_lock lock(mutex_);
  return leftOut_;
}

} // namespace tanagerstall
