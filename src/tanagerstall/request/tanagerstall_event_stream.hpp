#ifndef TANAGERSTALL_EVENT_STREAM_HPP_INCLUDED
#define TANAGERSTALL_EVENT_STREAM_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

/// Splits a stream of server-sent events into events.
class EventStream
{
public:
  /// Appends bytes and returns the events that they complete, each including
  /// its terminating empty line.
  std::vector<std::string> Feed(std::string_view aBytes);
  /// The size of the incomplete event at the end, in bytes.
  std::size_t PartialBytes() const { return partial_.size(); }
  /// Discards the bytes of an incomplete event.
  void DropPartial() { partial_.clear(); }

  /// Returns the first line of an event's data, or "" if the event has none.
  static std::string_view DataOf(std::string_view aEvent);

private:
  std::string partial_;
};

} // namespace tanagerstall

#endif
