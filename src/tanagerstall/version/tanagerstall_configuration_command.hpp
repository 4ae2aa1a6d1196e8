#ifndef TANAGERSTALL_CONFIGURATION_COMMAND_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_COMMAND_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/version/tanagerstall_record_error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerstall {

/// One stored version of a record.
struct StoredRecord
{
  std::string key_;
  /// Counts the changes of this record, starting at 1.
  std::uint64_t version_ = 0;
  /// The revision of the whole configuration that stored this version.
  std::uint64_t revision_ = 0;
  bool isDeleted_ = false;
  /// Canonical JSON; empty for a deleted record.
  std::string body_;
  std::string author_;

  bool operator==(const StoredRecord&) const = default;
};

/// A write or delete of one record.
struct RecordChange
{
  static constexpr std::int64_t kAnyVersion = -1;

  std::string key_;
  /// The version that the writer read; 0 if the record must never have existed.
  std::int64_t expectedVersion_ = kAnyVersion;
  bool isDeleted_ = false;
  /// JSON in schema 1 or 2; empty for a delete.
  std::string body_;
};

/// Changes that are applied atomically.
struct ConfigurationCommand
{
  /// A command resent with the same id gets the result of the first; empty
  /// disables deduplication.
  std::string operationId_;
  std::string author_;
  std::vector<RecordChange> changes_;
};

enum class ChangeAction
{
  Unchanged,
  Created,
  Changed,
  Deleted
};

/// The effect of one change on its record.
struct ChangeOutcome
{
  std::string key_;
  ChangeAction action_ = ChangeAction::Unchanged;
  std::uint64_t version_ = 0;
  /// Canonical bodies, set only in the result of a check.
  std::string before_;
  std::string after_;
};

/// The result of a command or of its check.
struct ConfigurationResult
{
  bool isApplied_ = false;
  std::uint64_t revision_ = 0;
  /// The stored records whose versions differ from the expected ones.
  std::vector<StoredRecord> conflicts_;
  std::vector<RecordError> refusals_;
  std::vector<ChangeOutcome> changes_;
};

/// The result of a query for records.
struct RecordList
{
  std::uint64_t revision_ = 0;
  std::vector<StoredRecord> records_;
};

Bytes
Encode(const ConfigurationCommand& aCommand);
Bytes
Encode(const ConfigurationResult& aResult);
Bytes
Encode(const RecordList& aList);

/// The decoders throw kj::Exception if the bytes are malformed.
ConfigurationCommand
DecodeCommand(BytesView aBytes);
ConfigurationResult
DecodeResult(BytesView aBytes);
RecordList
DecodeRecords(BytesView aBytes);

/// Queries of the configuration group. A check returns a ConfigurationResult,
/// every other query a RecordList.
Bytes
EncodeQueryAll();
Bytes
EncodeQueryRevision();
Bytes
EncodeQueryRecord(const std::string& aKey);
Bytes
EncodeQueryHistory(const std::string& aKey);
Bytes
EncodeCheck(const ConfigurationCommand& aCommand);

} // namespace tanagerstall

#endif
