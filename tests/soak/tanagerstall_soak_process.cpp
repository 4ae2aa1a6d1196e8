#include "tanagerstall_soak_process.hpp"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace tanagerstall::soak {

namespace {

/// Returns a null-terminated array of C strings, as execve() expects.
std::vector<char*>
MakePointerArray(std::vector<std::string>& aTexts)
{
  std::vector<char*> pointers;
  pointers.reserve(aTexts.size() + 1);
  for (auto& text : aTexts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

/// Returns the exit code, or the negative number of the signal.
int
ExitStatus(int aStatus)
{
  return WIFSIGNALED(aStatus) ? -WTERMSIG(aStatus) : WEXITSTATUS(aStatus);
}

} // namespace

Process::Process(ProcessOptions aOptions)
  : options_(std::move(aOptions))
{
  SetFaults({});
}

Process::~Process()
{
  Kill();
}

std::string
Process::SettingsPath() const
{
  return options_.folder_ + "/" + options_.name_ + ".conf";
}

std::string
Process::LogPath() const
{
  return options_.folder_ + "/" + options_.name_ + ".log";
}

std::string
Process::FaultsPath() const
{
  return options_.folder_ + "/" + options_.name_ + ".faults";
}

bool
Process::Start()
{
  std::vector<std::string> variables{
    "TANAGERSTALL_CONFIG=" + SettingsPath(),
    "TANAGERSTALL_SOAK_HOST=" + std::to_string(options_.host_),
    "TANAGERSTALL_SOAK_FAULTS=" + FaultsPath(),
    "LD_PRELOAD=" + options_.preload_
  };
  std::vector<std::string> words{ options_.program_ };
  auto environment = MakePointerArray(variables);
  auto arguments = MakePointerArray(words);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files,
                                   STDOUT_FILENO,
                                   LogPath().c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // The process must not inherit the soak's sockets.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  int error = posix_spawn(&id_,
                          options_.program_.c_str(),
                          &files,
                          nullptr,
                          arguments.data(),
                          environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    id_ = 0;
    return false;
  }
  ++incarnation_;
  return true;
}

void
Process::Signal(int aSignal)
{
  if (id_ > 0) {
    ::kill(id_, aSignal);
  }
}

void
Process::Kill()
{
  if (id_ <= 0) {
    return;
  }
  Signal(SIGKILL);
  int status = 0;
  while (::waitpid(id_, &status, 0) < 0 && errno == EINTR) {
  }
  id_ = 0;
}

std::optional<int>
Process::TakeExitStatus()
{
  int status = 0;
  if (id_ <= 0 || ::waitpid(id_, &status, WNOHANG) != id_) {
    return std::nullopt;
  }
  id_ = 0;
  return ExitStatus(status);
}

void
Process::SetFaults(const MachineFaults& aFaults)
{
  faults_ = aFaults;
  WriteFaults();
}

void
Process::SetStopsAreSuspensions(bool aAreSuspensions)
{
  areStopsSuspensions_ = aAreSuspensions;
  WriteFaults();
}

void
Process::WriteFaults() const
{
  // The file is replaced atomically because the process may read it at any
  // time.
  std::string next = FaultsPath() + ".next";
  std::ofstream(next) << faults_.clockStep_.count() * 1000 << ' '
                      << faults_.syncDelay_.count() << ' '
                      << (faults_.isDiskFull_ ? 1 : 0) << ' '
                      << (areStopsSuspensions_ ? 1 : 0) << '\n';
  std::filesystem::rename(next, FaultsPath());
}

} // namespace tanagerstall::soak
