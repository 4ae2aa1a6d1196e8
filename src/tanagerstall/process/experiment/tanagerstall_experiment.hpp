#ifndef TANAGERSTALL_EXPERIMENT_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment_model.hpp"
#include "tanagerstall/process/tanagerstall_work_class.hpp"
#include "tanagerstall/request/tanagerstall_policy_options.hpp"

#include <array>
#include <string>
#include <vector>

namespace tanagerstall {

/// The load and the faults of an experiment.
struct ExperimentScenario
{
  std::string name_;
  /// Multiplies the request rate of the mix.
  double loadFactor_ = 1;
  bool hasStalls_ = false;
  bool hasStragglers_ = false;
  bool hasReclaim_ = false;
  /// Multiplies the relative request rate of the largest organisation.
  double surgeFactor_ = 1;
};

/// The upstreams, the requests and the latency target of one kind of user.
struct ExperimentMix
{
  std::string name_;
  std::uint32_t modelReplicas_ = 12;
  std::uint32_t plainReplicas_ = 3;
  double requestsPerSecond_ = 7;
  /// The share of model requests that are short.
  double shortShare_ = 0.7;
  /// The share of all requests that go to the plain service.
  double plainShare_ = 0.1;
  std::chrono::milliseconds firstTokenTarget_{ 640 };
};

/// One run of the simulation.
struct ExperimentCase
{
  ExperimentMix mix_;
  ExperimentScenario scenario_;
  std::string policyName_;
  PolicyOptions policy_;
  std::uint64_t seed_ = 1;
  std::chrono::seconds length_{ 300 };
};

/// Percentiles of the time to first token. A request that never received a
/// token counts with its deadline.
struct FirstTokenTimes
{
  std::chrono::milliseconds p50_{};
  std::chrono::milliseconds p95_{};
  std::chrono::milliseconds p99_{};
  std::uint64_t count_ = 0;
};

struct ExperimentResult
{
  std::string mix_;
  std::string scenario_;
  std::string policy_;
  std::uint64_t seed_ = 0;
  std::array<FirstTokenTimes, kWorkClasses> firstToken_{};
  /// Short and long requests of the three small organisations.
  FirstTokenTimes smallOrganisations_{};
  std::uint64_t requests_ = 0;
  /// Requests that were answered completely before the deadline.
  std::uint64_t answered_ = 0;
  /// Answered requests whose first token met the target of the mix.
  std::uint64_t withinTarget_ = 0;
  std::uint64_t refused_ = 0;
  /// Requests that were neither refused nor answered completely in time.
  std::uint64_t expired_ = 0;
  /// Failed or stalled attempts that were replaced by another attempt.
  std::uint64_t moves_ = 0;
  /// Prompt tokens that upstreams processed, without cached prefixes.
  std::uint64_t readTokens_ = 0;
  /// Tokens read or written by attempts that did not complete.
  std::uint64_t recomputedTokens_ = 0;
  /// Bytes sent between the regions.
  std::uint64_t linkBytes_ = 0;
  /// The cost of the replicas and of the link between regions, in euros.
  double cost_ = 0;

  /// The share of all requests that were answered within the target, 0 to 1.
  double ShareWithinTarget() const;
  /// Euros per thousand requests answered within the target; 0 if there are
  /// none.
  double CostPerThousand() const;
};

std::vector<ExperimentScenario>
ExperimentScenarios();
std::vector<ExperimentMix>
ExperimentMixes();
/// The baseline policies, the default policy, and the default policy with each
/// of its features disabled in turn, by name.
std::vector<std::pair<std::string, PolicyOptions>>
ExperimentPolicies();

/// Simulates one case. Equal cases give equal results.
ExperimentResult
RunExperiment(const ExperimentCase& aCase);

} // namespace tanagerstall

#endif
