#include "tanagerstall/process/tanagerstall_process_run.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

namespace tanagerstall {

void
RunProcess(const std::function<int()>& aProgram)
{
  int status = 1;
  try {
    status = aProgram();
  } catch (const std::exception& error) {
    LogEvent(Severity::Error, "stopped", { { "error", error.what() } });
  }
  EndProcess(status);
}

} // namespace tanagerstall
