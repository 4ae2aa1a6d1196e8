#ifndef TANAGERSTALL_FIBER_CONTEXT_HPP_INCLUDED
#define TANAGERSTALL_FIBER_CONTEXT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace tanagerstall {

/// The event loop of the fiber's thread, and the context that suspends and
/// resumes the fiber.
struct Fiber::Context
{
  boost::asio::io_context& io_;
  boost::asio::yield_context yield_;
};

/// Starts a fiber on the thread that runs `aIo`. An exception that it throws is
/// logged.
void
SpawnFiber(boost::asio::io_context& aIo, std::function<void(Fiber&)> aBody);

} // namespace tanagerstall

#endif
