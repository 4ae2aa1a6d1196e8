#ifndef TANAGERSTALL_DECISION_BENCHMARK_HPP_INCLUDED
#define TANAGERSTALL_DECISION_BENCHMARK_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <vector>

namespace tanagerstall {

/// The time that the scheduler spends on one request: arrival, decision, one
/// progress report and completion.
struct DecisionCost
{
  std::size_t upstreams_ = 0;
  std::chrono::duration<double, std::micro> median_{};
  std::chrono::duration<double, std::micro> p99_{};
};

/// Measures the wall time of `aRequests` requests for each number of
/// upstreams.
std::vector<DecisionCost>
MeasureDecisions(const std::vector<std::size_t>& aUpstreams,
                 std::size_t aRequests);

/// Measures the wall time that admission takes for one request of an overloaded
/// service: the decision, and the observation of the request if it is sent.
DecisionCost
MeasureAdmission(std::size_t aReplicas, std::size_t aRequests);

} // namespace tanagerstall

#endif
