#include "tanagerstall/version/tanagerstall_field_reader.hpp"

#include <boost/json/value_to.hpp>
#include <cmath>

namespace tanagerstall {

namespace json = boost::json;

namespace {

std::string
Describe(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string
Describe(const NumberRange& aRange)
{
  return Describe(aRange.min_) + " to " + Describe(aRange.max_) + " " +
         std::string(aRange.unit_);
}

} // namespace

FieldReader::FieldReader(const json::object& aObject,
                         std::string aRecord,
                         std::string aPrefix)
  : object_(&aObject)
  , record_(std::move(aRecord))
  , prefix_(std::move(aPrefix))
{
}

const json::value*
FieldReader::Find(std::string_view aName)
{
  read_.emplace(aName);
  return error_ ? nullptr : object_->if_contains(aName);
}

const json::value*
FieldReader::Require(std::string_view aName)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    ReportError(aName, "is missing");
  }
  return value;
}

std::string
FieldReader::Text(std::string_view aName)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    ReportError(aName, "must be a string");
    return "";
  }
  return json::value_to<std::string>(*value);
}

std::string
FieldReader::RequiredText(std::string_view aName)
{
  Require(aName);
  std::string text = Text(aName);
  if (text.empty()) {
    ReportError(aName, "must not be empty");
  }
  return text;
}

bool
FieldReader::Flag(std::string_view aName, bool aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    ReportError(aName, "must be true or false");
    return aDefault;
  }
  return value->get_bool();
}

bool
FieldReader::RequiredFlag(std::string_view aName)
{
  Require(aName);
  return Flag(aName, false);
}

std::vector<std::string>
FieldReader::TextList(std::string_view aName)
{
  const json::value* value = Find(aName);
  std::vector<std::string> texts;
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    ReportError(aName, "must be a list of strings");
    return texts;
  }
  for (const json::value& item : value->get_array()) {
    if (!item.is_string() || item.get_string().empty()) {
      ReportError(std::string(aName) + "[" + std::to_string(texts.size()) + "]",
                  "must be a string that is not empty");
      return {};
    }
    texts.push_back(json::value_to<std::string>(item));
  }
  return texts;
}

double
FieldReader::Number(std::string_view aName, double aDefault, NumberRange aRange)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number()) {
    ReportError(aName,
                "must be a number of " + std::string(aRange.unit_) +
                  ", without quotes or a unit");
    return aDefault;
  }
  double number = value->to_number<double>();
  if (!(number >= aRange.min_ && number <= aRange.max_)) {
    ReportError(aName, "is out of range: " + Describe(aRange));
    return aDefault;
  }
  return number;
}

std::int64_t
FieldReader::Integer(std::string_view aName,
                     std::int64_t aDefault,
                     NumberRange aRange)
{
  double number = Number(aName, static_cast<double>(aDefault), aRange);
  if (std::trunc(number) != number) {
    ReportError(aName,
                "must be a whole number of " + std::string(aRange.unit_));
    return aDefault;
  }
  return static_cast<std::int64_t>(number);
}

std::int64_t
FieldReader::RequiredInteger(std::string_view aName, NumberRange aRange)
{
  Require(aName);
  return Integer(aName, 0, aRange);
}

std::vector<FieldReader>
FieldReader::Objects(std::string_view aName)
{
  const json::value* value = Find(aName);
  std::vector<FieldReader> readers;
  if (value == nullptr) {
    return readers;
  }
  if (!value->is_array()) {
    ReportError(aName, "must be a list of objects");
    return readers;
  }
  for (const json::value& item : value->get_array()) {
    std::string elementName =
      std::string(aName) + "[" + std::to_string(readers.size()) + "]";
    if (!item.is_object()) {
      ReportError(elementName, "must be an object");
      return {};
    }
    readers.emplace_back(
      item.get_object(), record_, prefix_ + elementName + ".");
  }
  return readers;
}

void
FieldReader::ReportError(std::string_view aName, std::string aMessage)
{
  if (!error_) {
    error_ =
      RecordError{ record_, prefix_ + std::string(aName), std::move(aMessage) };
  }
}

void
FieldReader::PropagateError(const FieldReader& aNested)
{
  if (!error_) {
    error_ = aNested.error_;
  }
}

tl::expected<void, RecordError>
FieldReader::Finish(std::initializer_list<FieldHint> aHints)
{
  // An unknown field is reported before any other error: it is often a
  // misspelling that also explains why a required field is missing.
  for (const auto& item : *object_) {
    std::string_view name(item.key().data(), item.key().size());
    if (read_.contains(name)) {
      continue;
    }
    std::string message = "is unknown";
    for (const FieldHint& hint : aHints) {
      if (hint.field_ == name) {
        message = hint.message_;
      }
    }
    error_ = RecordError{ record_, prefix_ + std::string(name), message };
    break;
  }
  if (error_) {
    return tl::make_unexpected(*error_);
  }
  return {};
}

} // namespace tanagerstall
