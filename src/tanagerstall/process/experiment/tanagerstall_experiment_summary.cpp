#include "tanagerstall/process/experiment/tanagerstall_experiment_summary.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace tanagerstall {

namespace {

using std::chrono::milliseconds;

FirstTokenTimes
Percentiles(std::vector<Duration> aTimes)
{
  FirstTokenTimes times;
  times.count_ = aTimes.size();
  if (aTimes.empty()) {
    return times;
  }
  std::sort(aTimes.begin(), aTimes.end());
  auto percentile = [&](double aShare) {
    auto rank = static_cast<std::size_t>(
      std::ceil(aShare * static_cast<double>(aTimes.size())));
    return std::chrono::round<milliseconds>(
      aTimes[std::max<std::size_t>(rank, 1) - 1]);
  };
  times.p50_ = percentile(0.50);
  times.p95_ = percentile(0.95);
  times.p99_ = percentile(0.99);
  return times;
}

} // namespace

ExperimentResult
SummariseRequests(const ExperimentCase& aCase,
                  const std::vector<RequestEnd>& aEnds)
{
  ExperimentResult result;
  result.mix_ = aCase.mix_.name_;
  result.scenario_ = aCase.scenario_.name_;
  result.policy_ = aCase.policyName_;
  result.seed_ = aCase.seed_;
  std::array<std::vector<Duration>, kWorkClasses> times;
  std::vector<Duration> small;
  for (const auto& end : aEnds) {
    auto workClass = end.item_.class_;
    times[static_cast<std::size_t>(workClass)].push_back(end.firstToken_);
    if (workClass != WorkClass::Plain && end.item_.isSmallOrganisation_) {
      small.push_back(end.firstToken_);
    }
    bool isWithinTarget =
      end.isComplete_ && end.firstToken_ <= aCase.mix_.firstTokenTarget_;
    ++result.requests_;
    result.answered_ += end.isComplete_ ? 1 : 0;
    result.refused_ += end.isRefused_ ? 1 : 0;
    result.expired_ += !end.isComplete_ && !end.isRefused_ ? 1 : 0;
    result.withinTarget_ += isWithinTarget ? 1 : 0;
  }
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    result.firstToken_[i] = Percentiles(std::move(times[i]));
  }
  result.smallOrganisations_ = Percentiles(std::move(small));
  return result;
}

} // namespace tanagerstall
