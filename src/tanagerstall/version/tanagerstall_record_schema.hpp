#ifndef TANAGERSTALL_RECORD_SCHEMA_HPP_INCLUDED
#define TANAGERSTALL_RECORD_SCHEMA_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_configuration.hpp"
#include "tanagerstall/version/tanagerstall_record_error.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace tanagerstall {

/// A parsed record of any kind.
using TypedRecord =
  std::variant<ServiceRecord, ReplicasRecord, OrganisationRecord, PolicyRecord>;

/// A record converted to one of the schemas.
struct RenderedRecord
{
  boost::json::object object_;
  /// Fields, by their schema 2 names, whose values the schema can't express.
  std::vector<std::string> inexpressible_;
};

/// Parses a record in schema 2. The caller has validated "kind" and "name".
tl::expected<TypedRecord, RecordError>
ReadSchema2(const boost::json::object& aObject,
            std::string_view aKind,
            const std::string& aName);

/// Parses a record in schema 1. `aStored` is the record that it replaces, or
/// nullptr; fields that only schema 2 has are copied from it. Fails if
/// `aStored` has values that schema 1 can't express.
tl::expected<TypedRecord, RecordError>
ReadSchema1(const boost::json::object& aObject,
            std::string_view aKind,
            const std::string& aName,
            const TypedRecord* aStored);

/// Converts a record to schema 2 with every field present: the canonical form.
boost::json::object
WriteSchema2(const TypedRecord& aRecord);

/// Converts a record to schema 1, without the fields that only schema 2 has.
RenderedRecord
WriteSchema1(const TypedRecord& aRecord);

/// Returns "kind/name" of a record.
std::string
KeyOf(const TypedRecord& aRecord);

/// Converts a number to JSON: to an integer if it has no fraction.
boost::json::value
ToNumber(double aNumber);

/// Validates a request rule's method or path prefix; returns an error message,
/// or "" if it is valid.
std::string
CheckMethod(std::string_view aMethod);
std::string
CheckPathPrefix(std::string_view aPath);
/// Validates a token hash; returns an error message, or "" if it is valid.
std::string
CheckTokenHash(std::string_view aHash);

} // namespace tanagerstall

#endif
