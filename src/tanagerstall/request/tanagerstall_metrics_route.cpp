#include "tanagerstall/request/tanagerstall_metrics_route.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

Gauges
GaugesOf(const std::vector<EntryInfo>& aEntries)
{
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
  for (const auto& entry : aEntries) {
    bool isFirst = newest == 0;
    oldest = isFirst ? entry.revision_ : std::min(oldest, entry.revision_);
    newest = std::max(newest, entry.revision_);
  }
  auto draining =
    std::count_if(aEntries.begin(),
                  aEntries.end(),
                  [](const EntryInfo& aEntry) { return aEntry.isDraining_; });
  return { { "entries", static_cast<double>(aEntries.size()) },
           { "entries_draining", static_cast<double>(draining) },
           { "entries_oldest_revision", static_cast<double>(oldest) },
           { "entries_newest_revision", static_cast<double>(newest) } };
}

} // namespace

OperatorRoute
MakeMetricsRoute(const Metrics& aMetrics, OperatorHooks aHooks)
{
  return [&aMetrics, hooks = std::move(aHooks)](
           HttpExchange& aExchange) -> std::optional<HttpResponse> {
    const HttpRequest& request = aExchange.Request();
    if (PathOf(request) != "/metrics" || request.method_ != "GET") {
      return std::nullopt;
    }
    auto entries =
      aExchange.GetFiber().Await<std::vector<EntryInfo>>(hooks.entries_);
    return MetricsResponse(request, aMetrics.Collect(), GaugesOf(entries));
  };
}

} // namespace tanagerstall
