#ifndef TANAGERSTALL_CONNECTION_POOL_HPP_INCLUDED
#define TANAGERSTALL_CONNECTION_POOL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_client.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// Kept connections to upstreams, by the replica's incarnation. For one
/// traffic thread.
class ConnectionPool
{
public:
  struct Lease
  {
    std::unique_ptr<HttpConnection> connection_;
    /// Whether an earlier request went over it.
    bool isReused_ = false;
  };

  explicit ConnectionPool(Clock aClock);

  /// A kept connection that has been idle for at most `aMaxIdle` and on which
  /// nothing has arrived, or nothing.
  std::optional<Lease> TakeIdle(Fiber& aFiber,
                                const std::string& aReplica,
                                Duration aMaxIdle);
  /// A new connection.
  tl::expected<Lease, TransportError> Connect(Fiber& aFiber,
                                              const Address& aAddress,
                                              Duration aTimeout);
  /// Keeps a connection that may be used again for `aFor`.
  void Keep(const std::string& aReplica,
            std::unique_ptr<HttpConnection> aConnection,
            Duration aFor);
  /// Closes the connections to replicas that are no longer wanted, and those
  /// that have been idle for too long.
  void Trim(const std::function<bool(const std::string& aReplica)>& aIsWanted);

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpConnection> connection_;
    TimePoint idleSince_;
    TimePoint expiresAt_;
  };

  Clock clock_;
  /// The one that was used last at the end.
  std::map<std::string, std::vector<IdleConnection>> idle_;
};

/// How long a response lets its connection be kept: what its Keep-Alive header
/// says less a margin for the way, or a default.
Duration
KeepAliveTimeOf(const HttpResponse& aResponse);

} // namespace tanagerstall

#endif
