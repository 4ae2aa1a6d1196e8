#ifndef TANAGERSTALL_SOAK_PROCESS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_PROCESS_HPP_INCLUDED

#include "tanagerstall_soak_network.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tanagerstall::soak {

/// Parameters of a process.
struct ProcessOptions
{
  std::string name_;
  std::string program_;
  /// Path of the shared object to preload.
  std::string preload_;
  /// Folder of its settings, log and faults files.
  std::string folder_;
  Host host_ = 0;
};

/// Faults of a process's wall clock and disk.
struct MachineFaults
{
  /// Added to the wall clock.
  std::chrono::seconds clockStep_{};
  /// Added to each fsync() and fdatasync().
  std::chrono::milliseconds syncDelay_{};
  /// Whether writes to files fail with ENOSPC.
  bool isDiskFull_ = false;
};

/// A child process of the soak. The destructor kills it.
class Process
{
public:
  explicit Process(ProcessOptions aOptions);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& Name() const { return options_.name_; }
  Host GetHost() const { return options_.host_; }
  std::string SettingsPath() const;
  std::string LogPath() const;

  /// Starts it. Returns false if the system can't.
  bool Start();
  /// Sends a signal if it is running.
  void Signal(int aSignal);
  /// Kills it and waits for its exit.
  void Kill();
  /// Returns the exit code or the negative signal number, once per exit, and
  /// nothing while it runs.
  std::optional<int> TakeExitStatus();
  bool IsRunning() const { return id_ > 0; }
  /// Returns how often it was started.
  unsigned Incarnation() const { return incarnation_; }
  /// Replaces the faults in force. The process rereads them at most every 50
  /// ms.
  void SetFaults(const MachineFaults& aFaults);
  /// Whether a stop of the process is the suspension of its machine, so that
  /// its monotonic clock doesn't count the time. Reread like the faults.
  void SetStopsAreSuspensions(bool aAreSuspensions);

private:
  std::string FaultsPath() const;
  void WriteFaults() const;

  ProcessOptions options_;
  pid_t id_ = 0;
  unsigned incarnation_ = 0;
  MachineFaults faults_;
  bool areStopsSuspensions_ = false;
};

} // namespace tanagerstall::soak

#endif
