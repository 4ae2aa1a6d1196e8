#ifndef TANAGERSTALL_LENGTH_ESTIMATES_HPP_INCLUDED
#define TANAGERSTALL_LENGTH_ESTIMATES_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace tanagerstall {

/// Guesses how many tokens an answer takes, from what its request says and
/// from earlier answers to requests like it.
class LengthEstimates
{
public:
  double Estimate(const std::string& aService,
                  const std::string& aOrganisation,
                  std::uint64_t aPromptTokens,
                  std::uint64_t aMaxTokens) const;
  void Learn(const std::string& aService,
             const std::string& aOrganisation,
             std::uint64_t aPromptTokens,
             std::uint64_t aMaxTokens,
             std::uint64_t aTokens);

private:
  using Key = std::tuple<std::string, std::string, int, int>;
  struct Mean
  {
    /// Of the logarithms, so that single stragglers hardly shift it.
    double logTokens_ = 0;
    std::uint64_t count_ = 0;
  };

  void Learn(const Key& aKey, std::uint64_t aTokens);

  std::map<Key, Mean> means_;
};

} // namespace tanagerstall

#endif
