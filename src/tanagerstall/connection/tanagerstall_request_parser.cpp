#include "tanagerstall/connection/tanagerstall_request_parser.hpp"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tanagerstall {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kReadBytes = 16UL * 1024;
/// The first buffer of a body whose length isn't declared.
constexpr std::size_t kFirstBodyBytes = 4UL * 1024;
/// Chunks of one byte have five bytes of overhead for each byte of the body.
constexpr std::uint64_t kOverheadPerBodyByte = 8;
/// A head is held by the parser, the request and the request to the upstream.
constexpr std::size_t kHeadCopies = 3;
/// What a header field takes in addition to its bytes, in all of them.
constexpr std::size_t kBytesPerField = 256;

/// A body and what it is charged to.
struct ChargedBody
{
  std::string text_;
  MemoryBudget::Charge charge_;
  MemoryBudget::Part part_;
};

} // namespace

struct RequestParser::State
{
  State(beast::flat_buffer& aBuffer,
        const MessageLimits& aLimits,
        const MessageCharge& aCharge)
    : buffer_(aBuffer)
    , limits_(aLimits)
    , charge_(aCharge.memory_, MemoryBudget::Use::Request)
    , part_(aCharge.memory_, MemoryBudget::Holder::Address, aCharge.address_)
  {
    parser_.header_limit(aLimits.maxHeadBytes_);
    parser_.body_limit(aLimits.maxBodyBytes_);
  }

  bool Fail(ClientFault aFault)
  {
    fault_ = aFault;
    return false;
  }

  /// Charges what the message holds now and `aBytes` of its body.
  bool ChargeBody(std::size_t aBytes)
  {
    std::size_t all = headBytes_ + buffer_.capacity() + aBytes;
    if (!part_.Resize(all)) {
      return Fail(ClientFault::AddressOutOfMemory);
    }
    if (!charge_.Resize(all)) {
      return Fail(ClientFault::OutOfMemory);
    }
    return true;
  }

  void TakeHead(std::size_t aConsumed)
  {
    const auto& message = parser_.get();
    std::size_t fields = 0;
    for (const auto& field : message) {
      request_.headers_.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
      ++fields;
    }
    request_.method_ = std::string(message.method_string());
    request_.target_ = std::string(message.target());
    headBytes_ = kHeadCopies * aConsumed + kBytesPerField * fields;
    parser_.eager(true);
    hasHead_ = true;
  }

  /// Charges the whole of a declared body before any of it is read.
  bool ChargeDeclared()
  {
    isDeclaredCharged_ =
      isDeclaredCharged_ || ChargeBody(static_cast<std::size_t>(
                              parser_.content_length().value_or(0)));
    return isDeclaredCharged_;
  }

  /// Makes room for the next bytes of a body whose length isn't declared, so
  /// that it never grows without a charge.
  bool ReserveBody(std::size_t aBytes)
  {
    if (!ChargeDeclared()) {
      return false;
    }
    std::string& body = parser_.get().body();
    std::size_t capacity = std::max(body.capacity(), kFirstBodyBytes);
    if (parser_.content_length() || body.size() + aBytes <= body.capacity()) {
      return true;
    }
    while (capacity < body.size() + aBytes) {
      capacity += capacity / 2;
    }
    capacity = std::min<std::size_t>(
      capacity,
      std::max<std::size_t>(limits_.maxBodyBytes_, body.size() + aBytes));
    // Both buffers exist while the body moves.
    if (!ChargeBody(capacity + body.capacity())) {
      return false;
    }
    body.reserve(capacity);
    return ChargeBody(body.capacity());
  }

  bool IsOverheadInLimit()
  {
    auto body = parser_.get().body().size();
    std::uint64_t overhead =
      bodyBytes_ - std::min<std::uint64_t>(body, bodyBytes_);
    return overhead <=
           limits_.maxChunkOverheadBytes_ + kOverheadPerBodyByte * body;
  }

  bool FailWith(const beast::error_code& aError)
  {
    if (aError == http::error::body_limit) {
      return Fail(ClientFault::BodyTooLarge);
    }
    if (aError == http::error::header_limit) {
      return Fail(ClientFault::HeadTooLarge);
    }
    return Fail(ClientFault::Malformed);
  }

  /// Takes bytes from the buffer. Returns false after a fault; sets
  /// `needsBytes_` if the rest of the buffer isn't enough.
  bool Take()
  {
    beast::error_code error;
    std::size_t taken = parser_.put(buffer_.data(), error);
    buffer_.consume(taken);
    needsBytes_ = error == http::error::need_more;
    if (error && !needsBytes_) {
      return FailWith(error);
    }
    if (!hasHead_) {
      head_ += taken;
      if (parser_.is_header_done()) {
        TakeHead(head_);
      }
      return true;
    }
    bodyBytes_ += taken;
    return IsOverheadInLimit() || Fail(ClientFault::ChunkOverhead);
  }

  beast::flat_buffer& buffer_;
  MessageLimits limits_;
  http::request_parser<http::string_body> parser_;
  MemoryBudget::Charge charge_;
  MemoryBudget::Part part_;
  HttpRequest request_;
  ClientFault fault_ = ClientFault::Malformed;
  bool hasHead_ = false;
  bool needsBytes_ = false;
  bool isDeclaredCharged_ = false;
  std::size_t head_ = 0;
  std::size_t headBytes_ = 0;
  /// The bytes since the head, with all overhead.
  std::uint64_t bodyBytes_ = 0;
};

RequestParser::RequestParser(beast::flat_buffer& aBuffer,
                             const MessageLimits& aLimits,
                             const MessageCharge& aCharge)
  : state_(std::make_unique<State>(aBuffer, aLimits, aCharge))
{
}

RequestParser::~RequestParser() = default;

RequestParser::Progress
RequestParser::Advance()
{
  state_->needsBytes_ = false;
  while (!state_->parser_.is_done()) {
    if (state_->hasHead_ && !state_->ReserveBody(state_->buffer_.size())) {
      return Progress::NeedsMemory;
    }
    if (state_->buffer_.size() == 0 || state_->needsBytes_) {
      return Progress::NeedsBytes;
    }
    if (!state_->Take()) {
      return Progress::Failed;
    }
  }
  return Progress::Done;
}

std::size_t
RequestParser::Wanted()
{
  std::size_t limit = state_->limits_.maxHeadBytes_ + kReadBytes;
  if (state_->buffer_.size() >= limit) {
    // A head, a chunk's extensions or the trailers are taken as a whole.
    state_->fault_ = ClientFault::HeadTooLarge;
    return 0;
  }
  std::size_t wanted = std::min(kReadBytes, limit - state_->buffer_.size());
  if (!state_->hasHead_ && state_->buffer_.size() > 0) {
    state_->headBytes_ = state_->buffer_.size() + wanted;
    if (!state_->ChargeBody(0)) {
      return 0;
    }
  }
  return wanted;
}

bool
RequestParser::HasHead() const
{
  return state_->hasHead_;
}

ClientFault
RequestParser::Fault() const
{
  return state_->fault_;
}

HttpRequest
RequestParser::TakeRequest()
{
  auto body = std::make_shared<ChargedBody>();
  body->text_ = std::move(state_->parser_.get().body());
  body->charge_ = std::move(state_->charge_);
  body->part_ = std::move(state_->part_);
  state_->request_.body_ =
    SharedBody(std::shared_ptr<const std::string>(body, &body->text_));
  return std::move(state_->request_);
}

bool
RequestParser::KeepsAlive() const
{
  return state_->parser_.keep_alive();
}

} // namespace tanagerstall
