#ifndef TANAGERSTALL_EVENT_QUEUE_HPP_INCLUDED
#define TANAGERSTALL_EVENT_QUEUE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace tanagerstall {

/// Runs callbacks in the order of their times.
class EventQueue
{
public:
  void At(TimePoint aTime, std::function<void()> aEvent)
  {
    events_.emplace(std::max(aTime, now_), std::move(aEvent));
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!events_.empty() && events_.begin()->first <= aEnd) {
      auto next = events_.extract(events_.begin());
      now_ = next.key();
      next.mapped()();
    }
    now_ = aEnd;
  }

  TimePoint Now() const { return now_; }

private:
  TimePoint now_{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events_;
};

} // namespace tanagerstall

#endif
