#ifndef TANAGERSTALL_EXPERIMENT_WORKLOAD_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_WORKLOAD_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

constexpr std::size_t kExperimentEntries = 8;
constexpr TimePoint kExperimentStart{ std::chrono::hours(1) };

/// A request that an experiment makes.
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
  /// What the answer takes; the policy is not told.
  std::uint64_t answerTokens_ = 0;
};

/// A time in which an upstream hardly works.
struct StallPeriod
{
  TimePoint from_;
  TimePoint until_;
};

/// The requests of a case, in order of time. They depend on the seed alone,
/// so that every policy meets the same ones.
std::vector<WorkItem>
MakeWorkload(const ExperimentCase& aCase);

/// The stalls of a case, by the upstream's position.
std::map<std::size_t, std::vector<StallPeriod>>
MakeStalls(const ExperimentCase& aCase);

/// The upstreams of a mix: two failure domains in one region, one in another.
std::vector<UpstreamInfo>
MakeUpstreams(const ExperimentMix& aMix);

/// Where an entry stands.
std::string
EntryRegion(std::size_t aEntry);

} // namespace tanagerstall

#endif
