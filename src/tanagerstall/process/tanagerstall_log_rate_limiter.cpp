#include "tanagerstall/process/tanagerstall_log_rate_limiter.hpp"

#include <utility>

namespace tanagerstall {

LogRateLimiter::LogRateLimiter(std::uint32_t aLinesPerSecond)
  : linesPerSecond_(aLinesPerSecond)
{
}

LineDecision
LogRateLimiter::Admit(std::string_view aEvent, TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  auto it = counts_.find(aEvent);
  if (it == counts_.end()) {
    it = counts_.emplace(aEvent, Count{ aNow }).first;
  }
  Count& count = it->second;
  if (aNow - count.intervalStart_ >= std::chrono::seconds(1)) {
    count.intervalStart_ = aNow;
    count.lines_ = 0;
  }
  if (count.lines_ >= linesPerSecond_) {
    ++count.droppedLines_;
    ++droppedLines_;
    return {};
  }
  ++count.lines_;
  return { true, std::exchange(count.droppedLines_, 0) };
}

std::uint64_t
LogRateLimiter::DroppedLines() const
{
  std::scoped_lock lock(mutex_);
  return droppedLines_;
}

} // namespace tanagerstall
