#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"

namespace tanagerstall {

double
ExperimentResult::ShareWithinTarget() const
{
  return requests_ == 0 ? 0
                        : static_cast<double>(withinTarget_) /
                            static_cast<double>(requests_);
}

double
ExperimentResult::CostPerThousand() const
{
  return withinTarget_ == 0 ? 0
                            : 1000 * cost_ / static_cast<double>(withinTarget_);
}

std::vector<ExperimentScenario>
ExperimentScenarios()
{
  return {
    { "steady", 1, false, false, false },
    { "rain", 2, false, false, false },
    { "rain-stalls", 2, true, false, false },
    { "stragglers", 1, false, true, false },
    { "rain-stragglers", 2, false, true, false },
    { "reclaim", 1, false, false, true },
    { "rain-reclaim", 2, false, false, true },
    { "surge", 2.2, false, false, false, 4 },
    { "all-faults", 2, true, true, true },
  };
}

std::vector<ExperimentMix>
ExperimentMixes()
{
  using std::chrono::milliseconds;
  return {
    { "fundacion", 12, 3, 4, 0.6, 0.1, milliseconds(2000) },
    { "hanbit", 18, 3, 9.5, 0.75, 0.15, milliseconds(640) },
  };
}

std::vector<std::pair<std::string, PolicyOptions>>
ExperimentPolicies()
{
  std::vector<std::pair<std::string, PolicyOptions>> policies{
    { "round-robin", BaselinePolicy(UpstreamChoice::RoundRobin) },
    { "random", BaselinePolicy(UpstreamChoice::Random) },
    { "least-outstanding", BaselinePolicy(UpstreamChoice::LeastOutstanding) },
    { "ours", PolicyOptions{} },
  };
  auto without = [&](const char* aName, bool PolicyOptions::*aPart) {
    PolicyOptions options;
    options.*aPart = !(options.*aPart);
    policies.emplace_back(aName, options);
  };
  without("-limits", &PolicyOptions::hasConcurrencyLimit_);
  without("-fairness", &PolicyOptions::hasFairQueueing_);
  without("-short-first", &PolicyOptions::hasShortFirst_);
  without("-reserve", &PolicyOptions::hasShortReservation_);
  without("-priority", &PolicyOptions::hasEnginePriority_);
  without("-lengths", &PolicyOptions::hasLengthEstimates_);
  without("-demotion", &PolicyOptions::hasDemotion_);
  without("-ejection", &PolicyOptions::hasEjection_);
  without("-moves", &PolicyOptions::hasMoves_);
  without("-early-refusal", &PolicyOptions::hasEarlyRefusal_);
  without("-affinity", &PolicyOptions::hasPrefixAffinity_);
  without("-region", &PolicyOptions::hasRegionPreference_);
  PolicyOptions least;
  least.choice_ = UpstreamChoice::LeastOutstanding;
  policies.emplace_back("-expected-completion", least);
  return policies;
}

} // namespace tanagerstall
