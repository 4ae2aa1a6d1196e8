#include "tanagerstall/connection/tanagerstall_transport_error.hpp"

namespace tanagerstall {

const char*
ToString(TransportFault aFault)
{
  switch (aFault) {
    case TransportFault::ConnectFailed:
      return "connect failed";
    case TransportFault::Timeout:
      return "timeout";
    case TransportFault::ConnectionLost:
      return "connection lost";
    case TransportFault::Malformed:
      return "malformed message";
    case TransportFault::TooLarge:
      return "message too large";
    case TransportFault::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

} // namespace tanagerstall
