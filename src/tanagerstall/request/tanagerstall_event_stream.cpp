#include "tanagerstall/request/tanagerstall_event_stream.hpp"

namespace tanagerstall {

namespace {

constexpr std::string_view kDataField = "data:";

/// Returns the position after the empty line that ends the first event, or
/// npos if no event is complete.
std::size_t
EndOfEvent(std::string_view aText)
{
  auto plain = aText.find("\n\n");
  auto withReturns = aText.find("\r\n\r\n");
  if (withReturns < plain) {
    return withReturns + 4;
  }
  return plain == std::string_view::npos ? plain : plain + 2;
}

} // namespace

std::vector<std::string>
EventStream::Feed(std::string_view aBytes)
{
  partial_ += aBytes;
  std::vector<std::string> events;
  std::size_t begin = 0;
  std::string_view rest = partial_;
  for (auto end = EndOfEvent(rest); end != std::string_view::npos;
       end = EndOfEvent(rest)) {
    events.emplace_back(rest.substr(0, end));
    begin += end;
    rest.remove_prefix(end);
  }
  partial_.erase(0, begin);
  return events;
}

std::string_view
EventStream::DataOf(std::string_view aEvent)
{
  auto begin = aEvent.find(kDataField);
  if (begin != 0 &&
      (begin == std::string_view::npos || aEvent[begin - 1] != '\n')) {
    return {};
  }
  std::string_view data = aEvent.substr(begin + kDataField.size());
  data = data.substr(0, data.find_first_of("\r\n"));
  if (data.starts_with(' ')) {
    data.remove_prefix(1);
  }
  return data;
}

} // namespace tanagerstall
