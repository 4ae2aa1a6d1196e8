#ifndef TANAGERSTALL_SHARE_SPLITTER_HPP_INCLUDED
#define TANAGERSTALL_SHARE_SPLITTER_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <map>
#include <string>

namespace tanagerstall {

/// Splits organisations' limits over the entries by what callers ask of each,
/// with an equal part set aside for demand that moves. The parts of all
/// entries add up to 1.
class ShareSplitter
{
public:
  /// Notes what callers of each organisation ask of an entry, a second.
  void SetDemand(const std::string& aEntry, CountsByName aWanted);
  /// Forgets the entries that aren't in use.
  void Retain(const std::vector<std::string>& aEntries);
  /// The parts of an entry; organisations without demand aren't named and are
  /// split equally.
  std::map<std::string, double> SharesOf(const std::string& aEntry) const;

private:
  std::map<std::string, CountsByName> demand_;
};

} // namespace tanagerstall

#endif
