#ifndef TANAGERSTALL_ENTRY_SELECTION_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_SELECTION_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

namespace tanagerstall {

/// Where a caller is.
struct CallerLocation
{
  std::string region_;
  std::string failureDomain_;
};

/// The entries that a caller is told to use: those of its failure domain where
/// there are enough to lose one, else those of its region, else all. At most
/// `aLimit`, spread by the caller's place.
std::vector<EntryInfo>
SelectEntries(const std::vector<EntryInfo>& aEntries,
              const CallerLocation& aCaller,
              std::size_t aLimit);

} // namespace tanagerstall

#endif
