#ifndef TANAGERSTALL_METRICS_PAGE_HPP_INCLUDED
#define TANAGERSTALL_METRICS_PAGE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_client_limits.hpp"
#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"

#include <map>
#include <string>

namespace tanagerstall {

/// Current values by metric name.
using Gauges = std::map<std::string, double>;

/// Adds what the clients of a process use, and the faults of clients by reason.
void
AddClientGauges(Gauges& aGauges,
                const ClientLimits& aClients,
                std::size_t aConnections);

/// Returns the response to GET /metrics: the Prometheus text format, or JSON if
/// the request accepts application/json.
HttpResponse
MetricsResponse(const HttpRequest& aRequest,
                const MetricsSnapshot& aMetrics,
                const Gauges& aGauges);

} // namespace tanagerstall

#endif
