#ifndef TANAGERSTALL_EXPERIMENT_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment_model.hpp"
#include "tanagerstall/process/tanagerstall_work_class.hpp"
#include "tanagerstall/request/tanagerstall_policy_options.hpp"

#include <array>
#include <string>
#include <vector>

namespace tanagerstall {

/// What goes wrong in an experiment.
struct ExperimentScenario
{
  std::string name_;
  /// Times the usual rate of requests.
  double loadFactor_ = 1;
  bool hasStalls_ = false;
  bool hasStragglers_ = false;
  bool hasReclaim_ = false;
  /// How much more than usual the largest organisation sends, relative to the
  /// others.
  double surgeFactor_ = 1;
};

/// The upstreams, callers and prices of one kind of user.
struct ExperimentMix
{
  std::string name_;
  std::uint32_t modelReplicas_ = 12;
  std::uint32_t plainReplicas_ = 3;
  double requestsPerSecond_ = 7;
  double shortShare_ = 0.7;
  double plainShare_ = 0.1;
  std::chrono::milliseconds firstTokenTarget_{ 640 };
};

/// One run: a policy, under a scenario, with a seed.
struct ExperimentCase
{
  ExperimentMix mix_;
  ExperimentScenario scenario_;
  std::string policyName_;
  PolicyOptions policy_;
  std::uint64_t seed_ = 1;
  std::chrono::seconds length_{ 300 };
};

/// Times to the first token. A request without one counts with its deadline.
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
  /// Short and long work of the three small organisations.
  FirstTokenTimes smallOrganisations_{};
  std::uint64_t requests_ = 0;
  /// Answered whole before the deadline.
  std::uint64_t answered_ = 0;
  /// Whole, with the first token within the target.
  std::uint64_t withinTarget_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t expired_ = 0;
  std::uint64_t moves_ = 0;
  /// Prompt tokens that upstreams had to read.
  std::uint64_t readTokens_ = 0;
  std::uint64_t recomputedTokens_ = 0;
  std::uint64_t linkBytes_ = 0;
  /// Of the replicas and the link, in euros.
  double cost_ = 0;

  double ShareWithinTarget() const;
  /// Euros for a thousand requests answered within the target.
  double CostPerThousand() const;
};

std::vector<ExperimentScenario>
ExperimentScenarios();
std::vector<ExperimentMix>
ExperimentMixes();
/// The baselines, the policy in use, and it without each of its parts.
std::vector<std::pair<std::string, PolicyOptions>>
ExperimentPolicies();

/// Runs one case; equal cases give equal results.
ExperimentResult
RunExperiment(const ExperimentCase& aCase);

} // namespace tanagerstall

#endif
