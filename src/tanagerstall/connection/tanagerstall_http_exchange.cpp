#include "tanagerstall/connection/tanagerstall_http_exchange.hpp"

#include "tanagerstall/internal/tanagerstall_http_server_state.hpp"
#include "tanagerstall/internal/tanagerstall_socket_peek.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace tanagerstall {

namespace http = beast::http;

void
HttpExchange::State::WatchCaller()
{
  isWatching_ = true;
  stream_.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const beast::error_code& aError) {
      self->isWatching_ = false;
      if (!aError && self->isInExchange_) {
        self->CheckForDisconnect();
      }
    });
}

void
HttpExchange::State::CheckForDisconnect()
{
  switch (Peek(stream_.socket())) {
    case SocketState::NoData:
      // A spurious wakeup.
      WatchCaller();
      return;
    case SocketState::HasData:
      return;
    case SocketState::Closed:
      isCallerDisconnected_ = true;
      if (onCallerDisconnect_) {
        std::exchange(onCallerDisconnect_, nullptr)();
      }
      return;
  }
}

void
HttpExchange::State::StopWatching()
{
  if (isWatching_) {
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
  }
}

HttpExchange::HttpExchange(State& aState)
  : state_(aState)
{
}

const HttpRequest&
HttpExchange::Request() const
{
  return state_.request_;
}

Fiber&
HttpExchange::GetFiber()
{
  return *state_.fiber_;
}

namespace {

template<class Message>
void
SetHead(HttpExchange::State& aState,
        Message& aMessage,
        const HttpResponse& aResponse)
{
  aState.status_ = aResponse.status_;
  aState.keepsAlive_ = aState.keepsAlive_ && aState.server_->keepsAlive_;
  aMessage.version(11);
  aMessage.result(static_cast<unsigned>(aResponse.status_));
  for (const auto& header : aResponse.headers_) {
    aMessage.insert(header.name_, header.value_);
  }
  aMessage.keep_alive(aState.keepsAlive_);
}

/// Waits for the write that `aStart` starts. If it fails or times out, the
/// caller counts as disconnected: closes the connection and returns false.
template<class Start>
bool
Write(HttpExchange& aExchange, HttpExchange::State& aState, const Start& aStart)
{
  beast::error_code error;
  aState.stream_.expires_after(aState.server_->limits_.writeTimeout_);
  aStart(aState.Yield()[error]);
  if (error) {
    aExchange.Abort();
  }
  return !error;
}

} // namespace

void
HttpExchange::Respond(const HttpResponse& aResponse)
{
  http::response<http::span_body<const char>> message;
  SetHead(state_, message, aResponse);
  message.body() = { aResponse.body_.data(), aResponse.body_.size() };
  message.prepare_payload();
  Write(*this, state_, [&](auto aDone) {
    http::async_write(state_.stream_, message, aDone);
  });
}

void
HttpExchange::StartStream(const HttpResponse& aHead)
{
  http::response<http::empty_body> message;
  SetHead(state_, message, aHead);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  Write(*this, state_, [&](auto aDone) {
    http::async_write_header(state_.stream_, serializer, aDone);
  });
}

bool
HttpExchange::WritePart(std::string_view aPart)
{
  if (state_.isCallerDisconnected_ || aPart.empty()) {
    return !state_.isCallerDisconnected_;
  }
  return Write(*this, state_, [&](auto aDone) {
    asio::async_write(
      state_.stream_, http::make_chunk(asio::buffer(aPart)), aDone);
  });
}

void
HttpExchange::EndStream()
{
  if (state_.isCallerDisconnected_) {
    return;
  }
  Write(*this, state_, [&](auto aDone) {
    asio::async_write(state_.stream_, http::make_chunk_last(), aDone);
  });
}

void
HttpExchange::Abort()
{
  state_.isCallerDisconnected_ = true;
  state_.keepsAlive_ = false;
  state_.stream_.close();
}

int
HttpExchange::Status() const
{
  return state_.status_;
}

bool
HttpExchange::HoldFor(const std::string& aOrganisation)
{
  state_.organisationPart_ =
    MemoryBudget::Part(state_.server_->clients_->Memory(),
                       MemoryBudget::Holder::Organisation,
                       aOrganisation);
  return state_.organisationPart_.Resize(state_.request_.body_.size());
}

bool
HttpExchange::IsCallerDisconnected() const
{
  return state_.isCallerDisconnected_;
}

// A close that arrived together with the request is reported by the next poll
// of the event loop, which may come after the request is sent on.
bool
HttpExchange::DetectCallerDisconnect()
{
  if (!state_.isCallerDisconnected_ && state_.isInExchange_ &&
      Peek(state_.stream_.socket()) == SocketState::Closed) {
    state_.isCallerDisconnected_ = true;
  }
  return state_.isCallerDisconnected_;
}

void
HttpExchange::OnCallerDisconnect(std::function<void()> aHook)
{
  state_.onCallerDisconnect_ = std::move(aHook);
  if (state_.isCallerDisconnected_ && state_.onCallerDisconnect_) {
    std::exchange(state_.onCallerDisconnect_, nullptr)();
  }
}

} // namespace tanagerstall
