#ifndef TANAGERSTALL_RECORD_CODEC_HPP_INCLUDED
#define TANAGERSTALL_RECORD_CODEC_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_configuration.hpp"
#include "tanagerstall/version/tanagerstall_record_error.hpp"
#include "tanagerstall/version/tanagerstall_record_schema.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerstall {

/// A validated record in canonical form.
struct CanonicalRecord
{
  /// "kind/name".
  std::string key_;
  /// JSON in schema 2, every field present, in a fixed order.
  std::string body_;
};

/// Validates a record in schema 1 or 2 and returns its canonical form.
/// `aStored` is the canonical body of the record that it replaces, or empty;
/// fields that schema 1 lacks are copied from it.
tl::expected<CanonicalRecord, RecordError>
ReadRecord(std::string_view aJson, std::string_view aStored = {});

/// Returns "kind/name" of a record. Validates only the kind, the name and the
/// schema version.
tl::expected<std::string, RecordError>
ReadKey(std::string_view aJson);

/// Returns whether a text is "kind/name" with a known kind and a valid name.
bool
IsRecordKey(std::string_view aKey);

/// Parses a canonical body returned by ReadRecord().
tl::expected<TypedRecord, RecordError>
ReadCanonical(std::string_view aBody);

/// Converts a canonical body to schema 1 or 2.
tl::expected<RenderedRecord, RecordError>
RenderRecord(std::string_view aBody, int aSchema);

/// Adds a canonical record to a configuration or replaces the older version.
tl::expected<void, RecordError>
ApplyRecord(Configuration& aConfiguration, const CanonicalRecord& aRecord);

/// Removes a record from a configuration; the policy returns to its defaults.
void
RemoveRecord(Configuration& aConfiguration, std::string_view aKey);

} // namespace tanagerstall

#endif
