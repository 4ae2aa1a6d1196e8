#ifndef TANAGERSTALL_EXPERIMENT_REPORT_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_REPORT_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"

#include <string>
#include <vector>

namespace tanagerstall {

using ExperimentResults = std::vector<ExperimentResult>;

/// All results as one JSON document.
std::string
ExperimentJson(const ExperimentResults& aResults);

/// A Markdown table; each row is the mean over the seeds of one mix, scenario
/// and policy.
std::string
ExperimentTable(const ExperimentResults& aResults);

/// An HTML page with plots and the table.
std::string
ExperimentPage(const ExperimentResults& aResults);

/// Results of equal mix, scenario and policy merged into their means, in the
/// order of their first appearance.
ExperimentResults
MeanOverSeeds(const ExperimentResults& aResults);

} // namespace tanagerstall

#endif
