#include "tanagerstall/request/tanagerstall_length_estimates.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace tanagerstall {

namespace {

constexpr std::uint64_t kMinSamples = 5;
/// Weight of the newest response in the moving average.
constexpr double kNewestWeight = 0.05;
/// Estimate without history, as a part of the maximum length.
constexpr double kDefaultShareOfMax = 0.5;
constexpr std::size_t kMaxKeys = 4096;
const std::string kAllOrganisations;

int
SizeClass(std::uint64_t aTokens)
{
  return static_cast<int>(std::bit_width(aTokens));
}

} // namespace

double
LengthEstimates::Estimate(const std::string& aService,
                          const std::string& aOrganisation,
                          std::uint64_t aPromptTokens,
                          std::uint64_t aMaxTokens) const
{
  auto most = static_cast<double>(aMaxTokens);
  for (const auto& organisation : { aOrganisation, kAllOrganisations }) {
    auto it = means_.find({ aService,
                            organisation,
                            SizeClass(aPromptTokens),
                            SizeClass(aMaxTokens) });
    if (it != means_.end() && it->second.count_ >= kMinSamples) {
      return std::min(most, std::exp(it->second.logTokens_));
    }
  }
  return most * kDefaultShareOfMax;
}

void
LengthEstimates::Learn(const std::string& aService,
                       const std::string& aOrganisation,
                       std::uint64_t aPromptTokens,
                       std::uint64_t aMaxTokens,
                       std::uint64_t aTokens)
{
  if (means_.size() >= kMaxKeys) {
    means_.clear();
  }
  for (const auto& organisation : { aOrganisation, kAllOrganisations }) {
    Learn({ aService,
            organisation,
            SizeClass(aPromptTokens),
            SizeClass(aMaxTokens) },
          aTokens);
  }
}

void
LengthEstimates::Learn(const Key& aKey, std::uint64_t aTokens)
{
  Mean& mean = means_[aKey];
  ++mean.count_;
  double weight =
    std::max(kNewestWeight, 1.0 / static_cast<double>(mean.count_));
  double logTokens = std::log(std::max(1.0, static_cast<double>(aTokens)));
  mean.logTokens_ += weight * (logTokens - mean.logTokens_);
}

} // namespace tanagerstall
