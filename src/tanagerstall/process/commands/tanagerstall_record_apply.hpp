#ifndef TANAGERSTALL_RECORD_APPLY_HPP_INCLUDED
#define TANAGERSTALL_RECORD_APPLY_HPP_INCLUDED

#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

namespace tanagerstall {

void
AddApplyOptions(boost::program_options::options_description& aOptions);
void
AddDiffOptions(boost::program_options::options_description& aOptions);

/// "apply": checks every record of a folder, shows the diff, then writes all
/// of them or none, under the versions that the diff was made against.
int
ApplyFolder(const CommandContext& aContext);

/// "diff": shows what apply would change. ExitDifferent where it would.
int
DiffFolder(const CommandContext& aContext);

} // namespace tanagerstall

#endif
