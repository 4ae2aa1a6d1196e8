#ifndef TANAGERSTALL_NAMED_RATE_HPP_INCLUDED
#define TANAGERSTALL_NAMED_RATE_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
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

} // namespace tanagerstall

#endif
