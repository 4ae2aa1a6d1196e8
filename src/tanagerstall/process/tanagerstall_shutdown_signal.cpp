#include "tanagerstall/process/tanagerstall_shutdown_signal.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <csignal>
#include <pthread.h>
#include <stop_token>
#include <thread>

namespace tanagerstall {

namespace {

/// How often the thread checks whether it has to end.
constexpr timespec kPollInterval{ 0, 400'000'000 };

sigset_t
ShutdownSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

} // namespace

struct ShutdownSignal::State
{
  std::jthread thread_;
};

ShutdownSignal::ShutdownSignal()
  : state_(std::make_unique<State>())
{
  sigset_t set = ShutdownSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN); // NOLINT
}

ShutdownSignal::~ShutdownSignal() = default;

void
ShutdownSignal::Start(std::function<void()> aStop,
                      std::function<void()> aReload)
{
  state_->thread_ =
    std::jthread([stop = std::move(aStop),
                  reload = std::move(aReload)](const std::stop_token& aToken) {
      sigset_t set = ShutdownSignals();
      while (!aToken.stop_requested()) {
        int signal = sigtimedwait(&set, nullptr, &kPollInterval);
        if (signal == SIGHUP && reload) {
          reload();
        } else if (signal == SIGHUP) {
          LogEvent(Severity::Info, "nothing to reload");
        } else if (signal > 0) {
          stop();
        }
      }
    });
}

} // namespace tanagerstall
