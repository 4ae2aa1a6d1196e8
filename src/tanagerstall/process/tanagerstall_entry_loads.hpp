#ifndef TANAGERSTALL_ENTRY_LOADS_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_LOADS_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_working_set.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// The load that each entry last reported.
class EntryLoads
{
public:
  void Record(const EntryReport& aReport);
  /// Forgets all entries but these.
  void KeepOnly(const std::vector<EntryInfo>& aEntries);
  const RequestRates& Rates() const { return rates_; }
  /// The requests that all entries run at the replicas of a service.
  std::uint32_t Running(const std::string& aService) const;

private:
  RequestRates rates_;
  /// By entry and service.
  std::map<std::string, std::map<std::string, ServiceLoad>> services_;
};

} // namespace tanagerstall

#endif
