#ifndef TANAGERSTALL_SOAK_PROCESS_HPP_INCLUDED
#define TANAGERSTALL_SOAK_PROCESS_HPP_INCLUDED

#include "tanagerstall_soak_network.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tanagerstall::soak {

/// What a process is started with.
struct ProcessOptions
{
  std::string name_;
  std::string program_;
  /// The shared object that is loaded into it.
  std::string preload_;
  /// Folder of its settings, log and faults.
  std::string folder_;
  Host host_ = 0;
};

/// Faults of a process's clock and disk; whole seconds of clock step.
struct MachineFaults
{
  std::chrono::seconds clockStep_{};
  std::chrono::milliseconds syncDelay_{};
  bool isDiskFull_ = false;
};

/// One program that the soak runs. It is ended only by its id.
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

  /// Starts it. False if the system can't.
  bool Start();
  /// Sends a signal, if it runs.
  void Signal(int aSignal);
  /// Kills it and waits for its end.
  void Kill();
  /// How it ended, once for each end; nothing while it runs. A signal is
  /// negative.
  std::optional<int> TakeExitStatus();
  bool IsRunning() const { return id_ > 0; }
  /// How many times it was started.
  unsigned Incarnation() const { return incarnation_; }
  void SetFaults(const MachineFaults& aFaults);

private:
  std::string FaultsPath() const;

  ProcessOptions options_;
  pid_t id_ = 0;
  unsigned incarnation_ = 0;
};

} // namespace tanagerstall::soak

#endif
