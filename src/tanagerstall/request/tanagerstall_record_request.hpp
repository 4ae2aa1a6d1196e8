#ifndef TANAGERSTALL_RECORD_REQUEST_HPP_INCLUDED
#define TANAGERSTALL_RECORD_REQUEST_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_configuration_command.hpp"

#include <string_view>
#include <tl/expected.hpp>

namespace tanagerstall {

/// The parsed body of POST /v1/records.
struct RecordRequest
{
  ConfigurationCommand command_;
  /// Whether the changes are only checked and not applied.
  bool isDryRun_ = false;
};

/// Reads the JSON body and validates each record on its own; checks across
/// records happen when the command is applied.
tl::expected<RecordRequest, std::vector<RecordError>>
ReadRecordRequest(std::string_view aBody);

} // namespace tanagerstall

#endif
