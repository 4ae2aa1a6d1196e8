#ifndef TANAGERSTALL_METRICS_PAGE_HPP_INCLUDED
#define TANAGERSTALL_METRICS_PAGE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"

#include <map>
#include <string>

namespace tanagerstall {

/// Values that are true at one moment, by name.
using Gauges = std::map<std::string, double>;

/// GET /metrics: the Prometheus text format, or JSON for a request that
/// accepts application/json.
HttpResponse
MetricsResponse(const HttpRequest& aRequest,
                const MetricsSnapshot& aMetrics,
                const Gauges& aGauges);

} // namespace tanagerstall

#endif
