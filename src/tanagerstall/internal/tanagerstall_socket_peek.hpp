#ifndef TANAGERSTALL_SOCKET_PEEK_HPP_INCLUDED
#define TANAGERSTALL_SOCKET_PEEK_HPP_INCLUDED

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tanagerstall {

/// The result that a read of a socket would have.
enum class SocketState
{
  /// The read would wait.
  NoData,
  HasData,
  /// The peer has closed the connection, or it has failed.
  Closed
};

/// Checks a socket without waiting and without consuming data. Leaves it in
/// non-blocking mode.
inline SocketState
Peek(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  auto count = aSocket.receive(boost::asio::buffer(&byte, 1),
                               boost::asio::ip::tcp::socket::message_peek,
                               error);
  if (error == boost::asio::error::would_block) {
    return SocketState::NoData;
  }
  return !error && count > 0 ? SocketState::HasData : SocketState::Closed;
}

} // namespace tanagerstall

#endif
