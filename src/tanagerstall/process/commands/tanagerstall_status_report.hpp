#ifndef TANAGERSTALL_STATUS_REPORT_HPP_INCLUDED
#define TANAGERSTALL_STATUS_REPORT_HPP_INCLUDED

#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

namespace tanagerstall {

/// Queries every control process and prints the revision in force at each of
/// them and at every entry. Returns ExitUnreachable if none answered.
int
ReportStatus(const CommandContext& aContext);

} // namespace tanagerstall

#endif
