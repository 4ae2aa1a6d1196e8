#include "tanagerstall/connection/tanagerstall_fiber.hpp"

#include "tanagerstall/internal/tanagerstall_fiber_context.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tanagerstall {

void
Fiber::Sleep(Duration aFor)
{
  boost::asio::steady_timer timer(context_.io_, aFor);
  boost::system::error_code ignored;
  timer.async_wait(context_.yield_[ignored]);
}

void
Fiber::Suspend(const std::function<void(Resume)>& aStart)
{
  boost::asio::io_context& io = context_.io_;
  boost::asio::async_initiate<boost::asio::yield_context, void()>(
    [&](auto aHandler) {
      auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
      aStart([handler, &io] { boost::asio::post(io, std::move(*handler)); });
    },
    context_.yield_);
}

void
Fiber::Spawn(std::function<void(Fiber&)> aBody)
{
  SpawnFiber(context_.io_, std::move(aBody));
}

void
SpawnFiber(boost::asio::io_context& aIo, std::function<void(Fiber&)> aBody)
{
  boost::asio::spawn(
    aIo,
    [&aIo, body = std::move(aBody)](boost::asio::yield_context aYield) {
      Fiber::Context context{ aIo, aYield };
      Fiber fiber(context);
      try {
        body(fiber);
      } catch (const std::exception& error) {
        LogEvent(
          Severity::Error, "fiber failed", { { "error", error.what() } });
      }
    },
    boost::asio::detached);
}

} // namespace tanagerstall
