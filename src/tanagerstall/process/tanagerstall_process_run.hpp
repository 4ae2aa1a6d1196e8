#ifndef TANAGERSTALL_PROCESS_RUN_HPP_INCLUDED
#define TANAGERSTALL_PROCESS_RUN_HPP_INCLUDED

#include <functional>

namespace tanagerstall {

/// Runs a program, whose log was started, and ends the process with the status
/// that it gives; with 1 where an exception leaves it, which is logged.
[[noreturn]] void
RunProcess(const std::function<int()>& aProgram);

} // namespace tanagerstall

#endif
