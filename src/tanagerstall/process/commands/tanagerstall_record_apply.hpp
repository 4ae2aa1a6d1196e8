#ifndef TANAGERSTALL_RECORD_APPLY_HPP_INCLUDED
#define TANAGERSTALL_RECORD_APPLY_HPP_INCLUDED

#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

namespace tanagerstall {

void
AddApplyOptions(boost::program_options::options_description& aOptions);
void
AddDiffOptions(boost::program_options::options_description& aOptions);

/// Runs "apply": checks every record of a folder, prints the diff, then writes
/// all records or none. The write fails if a record has changed since the diff.
int
ApplyFolder(const CommandContext& aContext);

/// Runs "diff": prints what apply would change. Returns ExitDifferent if there
/// are changes.
int
DiffFolder(const CommandContext& aContext);

} // namespace tanagerstall

#endif
