#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"

#include "tanagerstall/internal/tanagerstall_fiber_context.hpp"
#include "tanagerstall/internal/tanagerstall_traffic_state.hpp"

#include <boost/asio/post.hpp>

namespace tanagerstall {

TrafficThreads::TrafficThreads(std::size_t aCount)
  : state_(std::make_unique<State>())
{
  for (std::size_t i = 0; i < aCount; ++i) {
    state_->loops_.push_back(std::make_unique<boost::asio::io_context>(1));
    auto* loop = state_->loops_.back().get();
    state_->guards_.emplace_back(loop->get_executor());
    state_->threads_.emplace_back([loop] { loop->run(); });
  }
}

TrafficThreads::~TrafficThreads()
{
  Stop();
}

void
TrafficThreads::Spawn(std::function<void(Fiber&)> aBody)
{
  SpawnFiber(state_->NextLoop(), std::move(aBody));
}

void
TrafficThreads::Post(std::function<void()> aTask)
{
  boost::asio::post(*state_->loops_.front(), std::move(aTask));
}

void
TrafficThreads::Stop()
{
  for (auto& loop : state_->loops_) {
    loop->stop();
  }
  for (auto& thread : state_->threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

} // namespace tanagerstall
