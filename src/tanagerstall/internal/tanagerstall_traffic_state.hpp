#ifndef TANAGERSTALL_TRAFFIC_STATE_HPP_INCLUDED
#define TANAGERSTALL_TRAFFIC_STATE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace tanagerstall {

struct TrafficThreads::State
{
  using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> loops_;
  std::vector<WorkGuard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<std::size_t> next_{ 0 };

  /// Returns the loops round-robin.
  boost::asio::io_context& NextLoop()
  {
    return *loops_[next_.fetch_add(1) % loops_.size()];
  }
};

} // namespace tanagerstall

#endif
