#ifndef TANAGERSTALL_PROCESS_RUN_HPP_INCLUDED
#define TANAGERSTALL_PROCESS_RUN_HPP_INCLUDED

#include <functional>

namespace tanagerstall {

/// Runs `aProgram` and ends the process with the status that it returns. An
/// exception is logged and ends the process with status 1. Call StartLog()
/// first.
[[noreturn]] void
RunProcess(const std::function<int()>& aProgram);

} // namespace tanagerstall

#endif
