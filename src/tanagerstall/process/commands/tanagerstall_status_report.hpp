#ifndef TANAGERSTALL_STATUS_REPORT_HPP_INCLUDED
#define TANAGERSTALL_STATUS_REPORT_HPP_INCLUDED

#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

namespace tanagerstall {

/// Asks every control process and prints the revision in force at each and
/// at every entry. ExitUnreachable where no control process answered.
int
ReportStatus(const CommandContext& aContext);

} // namespace tanagerstall

#endif
