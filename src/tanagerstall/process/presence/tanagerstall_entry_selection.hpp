#ifndef TANAGERSTALL_ENTRY_SELECTION_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_SELECTION_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

namespace tanagerstall {

/// The location of a caller.
struct CallerLocation
{
  std::string region_;
  std::string failureDomain_;
};

/// Selects the entries that a caller should use, at most `aLimit`: those of its
/// failure domain if there are at least two, else those of its region, else
/// all. Entries that are draining or have weight 0 are left out.
std::vector<EntryInfo>
SelectEntries(const std::vector<EntryInfo>& aEntries,
              const CallerLocation& aCaller,
              std::size_t aLimit);

} // namespace tanagerstall

#endif
