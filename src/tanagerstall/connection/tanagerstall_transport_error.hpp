#ifndef TANAGERSTALL_TRANSPORT_ERROR_HPP_INCLUDED
#define TANAGERSTALL_TRANSPORT_ERROR_HPP_INCLUDED

#include <string>

namespace tanagerstall {

/// The kinds of failures of a connection.
enum class TransportFault
{
  ConnectFailed,
  Timeout,
  ConnectionLost,
  Malformed,
  TooLarge,
  Cancelled
};

struct TransportError
{
  TransportFault fault_;
  std::string detail_;
};

const char*
ToString(TransportFault aFault);

} // namespace tanagerstall

#endif
