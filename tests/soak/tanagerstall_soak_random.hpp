#ifndef TANAGERSTALL_SOAK_RANDOM_HPP_INCLUDED
#define TANAGERSTALL_SOAK_RANDOM_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>

namespace tanagerstall::soak {

/// Random numbers from one seed.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /// Returns an integer from `aLow` to `aHigh`, both included.
  int Between(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<int>(aLow, aHigh)(engine_);
  }

  bool Chance(double aProbability)
  {
    return std::bernoulli_distribution(aProbability)(engine_);
  }

  std::chrono::milliseconds Between(std::chrono::milliseconds aLow,
                                    std::chrono::milliseconds aHigh)
  {
    return std::chrono::milliseconds(
      Between(static_cast<int>(aLow.count()), static_cast<int>(aHigh.count())));
  }

  /// Returns a random element of a list that isn't empty.
  template<class List>
  auto& Pick(List& aList)
  {
    return aList[static_cast<std::size_t>(
      Between(0, static_cast<int>(std::size(aList)) - 1))];
  }

  template<class List>
  void Shuffle(List& aList)
  {
    std::shuffle(std::begin(aList), std::end(aList), engine_);
  }

private:
  std::mt19937_64 engine_;
};

} // namespace tanagerstall::soak

#endif
