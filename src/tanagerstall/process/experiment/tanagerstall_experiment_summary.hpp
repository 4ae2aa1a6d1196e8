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
  /// The time from arrival to the first token, or the deadline if there was no
  /// token.
  Duration firstToken_;
  bool isComplete_ = false;
  bool isRefused_ = false;
};

/// Counts requests by outcome and computes the percentiles of their times. The
/// fields about upstreams and the link stay 0.
ExperimentResult
SummariseRequests(const ExperimentCase& aCase,
                  const std::vector<RequestEnd>& aEnds);

} // namespace tanagerstall

#endif
