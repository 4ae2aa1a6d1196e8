#ifndef TANAGERSTALL_LENGTH_ESTIMATES_HPP_INCLUDED
#define TANAGERSTALL_LENGTH_ESTIMATES_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace tanagerstall {

/// Estimates the number of tokens of a response from the request and from
/// earlier responses to similar requests. Requests are similar if they have the
/// same service, organisation and size classes (powers of two) of prompt and
/// maximum length; with too few of them, those of all organisations are used.
class LengthEstimates
{
public:
  /// Returns the estimate, which never exceeds `aMaxTokens`.
  double Estimate(const std::string& aService,
                  const std::string& aOrganisation,
                  std::uint64_t aPromptTokens,
                  std::uint64_t aMaxTokens) const;
  /// Records that a response took `aTokens`.
  void Learn(const std::string& aService,
             const std::string& aOrganisation,
             std::uint64_t aPromptTokens,
             std::uint64_t aMaxTokens,
             std::uint64_t aTokens);

private:
  using Key = std::tuple<std::string, std::string, int, int>;
  struct Mean
  {
    /// Mean of the logarithms, which a single straggler hardly shifts.
    double logTokens_ = 0;
    std::uint64_t count_ = 0;
  };

  void Learn(const Key& aKey, std::uint64_t aTokens);

  std::map<Key, Mean> means_;
};

} // namespace tanagerstall

#endif
