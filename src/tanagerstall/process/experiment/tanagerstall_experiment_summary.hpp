#ifndef TANAGERSTALL_EXPERIMENT_SUMMARY_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_SUMMARY_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"
#include "tanagerstall/process/experiment/tanagerstall_experiment_workload.hpp"

#include <vector>

namespace tanagerstall {

/// How one request of an experiment ended.
struct RequestEnd
{
  const WorkItem& item_;
  /// From its arrival; the deadline for a request without a first token.
  Duration firstToken_;
  bool isComplete_ = false;
  bool isRefused_ = false;
};

/// Counts requests and the percentiles of their times. What concerns the
/// upstreams and the link is left at 0.
ExperimentResult
SummariseRequests(const ExperimentCase& aCase,
                  const std::vector<RequestEnd>& aEnds);

} // namespace tanagerstall

#endif
