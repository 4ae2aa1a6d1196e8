#ifndef TANAGERSTALL_REQUEST_PARSER_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_PARSER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_client_limits.hpp"
#include "tanagerstall/connection/tanagerstall_http_message.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

namespace tanagerstall {

/// The limits of one message.
struct MessageLimits
{
  std::uint32_t maxHeadBytes_ = 16 * 1024;
  std::uint64_t maxBodyBytes_ = 4ULL * 1024 * 1024;
  /// Chunk sizes, extensions and trailers: this many bytes, and
  /// kOverheadPerBodyByte more for each byte of the body.
  std::uint64_t maxChunkOverheadBytes_ = 64ULL * 1024;
};

/// The holder that a message is charged to.
struct MessageCharge
{
  std::shared_ptr<MemoryBudget> memory_;
  std::string address_;
};

/// Reads a request from bytes as they arrive. Holds no more than the limits
/// and what it has charged to the budget. Does no I/O.
class RequestParser
{
public:
  enum class Progress
  {
    NeedsBytes,
    /// Nothing was taken; may be tried again once memory is free.
    NeedsMemory,
    Done,
    Failed
  };

  RequestParser(boost::beast::flat_buffer& aBuffer,
                const MessageLimits& aLimits,
                const MessageCharge& aCharge);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Takes what is in the buffer, and leaves what follows the request.
  Progress Advance();
  /// The number of bytes to read into the buffer next; 0 if it is full, after
  /// which the request has failed.
  std::size_t Wanted();
  bool HasHead() const;
  /// After Progress::Failed and Progress::NeedsMemory.
  ClientFault Fault() const;

  /// After Progress::Done. The body holds its charge until it is destroyed.
  HttpRequest TakeRequest();
  bool KeepsAlive() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
