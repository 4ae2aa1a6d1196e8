#ifndef TANAGERSTALL_SOCKET_PEEK_HPP_INCLUDED
#define TANAGERSTALL_SOCKET_PEEK_HPP_INCLUDED

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tanagerstall {

/// What a read of a socket would meet.
enum class SocketState
{
  /// Nothing yet.
  NoData,
  HasData,
  /// The other side has closed the connection, or it is broken.
  Closed
};

/// Looks at a socket, without waiting and without taking anything from it.
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
