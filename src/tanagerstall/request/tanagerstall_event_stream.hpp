#ifndef TANAGERSTALL_EVENT_STREAM_HPP_INCLUDED
#define TANAGERSTALL_EVENT_STREAM_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

/// Cuts a stream of server-sent events into whole events.
class EventStream
{
public:
  /// Takes bytes in; gives the events that they complete, each with the empty
  /// line that ends it.
  std::vector<std::string> Feed(std::string_view aBytes);
  /// Drops an event that has not ended.
  void DropPartial() { partial_.clear(); }

  /// The data of an event; "" for a comment or one without data.
  static std::string_view DataOf(std::string_view aEvent);

private:
  std::string partial_;
};

} // namespace tanagerstall

#endif
