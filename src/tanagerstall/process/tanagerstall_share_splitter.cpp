#include "tanagerstall/process/tanagerstall_share_splitter.hpp"

#include <algorithm>
#include <vector>

namespace tanagerstall {

namespace {

/// Split equally, so that an entry that has had no demand can begin at once.
constexpr double kEqualPart = 0.4;

} // namespace

void
ShareSplitter::SetDemand(const std::string& aEntry, CountsByName aWanted)
{
  demand_[aEntry] = std::move(aWanted);
}

void
ShareSplitter::Retain(const std::vector<std::string>& aEntries)
{
  std::erase_if(demand_, [&](const auto& aIt) {
    return std::find(aEntries.begin(), aEntries.end(), aIt.first) ==
           aEntries.end();
  });
}

std::map<std::string, double>
ShareSplitter::SharesOf(const std::string& aEntry) const
{
  CountsByName totals;
  for (const auto& [entry, wanted] : demand_) {
    for (const auto& [organisation, rate] : wanted) {
      totals[organisation] += rate;
    }
  }
  std::map<std::string, double> shares;
  double equal =
    1.0 / static_cast<double>(std::max<std::size_t>(demand_.size(), 1));
  auto own = demand_.find(aEntry);
  for (const auto& [organisation, total] : totals) {
    double part = 0.0;
    if (own != demand_.end() && total > 0) {
      auto it = own->second.find(organisation);
      part = it == own->second.end()
               ? 0.0
               : static_cast<double>(it->second) / static_cast<double>(total);
    }
    shares[organisation] = kEqualPart * equal + (1.0 - kEqualPart) * part;
  }
  return shares;
}

} // namespace tanagerstall
