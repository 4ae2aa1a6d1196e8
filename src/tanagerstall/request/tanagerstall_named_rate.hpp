#ifndef TANAGERSTALL_NAMED_RATE_HPP_INCLUDED
#define TANAGERSTALL_NAMED_RATE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanagerstall {

/// What an entry has learnt of the rate limit that a replica names for all
/// entries together.
struct NamedRate
{
  std::string replica_;
  /// The incarnation of the replica.
  std::uint64_t startTimeMs_ = 0;
  /// In requests per second; nullopt if the limit has ended.
  std::optional<double> perSecond_;
  /// The time since the entry learnt it.
  std::chrono::milliseconds age_{ 0 };

  bool operator==(const NamedRate&) const = default;
};

using NamedRates = std::vector<NamedRate>;

/// Whether what was learnt at `aLearntAt` differs from what is known of the
/// replica's limit and is later: of a later incarnation, or learnt later.
template<class Known>
bool
IsNews(const NamedRate& aRate, TimePoint aLearntAt, const Known& aKnown)
{
  bool isSame = aRate.startTimeMs_ == aKnown.startTimeMs_ &&
                aRate.perSecond_ == aKnown.perSecond_;
  return !isSame && std::pair(aRate.startTimeMs_, aLearntAt) >
                      std::pair(aKnown.startTimeMs_, aKnown.learntAt_);
}

} // namespace tanagerstall

#endif
