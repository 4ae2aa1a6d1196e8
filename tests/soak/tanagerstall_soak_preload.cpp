// Interposes system calls of the soak's processes (LD_PRELOAD): redirects
// connections to the soak's proxy and injects faults of the clock and the disk.
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

constexpr long kNanosecondsPerMillisecond = 1'000'000;
constexpr long kMillisecondsPerSecond = 1000;
/// Shortest interval between two reads of the faults file.
constexpr long kReadIntervalMs = 50;

struct Faults
{
  std::atomic<long> clockStepMs_{ 0 };
  std::atomic<long> syncDelayMs_{ 0 };
  std::atomic<bool> isDiskFull_{ false };
};

Faults gFaults;
std::atomic<long> gLastReadMs{ 0 };

/// Returns the libc function that this library replaces.
template<class Function>
Function
Next(const char* aName)
{
  // NOLINTNEXTLINE(performance-no-int-to-ptr)
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, aName));
}

int
RealClock(clockid_t aClock, timespec* aTime)
{
  static auto next = Next<int (*)(clockid_t, timespec*)>("clock_gettime");
  return next(aClock, aTime);
}

long
MonotonicMs()
{
  timespec now{};
  RealClock(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kMillisecondsPerSecond +
         now.tv_nsec / kNanosecondsPerMillisecond;
}

/// Reads "STEP_MS SYNC_DELAY_MS IS_FULL" from the file in
/// TANAGERSTALL_SOAK_FAULTS. At most one thread reads per interval.
void
ReadFaults()
{
  static const char* path = std::getenv("TANAGERSTALL_SOAK_FAULTS");
  long now = MonotonicMs();
  long last = gLastReadMs.load();
  if (path == nullptr || now - last < kReadIntervalMs ||
      !gLastReadMs.compare_exchange_strong(last, now)) {
    return;
  }
  FILE* file = std::fopen(path, "re");
  if (file == nullptr) {
    return;
  }
  long step = 0;
  long delay = 0;
  int isFull = 0;
  if (std::fscanf(file, "%ld %ld %d", &step, &delay, &isFull) == 3) { // NOLINT
    gFaults.clockStepMs_ = step;
    gFaults.syncDelayMs_ = delay;
    gFaults.isDiskFull_ = isFull != 0;
  }
  std::fclose(file); // NOLINT
}

void
WaitForDisk()
{
  ReadFaults();
  usleep(static_cast<useconds_t>(gFaults.syncDelayMs_ * 1000));
}

/// Whether a write to the file has to fail with ENOSPC. Only regular files
/// fail, except standard output and error, so that logs stay complete.
bool
HasNoSpace(int aFile)
{
  struct stat about
  {};
  return aFile > 2 && gFaults.isDiskFull_ && fstat(aFile, &about) == 0 &&
         S_ISREG(about.st_mode);
}

} // namespace

extern "C"
{

  // NOLINTBEGIN(readability-identifier-naming)
  int connect(int aSocket, const sockaddr* aAddress, socklen_t aSize)
  {
    static auto next =
      Next<int (*)(int, const sockaddr*, socklen_t)>("connect");
    static const char* host = std::getenv("TANAGERSTALL_SOAK_HOST");
    if (host == nullptr || aAddress->sa_family != AF_INET) {
      return next(aSocket, aAddress, aSize);
    }
    auto through = *reinterpret_cast<const sockaddr_in*>(aAddress);
    auto number = static_cast<std::uint32_t>(std::atoi(host)); // NOLINT
    // The third address byte identifies the connecting instance, so that the
    // proxy can tell the links apart.
    through.sin_addr.s_addr |= htonl(number << 8U);
    return next(
      aSocket, reinterpret_cast<const sockaddr*>(&through), sizeof(through));
  }

  int clock_gettime(clockid_t aClock, timespec* aTime)
  {
    int result = RealClock(aClock, aTime);
    if (aClock == CLOCK_REALTIME && result == 0) {
      ReadFaults();
      long step = gFaults.clockStepMs_;
      aTime->tv_sec += step / kMillisecondsPerSecond;
    }
    return result;
  }

  int fdatasync(int aFile)
  {
    static auto next = Next<int (*)(int)>("fdatasync");
    WaitForDisk();
    return next(aFile);
  }

  int fsync(int aFile)
  {
    static auto next = Next<int (*)(int)>("fsync");
    WaitForDisk();
    return next(aFile);
  }

  ssize_t write(int aFile, const void* aBytes, size_t aSize)
  {
    static auto next = Next<ssize_t (*)(int, const void*, size_t)>("write");
    if (HasNoSpace(aFile)) {
      errno = ENOSPC;
      return -1;
    }
    return next(aFile, aBytes, aSize);
  }
  // NOLINTEND(readability-identifier-naming)
}
