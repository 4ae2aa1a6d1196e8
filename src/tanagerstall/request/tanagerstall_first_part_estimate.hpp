#ifndef TANAGERSTALL_FIRST_PART_ESTIMATE_HPP_INCLUDED
#define TANAGERSTALL_FIRST_PART_ESTIMATE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>

namespace tanagerstall {

/// Estimates the time to the first response part by the size of the prompt: a
/// wait that all requests of a rank have, plus a time for each token that all
/// ranks have in common. Learns from responses by moving averages, in which a
/// single response has a bounded effect.
class FirstPartEstimate
{
public:
  void Observe(std::uint32_t aRank,
               std::uint64_t aTokens,
               Duration aWait,
               TimePoint aNow);
  /// Returns zero while nothing is known of the rank.
  Duration Estimate(std::uint32_t aRank,
                    std::uint64_t aTokens,
                    TimePoint aNow) const;

private:
  struct RankMeans
  {
    double tokens_ = 0.0;
    double waitS_ = 0.0;
    std::uint32_t samples_ = 0;
    TimePoint sampledAt_;
  };

  std::map<std::uint32_t, RankMeans> ranks_;
  /// Moving averages over all ranks, of the deviations from the rank's means.
  double variance_ = 0.0;
  double covariance_ = 0.0;
};

} // namespace tanagerstall

#endif
