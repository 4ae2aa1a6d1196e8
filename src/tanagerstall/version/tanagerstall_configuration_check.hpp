#ifndef TANAGERSTALL_CONFIGURATION_CHECK_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_CHECK_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_configuration_command.hpp"

#include <map>

namespace tanagerstall {

/// The latest version of every record by key, including deleted records.
using RecordMap = std::map<std::string, StoredRecord, std::less<>>;

/// Validates a command against the records without applying it. Returns the
/// conflicts, the refusals and the outcome of each change with its bodies;
/// `isApplied_` is set if there are neither conflicts nor refusals.
/// Deterministic, since every replica of the group runs it.
ConfigurationResult
CheckCommand(const RecordMap& aRecords, const ConfigurationCommand& aCommand);

} // namespace tanagerstall

#endif
