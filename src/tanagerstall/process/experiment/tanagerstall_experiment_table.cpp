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
  // Name, load factor, stalls, stragglers, reclaim, surge factor.
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
  // Name, replicas of models and of plain services, requests per second, shares
  // of short and of plain requests, target.
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
  auto addWithout = [&](const char* aName, bool PolicyOptions::*aPart) {
    PolicyOptions options;
    options.*aPart = !(options.*aPart);
    policies.emplace_back(aName, options);
  };
  addWithout("-limits", &PolicyOptions::hasConcurrencyLimit_);
  addWithout("-fairness", &PolicyOptions::hasFairQueueing_);
  addWithout("-short-first", &PolicyOptions::hasShortFirst_);
  addWithout("-reserve", &PolicyOptions::hasShortReservation_);
  addWithout("-priority", &PolicyOptions::hasEnginePriority_);
  addWithout("-lengths", &PolicyOptions::hasLengthEstimates_);
  addWithout("-demotion", &PolicyOptions::hasDemotion_);
  addWithout("-ejection", &PolicyOptions::hasEjection_);
  addWithout("-moves", &PolicyOptions::hasMoves_);
  addWithout("-early-refusal", &PolicyOptions::hasEarlyRefusal_);
  addWithout("-affinity", &PolicyOptions::hasPrefixAffinity_);
  addWithout("-region", &PolicyOptions::hasRegionPreference_);
  PolicyOptions leastOutstanding;
  leastOutstanding.choice_ = UpstreamChoice::LeastOutstanding;
  policies.emplace_back("-expected-completion", leastOutstanding);
  return policies;
}

} // namespace tanagerstall
