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

/// What a field of a number may hold.
struct NumberRange
{
  double min_;
  double max_;
  /// The unit in words, such as "milliseconds".
  std::string_view unit_;
};

/// What to say of a field that belongs to another schema.
struct FieldHint
{
  std::string_view field_;
  std::string_view message_;
};

/// Reads the fields of one JSON object strictly. The first error is kept;
/// after it every field reads as its default.
class FieldReader
{
public:
  /// `aPrefix` goes before field names in errors, such as "requests[0].".
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
  /// The objects of a list; empty where there is none.
  std::vector<FieldReader> Objects(std::string_view aName);

  /// Says that a field is read elsewhere.
  void MarkRead(std::string_view aName) { read_.emplace(aName); }
  /// Notes an error of a field, unless there is one already.
  void ReportError(std::string_view aName, std::string aMessage);
  /// Takes over the error of a reader of a part.
  void PropagateError(const FieldReader& aNested);
  const std::optional<RecordError>& Error() const { return error_; }
  /// Gives the error, or an error for the first field that was not read.
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
