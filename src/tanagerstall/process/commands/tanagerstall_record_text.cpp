#include "tanagerstall/process/commands/tanagerstall_record_text.hpp"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <set>

namespace tanagerstall {

namespace json = boost::json;

namespace {

std::string
ToShortestText(double aNumber)
{
  std::array<char, 32> buffer;
  auto end =
    std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber);
  return { buffer.data(), end.ptr };
}

std::string
ToCompactText(const json::value& aValue)
{
  if (aValue.is_double()) {
    return ToShortestText(aValue.get_double());
  }
  return json::serialize(aValue);
}

/// Returns whether a value takes several lines. Arrays without objects fit on
/// one.
bool
IsNested(const json::value& aValue)
{
  const json::array* array = aValue.if_array();
  return aValue.is_object() ||
         (array != nullptr &&
          std::any_of(array->begin(), array->end(), [](const auto& aItem) {
            return aItem.is_object();
          }));
}

void
AppendIndented(std::string& aText,
               const json::value& aValue,
               std::size_t aDepth)
{
  if (!IsNested(aValue)) {
    aText += ToCompactText(aValue);
    return;
  }
  std::string inner(2 * (aDepth + 1), ' ');
  std::string outer(2 * aDepth, ' ');
  bool isFirst = true;
  auto startItem = [&] {
    aText += isFirst ? "\n" : ",\n";
    aText += inner;
    isFirst = false;
  };
  if (const json::object* object = aValue.if_object()) {
    aText += "{";
    for (const auto& item : *object) {
      startItem();
      aText += json::serialize(json::string(item.key())) + ": ";
      AppendIndented(aText, item.value(), aDepth + 1);
    }
    aText += "\n" + outer + "}";
    return;
  }
  aText += "[";
  for (const json::value& item : aValue.get_array()) {
    startItem();
    AppendIndented(aText, item, aDepth + 1);
  }
  aText += "\n" + outer + "]";
}

} // namespace

std::string
ToIndentedText(const json::value& aValue)
{
  std::string text;
  AppendIndented(text, aValue, 0);
  return text;
}

void
WriteDiff(std::ostream& aOut,
          const json::value& aBefore,
          const json::value& aAfter)
{
  static const json::object kNone;
  const json::object& before =
    aBefore.is_object() ? aBefore.get_object() : kNone;
  const json::object& after = aAfter.is_object() ? aAfter.get_object() : kNone;
  std::set<std::string> names;
  for (const json::object* object : { &before, &after }) {
    for (const auto& item : *object) {
      names.emplace(item.key());
    }
  }
  for (const std::string& name : names) {
    const json::value* older = before.if_contains(name);
    const json::value* newer = after.if_contains(name);
    if (older != nullptr && newer != nullptr && *older == *newer) {
      continue;
    }
    if (older != nullptr) {
      aOut << "  - " << name << ": " << ToCompactText(*older) << "\n";
    }
    if (newer != nullptr) {
      aOut << "  + " << name << ": " << ToCompactText(*newer) << "\n";
    }
  }
}

} // namespace tanagerstall
