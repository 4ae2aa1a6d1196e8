#include "tanagerstall/connection/tanagerstall_http_client.hpp"

#include "tanagerstall/internal/tanagerstall_fiber_context.hpp"
#include "tanagerstall/internal/tanagerstall_socket_peek.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>

namespace tanagerstall {

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using Parser = http::response_parser<http::buffer_body>;

namespace {

constexpr std::size_t kReadBytes = 16UL * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
/// The most that is read ahead of the parser. It has to hold a whole head, a
/// chunk's extensions or the trailers, which the parser takes at once.
constexpr std::size_t kMaxReadAheadBytes = 2UL * kMaxHeadBytes;
constexpr std::uint64_t kFetchMaxBytes = 64ULL * 1024 * 1024;

/// The interim responses that may precede a response.
constexpr int kMaxInterimResponses = 3;
constexpr unsigned kSwitchingProtocols = 101;

/// How long sent data may stay unacknowledged before the system discards it and
/// closes the connection, in milliseconds.
using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Sets whether closing the socket resets the connection and discards what has
/// not been delivered.
void
SetDiscardOnClose(asio::ip::tcp::socket& aSocket, bool aIsDiscarded)
{
  beast::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(aIsDiscarded, 0), ignored);
}

TransportError
Malformed(const char* aDetail)
{
  return { TransportFault::Malformed, aDetail };
}

/// Returns whether the body is coded in no way, or in chunks. Other codings
/// aren't decoded, and their name ends with this connection.
bool
HasKnownCoding(const http::fields& aFields)
{
  auto [begin, end] = aFields.equal_range(http::field::transfer_encoding);
  return begin == end ||
         (std::next(begin) == end && beast::iequals(begin->value(), "chunked"));
}

/// Checks what the parser accepts though no response may contain it (RFC 9110,
/// section 15; RFC 9112, section 6.1). A status outside of the valid classes
/// would be taken for an interim response or be relayed to the caller.
std::optional<TransportError>
CheckHead(const Parser::value_type& aMessage)
{
  unsigned status = aMessage.result_int();
  if (status < 100 || status > 599) {
    return Malformed("the status is not valid");
  }
  if (status == kSwitchingProtocols) {
    return Malformed("a change of protocol was not asked for");
  }
  if (!HasKnownCoding(aMessage)) {
    return Malformed("the transfer coding is not known");
  }
  return std::nullopt;
}

TransportError
ToTransportError(const beast::error_code& aError, bool aWasCancelled)
{
  auto with = [&](TransportFault aFault) {
    return TransportError{ aFault, aError.message() };
  };
  if (aWasCancelled) {
    return with(TransportFault::Cancelled);
  }
  if (aError == beast::error::timeout) {
    return with(TransportFault::Timeout);
  }
  if (aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    return with(TransportFault::ConnectionLost);
  }
  if (aError == http::error::buffer_overflow ||
      aError == http::error::body_limit ||
      aError == http::error::header_limit) {
    return with(TransportFault::TooLarge);
  }
  if (aError.category() ==
      http::make_error_code(http::error::bad_version).category()) {
    return with(TransportFault::Malformed);
  }
  return with(TransportFault::ConnectionLost);
}

} // namespace

struct HttpConnection::State
{
  explicit State(Fiber& aFiber)
    : fiber_(&aFiber)
    , stream_(aFiber.GetContext().io_)
  {
  }

  asio::yield_context& Yield() { return fiber_->GetContext().yield_; }

  void Prepare(const HttpRequest& aRequest)
  {
    message_ = {};
    message_.version(11);
    message_.method_string(aRequest.method_);
    message_.target(aRequest.target_);
    message_.set(http::field::host, host_);
    for (const auto& header : aRequest.headers_) {
      message_.set(header.name_, header.value_);
    }
    body_ = aRequest.body_;
    message_.body() = { body_.Text().data(), body_.size() };
    message_.prepare_payload();
  }

  /// Gives back what the last request took. A pooled connection may stay idle
  /// for long.
  void ReleaseRequest()
  {
    message_ = {};
    body_.clear();
  }

  Fiber* fiber_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{ kMaxReadAheadBytes };
  std::optional<Parser> parser_;
  std::string host_;
  /// Shared with the request's other attempts.
  SharedBody body_;
  http::request<http::span_body<const char>> message_;
  std::array<char, kReadBytes> chunk_{};
  bool wasCancelled_ = false;
  /// Whether a send of StartSend() is in progress or has failed.
  bool isSending_ = false;
  bool isDeliveryLimited_ = false;
};

HttpConnection::HttpConnection(std::shared_ptr<State> aState)
  : state_(std::move(aState))
{
}

HttpConnection::~HttpConnection()
{
  if (state_->isDeliveryLimited_ && state_->parser_ &&
      state_->parser_->is_done()) {
    SetDiscardOnClose(state_->stream_.socket(), false);
  }
  // Ends a send in progress, which would otherwise outlive the connection.
  state_->stream_.close();
}

void
HttpConnection::LimitDelivery(Duration aWithin)
{
  auto& socket = state_->stream_.socket();
  state_->isDeliveryLimited_ = true;
  // Set before anything is sent, so that it also holds if the process ends.
  SetDiscardOnClose(socket, true);
  auto milliseconds = std::max<std::int64_t>(1, WholeMilliseconds(aWithin));
  beast::error_code ignored;
  socket.set_option(UserTimeout(static_cast<int>(milliseconds)), ignored);
}

void
HttpConnection::SetFiber(Fiber& aFiber)
{
  state_->fiber_ = &aFiber;
}

auto
HttpConnection::Connect(Fiber& aFiber,
                        const Address& aAddress,
                        Duration aTimeout)
  -> Result<std::unique_ptr<HttpConnection>>
{
  auto state = std::make_shared<State>(aFiber);
  beast::error_code error;
  auto host = asio::ip::make_address(aAddress.host_, error);
  if (!error) {
    state->stream_.expires_after(aTimeout);
    state->stream_.async_connect(asio::ip::tcp::endpoint(host, aAddress.port_),
                                 state->Yield()[error]);
  }
  if (error) {
    return tl::make_unexpected(
      TransportError{ TransportFault::ConnectFailed, error.message() });
  }
  state->stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  state->host_ = aAddress.ToString();
  return std::unique_ptr<HttpConnection>(new HttpConnection(std::move(state)));
}

auto
HttpConnection::Send(const HttpRequest& aRequest, Duration aTimeout)
  -> Result<void>
{
  state_->Prepare(aRequest);
  beast::error_code error;
  state_->stream_.expires_after(aTimeout);
  http::async_write(state_->stream_, state_->message_, state_->Yield()[error]);
  state_->ReleaseRequest();
  if (error) {
    return tl::make_unexpected(ToTransportError(error, state_->wasCancelled_));
  }
  return {};
}

void
HttpConnection::StartSend(const HttpRequest& aRequest, Duration aTimeout)
{
  state_->Prepare(aRequest);
  state_->isSending_ = true;
  state_->stream_.expires_after(aTimeout);
  http::async_write(
    state_->stream_,
    state_->message_,
    [state = state_](const beast::error_code& aError, std::size_t /*aBytes*/) {
      state->isSending_ = static_cast<bool>(aError);
      state->ReleaseRequest();
    });
}

auto
HttpConnection::ReadHead(Duration aTimeout) -> Result<HttpResponse>
{
  state_->stream_.expires_after(aTimeout);
  return ReadNextHead();
}

auto
HttpConnection::ReadNextHead() -> Result<HttpResponse>
{
  state_->parser_.emplace();
  state_->parser_->header_limit(kMaxHeadBytes);
  state_->parser_->body_limit(boost::none);
  beast::error_code error;
  http::async_read_header(
    state_->stream_, state_->buffer_, *state_->parser_, state_->Yield()[error]);
  if (error) {
    return tl::make_unexpected(ToTransportError(error, state_->wasCancelled_));
  }
  const auto& message = state_->parser_->get();
  if (auto fault = CheckHead(message)) {
    return tl::make_unexpected(*fault);
  }
  HttpResponse response;
  response.status_ = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers_.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return response;
}

auto
HttpConnection::ReadFinalHead(Duration aTimeout) -> Result<HttpResponse>
{
  state_->stream_.expires_after(aTimeout);
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    auto head = ReadNextHead();
    if (!head || !head->IsInterim()) {
      return head;
    }
  }
  return tl::make_unexpected(Malformed("too many interim responses"));
}

auto
HttpConnection::ReadBody(Duration aTimeout)
  -> Result<std::optional<std::string>>
{
  return ReadBodyPart(aTimeout);
}

auto
HttpConnection::ReadBodyPart(std::optional<Duration> aEachRead)
  -> Result<std::optional<std::string>>
{
  Parser& parser = *state_->parser_;
  auto& body = parser.get().body();
  while (!parser.is_done()) {
    body.data = state_->chunk_.data();
    body.size = state_->chunk_.size();
    beast::error_code error;
    if (aEachRead) {
      state_->stream_.expires_after(*aEachRead);
    }
    http::async_read_some(
      state_->stream_, state_->buffer_, parser, state_->Yield()[error]);
    if (error && error != http::error::need_buffer) {
      return tl::make_unexpected(
        ToTransportError(error, state_->wasCancelled_));
    }
    std::size_t length = state_->chunk_.size() - body.size;
    if (length > 0) {
      return std::optional(std::string(state_->chunk_.data(), length));
    }
  }
  // A reset is reported once: if the send got it, the read sees an orderly end.
  if (parser.need_eof() && state_->isSending_) {
    return tl::make_unexpected(
      TransportError{ TransportFault::ConnectionLost,
                      "the connection ended before the request was sent" });
  }
  return std::optional<std::string>();
}

auto
HttpConnection::ReadWhole(const ReadTimeout& aTimeout, std::uint64_t aMaxBytes)
  -> Result<HttpResponse>
{
  std::optional<Duration> eachRead;
  if (aTimeout.scope_ == ReadTimeout::Scope::EachRead) {
    eachRead = aTimeout.limit_;
  }
  auto response = ReadFinalHead(aTimeout.limit_);
  while (response) {
    auto part = ReadBodyPart(eachRead);
    if (!part) {
      return tl::make_unexpected(part.error());
    }
    if (!*part) {
      break;
    }
    if (response->body_.size() + (*part)->size() > aMaxBytes) {
      return tl::make_unexpected(TransportError{
        TransportFault::TooLarge, "the response body is too large" });
    }
    response->body_ += **part;
  }
  return response;
}

bool
HttpConnection::EndsWithConnection() const
{
  return state_->parser_->need_eof();
}

bool
HttpConnection::IsReusable() const
{
  return state_->parser_ && state_->parser_->is_done() &&
         state_->parser_->keep_alive() && !state_->isSending_ &&
         !state_->wasCancelled_ && state_->buffer_.size() == 0;
}

bool
HttpConnection::HasNoInput()
{
  return Peek(state_->stream_.socket()) == SocketState::NoData;
}

void
HttpConnection::Cancel()
{
  state_->wasCancelled_ = true;
  state_->stream_.cancel();
  state_->stream_.close();
}

tl::expected<HttpResponse, TransportError>
FetchHttp(Fiber& aFiber,
          const Address& aAddress,
          HttpRequest aRequest,
          Duration aTimeout)
{
  auto connection = HttpConnection::Connect(aFiber, aAddress, aTimeout);
  if (!connection) {
    return tl::make_unexpected(connection.error());
  }
  aRequest.headers_.push_back({ "Connection", "close" });
  if (auto sent = (*connection)->Send(aRequest, aTimeout); !sent) {
    return tl::make_unexpected(sent.error());
  }
  return (*connection)
    ->ReadWhole({ aTimeout, ReadTimeout::Scope::WholeResponse },
                kFetchMaxBytes);
}

} // namespace tanagerstall
