#ifndef TANAGERSTALL_EXPERIMENT_WORKLOAD_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_WORKLOAD_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

constexpr std::size_t kExperimentEntries = 8;
constexpr TimePoint kExperimentStart{ std::chrono::hours(1) };

/// A request of the simulated workload.
struct WorkItem
{
  TimePoint at_;
  std::size_t entry_ = 0;
  std::string organisation_;
  bool isSmallOrganisation_ = false;
  WorkClass class_ = WorkClass::Short;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t prefixHash_ = 0;
  std::uint64_t prefixTokens_ = 0;
  std::uint64_t maxTokens_ = 0;
  /// The length of the answer, which the policy does not know in advance.
  std::uint64_t answerTokens_ = 0;
};

/// A period in which an upstream makes almost no progress.
struct StallPeriod
{
  TimePoint from_;
  TimePoint until_;
};

/// The requests of a case in order of arrival. They do not depend on the
/// policy, so that all policies are compared on the same requests.
std::vector<WorkItem>
MakeWorkload(const ExperimentCase& aCase);

/// The stalls of a case, by the index of the upstream; empty in a scenario
/// without stalls.
std::map<std::size_t, std::vector<StallPeriod>>
MakeStalls(const ExperimentCase& aCase);

/// The upstreams of a mix: two failure domains in one region, one in another.
std::vector<UpstreamInfo>
MakeUpstreams(const ExperimentMix& aMix);

/// The region of an entry.
std::string
EntryRegion(std::size_t aEntry);

} // namespace tanagerstall

#endif
