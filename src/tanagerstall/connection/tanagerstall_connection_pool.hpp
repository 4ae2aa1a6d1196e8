#ifndef TANAGERSTALL_CONNECTION_POOL_HPP_INCLUDED
#define TANAGERSTALL_CONNECTION_POOL_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_client.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// Idle keep-alive connections to upstreams, keyed by the replica's
/// incarnation. Not thread-safe: each traffic thread has its own pool.
class ConnectionPool
{
public:
  struct Lease
  {
    std::unique_ptr<HttpConnection> connection_;
    /// Whether the connection has carried an earlier request.
    bool isReused_ = false;
  };

  explicit ConnectionPool(Clock aClock);

  /// Removes an idle connection to the replica from the pool and returns it.
  /// Only connections that have been idle for at most `aMaxIdle` and have
  /// received no input since qualify; nullopt if there is none.
  std::optional<Lease> TakeIdle(Fiber& aFiber,
                                const std::string& aReplica,
                                Duration aMaxIdle);
  /// Opens a new connection.
  tl::expected<Lease, TransportError> Connect(Fiber& aFiber,
                                              const Address& aAddress,
                                              Duration aTimeout);
  /// Puts a connection into the pool, for reuse within `aFor`.
  void Keep(const std::string& aReplica,
            std::unique_ptr<HttpConnection> aConnection,
            Duration aFor);
  /// Closes the connections to replicas for which `aIsWanted` returns false,
  /// and those whose keep-alive time has passed.
  void Trim(const std::function<bool(const std::string& aReplica)>& aIsWanted);

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpConnection> connection_;
    TimePoint idleSince_;
    TimePoint expiresAt_;
  };

  Clock clock_;
  /// By replica; the most recently used connection is last.
  std::map<std::string, std::vector<IdleConnection>> idle_;
};

/// Returns how long the connection of this response may be kept open: the
/// timeout of its Keep-Alive header less a margin for network delay, at most
/// the default, which also applies without a header.
Duration
KeepAliveTimeOf(const HttpResponse& aResponse);

} // namespace tanagerstall

#endif
