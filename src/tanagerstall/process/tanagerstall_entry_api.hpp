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

/// Handles the requests that address the entry itself: discovery, announcements
/// of upstreams, reclaim notices and metrics. Runs on traffic threads.
class EntryApi
{
public:
  struct Hooks
  {
    std::function<std::shared_ptr<const RoutingSnapshot>()> snapshot_;
    std::function<void(const UpstreamInfo&)> announce_;
    std::function<bool()> isDraining_;
    /// Starts a drain that must end within the given time.
    std::function<void(Duration)> reclaim_;
  };

  struct Tokens
  {
    /// Required for reclaim notices. If it is empty, all are refused.
    std::string operator_;
    /// Required for announcements. If it is empty, everyone who can reach the
    /// entry may announce upstreams.
    std::string upstream_;
  };

  EntryApi(std::string aEntryId,
           Tokens aTokens,
           Clock aClock,
           Metrics& aMetrics,
           Hooks aHooks);

  /// Responds to a request for one of the entry's own paths. Returns false for
  /// any other path.
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
