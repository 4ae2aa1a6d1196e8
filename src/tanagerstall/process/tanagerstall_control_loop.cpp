#include "tanagerstall/process/tanagerstall_control_loop.hpp"

#include <array>
#include <cstdint>
#include <kj/async-io.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <tbb/concurrent_queue.h>
#include <unistd.h>

namespace tanagerstall {

struct ControlLoop::State
{
  State()
    : io_(kj::setupAsyncIo())
    , wakeFd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  {
    if (wakeFd_ < 0) {
      throw std::runtime_error("cannot create the eventfd of the control loop");
    }
    wakeStream_ = io_.lowLevelProvider->wrapInputFd(
      wakeFd_,
      kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
        kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
        kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  }

  kj::AsyncIoContext io_;
  int wakeFd_;
  kj::Own<kj::AsyncInputStream> wakeStream_;
  tbb::concurrent_queue<Task> tasks_;
  std::array<std::uint8_t, sizeof(std::uint64_t)> wakeBuffer_{};
  bool isStopping_ = false;
};

ControlLoop::ControlLoop()
  : state_(std::make_unique<State>())
{
}

ControlLoop::~ControlLoop() = default;

void
ControlLoop::Post(Task aTask)
{
  state_->tasks_.push(std::move(aTask));
  std::uint64_t one = 1;
  // A full eventfd counter means that a wake-up is already pending.
  [[maybe_unused]] auto written =
    ::write(state_->wakeFd_, &one, sizeof(one)); // NOLINT
}

void
ControlLoop::Run()
{
  while (!state_->isStopping_) {
    state_->wakeStream_
      ->read(state_->wakeBuffer_.data(), state_->wakeBuffer_.size())
      .wait(state_->io_.waitScope);
    Task task;
    while (state_->tasks_.try_pop(task)) {
      task();
    }
  }
}

void
ControlLoop::Stop()
{
  Post([this] { state_->isStopping_ = true; });
}

kj::AsyncIoContext&
ControlLoop::Io()
{
  return state_->io_;
}

} // namespace tanagerstall
