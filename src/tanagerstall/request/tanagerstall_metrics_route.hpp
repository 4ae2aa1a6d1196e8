#ifndef TANAGERSTALL_METRICS_ROUTE_HPP_INCLUDED
#define TANAGERSTALL_METRICS_ROUTE_HPP_INCLUDED

#include "tanagerstall/process/metrics/tanagerstall_metrics_page.hpp"
#include "tanagerstall/request/tanagerstall_operator_api.hpp"

namespace tanagerstall {

/// Creates the route for GET /metrics of a control process. `aMetrics` has to
/// outlive the route.
OperatorRoute
MakeMetricsRoute(const Metrics& aMetrics, OperatorHooks aHooks);

} // namespace tanagerstall

#endif
