#ifndef TANAGERSTALL_EXPERIMENT_REPORT_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_REPORT_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"

#include <string>
#include <vector>

namespace tanagerstall {

using ExperimentResults = std::vector<ExperimentResult>;

/// All results, one for each seed, as one JSON document.
std::string
ExperimentJson(const ExperimentResults& aResults);

/// A Markdown table. Each row is the mean over the seeds of one mix, scenario
/// and policy.
std::string
ExperimentTable(const ExperimentResults& aResults);

/// An HTML page with a plot for each mix and scenario, and the table.
std::string
ExperimentPage(const ExperimentResults& aResults);

/// One result for each mix, scenario and policy: the mean over the seeds, in
/// order of first appearance.
ExperimentResults
MeanOverSeeds(const ExperimentResults& aResults);

} // namespace tanagerstall

#endif
