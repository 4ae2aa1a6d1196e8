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
#include <sched.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

constexpr long kNanosecondsPerMillisecond = 1'000'000;
constexpr long kMillisecondsPerSecond = 1000;
constexpr long kNanosecondsPerSecond = 1'000'000'000;
/// Shortest interval between two reads of the faults file.
constexpr long kReadIntervalMs = 50;
/// A longer gap between two reads of the steady clock means that the process
/// was stopped: its loops read the clock several times a second.
constexpr long kMinStopNs = kNanosecondsPerSecond;

struct Faults
{
  std::atomic<long> clockStepMs_{ 0 };
  std::atomic<long> syncDelayMs_{ 0 };
  std::atomic<bool> isDiskFull_{ false };
  /// Whether the steady clock doesn't count the time of a stop.
  std::atomic<bool> isStopSuspension_{ false };
};

Faults gFaults;
std::atomic<long> gLastReadMs{ 0 };

/// The steady clock of a process that can be suspended.
struct SteadyClock
{
  /// Guards the other members.
  std::atomic_flag isLocked_;
  long lastReadNs_ = 0;
  long suspendedNs_ = 0;
};

SteadyClock gSteadyClock;

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
MonotonicNs()
{
  timespec now{};
  RealClock(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kNanosecondsPerSecond + now.tv_nsec;
}

/// Returns the monotonic time without suspensions. The time is read while the
/// clock is locked: a thread that is stopped just after its read then can't
/// hold a time that is later than another thread's next one.
long
AwakeNs()
{
  while (gSteadyClock.isLocked_.test_and_set()) {
    sched_yield();
  }
  long now = MonotonicNs();
  long gap = now - gSteadyClock.lastReadNs_;
  bool hasStopped = gSteadyClock.lastReadNs_ != 0 && gap > kMinStopNs;
  if (hasStopped && gFaults.isStopSuspension_) {
    gSteadyClock.suspendedNs_ += gap;
  }
  gSteadyClock.lastReadNs_ = now;
  long awake = now - gSteadyClock.suspendedNs_;
  gSteadyClock.isLocked_.clear();
  return awake;
}

/// Whether a clock stands still while a machine is suspended.
bool
IsSteadyClock(clockid_t aClock)
{
  return aClock == CLOCK_MONOTONIC || aClock == CLOCK_MONOTONIC_RAW ||
         aClock == CLOCK_MONOTONIC_COARSE;
}

/// Reads "STEP_MS SYNC_DELAY_MS IS_FULL IS_STOP_SUSPENSION" from the file in
/// TANAGERSTALL_SOAK_FAULTS. At most one thread reads per interval.
void
ReadFaults()
{
  static const char* path = std::getenv("TANAGERSTALL_SOAK_FAULTS");
  long now = MonotonicNs() / kNanosecondsPerMillisecond;
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
  int isSuspension = 0;
  // NOLINTNEXTLINE(cert-err34-c)
  int count =
    std::fscanf(file, "%ld %ld %d %d", &step, &delay, &isFull, &isSuspension);
  if (count == 4) {
    gFaults.clockStepMs_ = step;
    gFaults.syncDelayMs_ = delay;
    gFaults.isDiskFull_ = isFull != 0;
    gFaults.isStopSuspension_ = isSuspension != 0;
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
    if (IsSteadyClock(aClock)) {
      // One source for all three, so that none of them goes back against
      // another.
      long now = AwakeNs();
      ReadFaults();
      *aTime = { now / kNanosecondsPerSecond, now % kNanosecondsPerSecond };
      return 0;
    }
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
    // A process that waits for room as it starts reads no clock.
    ReadFaults();
    if (HasNoSpace(aFile)) {
      errno = ENOSPC;
      return -1;
    }
    return next(aFile, aBytes, aSize);
  }
  // NOLINTEND(readability-identifier-naming)
}
