#include "tanagerstall/process/tanagerstall_process_run.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace tanagerstall {

namespace {

/// Makes freed bodies go back to the system at once. By default the allocator
/// raises the size from which it does so up to 32 MiB, and keeps the rest.
void
ReturnFreedMemory()
{
#ifdef __GLIBC__
  constexpr int kMinMappedBytes = 128 << 10;
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
#endif
}

} // namespace

void
RunProcess(const std::function<int()>& aProgram)
{
  int status = 1;
  ReturnFreedMemory();
  try {
    status = aProgram();
  } catch (const std::exception& error) {
    LogEvent(Severity::Error, "stopped", { { "error", error.what() } });
  }
  EndProcess(status);
}

} // namespace tanagerstall
