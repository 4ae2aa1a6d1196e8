#include "tanagerstall/connection/tanagerstall_connection_pool.hpp"

#include <charconv>

namespace tanagerstall {

namespace {

constexpr Duration kDefaultKeepAlive = std::chrono::seconds(8);
/// An upstream in another region may close its end this long before the close
/// arrives here.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);

} // namespace

ConnectionPool::ConnectionPool(Clock aClock)
  : clock_(std::move(aClock))
{
}

std::optional<ConnectionPool::Lease>
ConnectionPool::TakeIdle(Fiber& aFiber,
                         const std::string& aReplica,
                         Duration aMaxIdle)
{
  auto it = idle_.find(aReplica);
  if (it == idle_.end()) {
    return std::nullopt;
  }
  TimePoint now = clock_.Now();
  while (!it->second.empty()) {
    IdleConnection idle = std::move(it->second.back());
    it->second.pop_back();
    bool isUsable = now < idle.expiresAt_ &&
                    now - idle.idleSince_ <= aMaxIdle &&
                    idle.connection_->HasNoInput();
    if (isUsable) {
      idle.connection_->SetFiber(aFiber);
      return Lease{ std::move(idle.connection_), true };
    }
  }
  return std::nullopt;
}

tl::expected<ConnectionPool::Lease, TransportError>
ConnectionPool::Connect(Fiber& aFiber,
                        const Address& aAddress,
                        Duration aTimeout)
{
  auto connection = HttpConnection::Connect(aFiber, aAddress, aTimeout);
  if (!connection) {
    return tl::make_unexpected(connection.error());
  }
  return Lease{ std::move(*connection), false };
}

void
ConnectionPool::Keep(const std::string& aReplica,
                     std::unique_ptr<HttpConnection> aConnection,
                     Duration aFor)
{
  TimePoint now = clock_.Now();
  if (aFor > Duration::zero()) {
    idle_[aReplica].push_back({ std::move(aConnection), now, now + aFor });
  }
}

void
ConnectionPool::Trim(
  const std::function<bool(const std::string& aReplica)>& aIsWanted)
{
  TimePoint now = clock_.Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const IdleConnection& aIt) {
      return now >= aIt.expiresAt_;
    });
    bool isWanted = !it->second.empty() && aIsWanted(it->first);
    it = isWanted ? std::next(it) : idle_.erase(it);
  }
}

Duration
KeepAliveTimeOf(const HttpResponse& aResponse)
{
  constexpr std::string_view kTimeout = "timeout=";
  std::string_view header = aResponse.Header("Keep-Alive");
  auto at = header.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  std::string_view digits = header.substr(at + kTimeout.size());
  unsigned seconds = 0;
  auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) {
    return kDefaultKeepAlive;
  }
  return std::min<Duration>(kDefaultKeepAlive,
                            std::chrono::seconds(seconds) - kKeepAliveMargin);
}

} // namespace tanagerstall
