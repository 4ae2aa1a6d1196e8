#ifndef TANAGERSTALL_ENTRY_API_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_API_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics_page.hpp"
#include "tanagerstall/version/tanagerstall_routing_snapshot.hpp"

#include <functional>
#include <memory>
#include <string>

namespace tanagerstall {

/// Answers what is asked of an entry itself: discovery, announcements of
/// upstreams, reclaim notices and metrics. Runs on traffic threads.
class EntryApi
{
public:
  struct Hooks
  {
    std::function<std::shared_ptr<const RoutingSnapshot>()> snapshot_;
    std::function<void(const UpstreamInfo&)> announce_;
    std::function<bool()> isDraining_;
    /// Starts a drain that has to end within the time.
    std::function<void(Duration)> reclaim_;
  };

  struct Tokens
  {
    /// Allows reclaim notices; without one they are refused.
    std::string operator_;
    /// Allows announcements; without one they are open to all who can reach
    /// the entry.
    std::string upstream_;
  };

  EntryApi(std::string aEntryId,
           Tokens aTokens,
           Clock aClock,
           Metrics& aMetrics,
           Hooks aHooks);

  /// Answers a request that is meant for the entry; false for any other.
  bool Handle(HttpExchange& aExchange);

private:
  HttpResponse Entries() const;
  HttpResponse Announce(const HttpRequest& aRequest);
  HttpResponse Reclaim(const HttpRequest& aRequest);
  HttpResponse ShowMetrics(const HttpRequest& aRequest) const;

  std::string entryId_;
  Tokens tokens_;
  Clock clock_;
  Metrics& metrics_;
  Hooks hooks_;
};

} // namespace tanagerstall

#endif
