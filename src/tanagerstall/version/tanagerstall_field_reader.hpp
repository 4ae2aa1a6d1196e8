#ifndef TANAGERSTALL_FIELD_READER_HPP_INCLUDED
#define TANAGERSTALL_FIELD_READER_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_record_error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerstall {

/// The inclusive bounds of a numeric field.
struct NumberRange
{
  double min_;
  double max_;
  /// The unit for error messages, such as "milliseconds".
  std::string_view unit_;
};

/// The error message for a field that belongs to another schema.
struct FieldHint
{
  std::string_view field_;
  std::string_view message_;
};

/// Reads the fields of one JSON object and rejects unknown ones. The first
/// error is kept; after it, every field reads as its default. An absent
/// optional field reads as its default, or as empty.
class FieldReader
{
public:
  /// `aRecord` and `aPrefix` identify the object in errors; the prefix, such as
  /// "requests[0].", precedes the field names. The object must outlive the
  /// reader.
  FieldReader(const boost::json::object& aObject,
              std::string aRecord,
              std::string aPrefix = "");

  std::string Text(std::string_view aName);
  std::string RequiredText(std::string_view aName);
  bool Flag(std::string_view aName, bool aDefault);
  bool RequiredFlag(std::string_view aName);
  std::vector<std::string> TextList(std::string_view aName);
  double Number(std::string_view aName, double aDefault, NumberRange aRange);
  std::int64_t Integer(std::string_view aName,
                       std::int64_t aDefault,
                       NumberRange aRange);
  std::int64_t RequiredInteger(std::string_view aName, NumberRange aRange);
  /// Returns a reader for each object of a list.
  std::vector<FieldReader> Objects(std::string_view aName);

  /// Marks a field as known that is read without this reader.
  void MarkRead(std::string_view aName) { read_.emplace(aName); }
  /// Records an error of a field, unless there is an earlier one.
  void ReportError(std::string_view aName, std::string aMessage);
  /// Records the error of a nested reader, unless there is an earlier one.
  void PropagateError(const FieldReader& aNested);
  const std::optional<RecordError>& Error() const { return error_; }
  /// Returns an error for the first field that was never read, or else the
  /// recorded error. `aHints` replaces the message for the fields it names.
  tl::expected<void, RecordError> Finish(
    std::initializer_list<FieldHint> aHints = {});

private:
  const boost::json::value* Find(std::string_view aName);
  const boost::json::value* Require(std::string_view aName);

  const boost::json::object* object_;
  std::string record_;
  std::string prefix_;
  std::set<std::string, std::less<>> read_;
  std::optional<RecordError> error_;
};

} // namespace tanagerstall

#endif
