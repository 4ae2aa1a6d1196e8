#ifndef TANAGERSTALL_ENTRY_WORKING_SET_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_WORKING_SET_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// Requests per second that each entry reports, by the entry's id.
using RequestRates = std::map<std::string, double>;

/// Chooses the entries that callers are directed to: in each failure domain as
/// many as its load needs. The other entries stand by. The fewer entries share
/// the traffic, the more each one knows about the replicas' load and the
/// larger its part of an organisation's limit is. Every control process makes
/// nearly the same choice from the same reports. Does no I/O and reads no
/// clock; not thread-safe.
class EntryWorkingSet
{
public:
  /// Chooses again among the entries that serve requests.
  void Update(const std::vector<EntryInfo>& aServing,
              const RequestRates& aRates,
              TimePoint aNow);
  bool IsActive(const std::string& aEntry) const;
  std::size_t ActiveCount() const { return active_.size(); }
  /// Returns those of `aEntries` that are active, or all if none are.
  std::vector<EntryInfo> SelectActive(
    const std::vector<EntryInfo>& aEntries) const;
  /// Returns the number by which an entry divides what all entries share, for
  /// example a retry budget. The shares of all entries add up to at most one.
  std::uint32_t ShareDivisor(const std::string& aEntry) const;

private:
  struct Demand
  {
    /// Requests per second; rises at once and falls slowly.
    double rate_ = 0.0;
    TimePoint updatedAt_;
  };

  void UpdateDemand(const std::vector<EntryInfo>& aServing,
                    const RequestRates& aRates,
                    TimePoint aNow);

  std::map<std::string, Demand> demandByDomain_;
  std::set<std::string> active_;
  std::size_t serving_ = 0;
};

} // namespace tanagerstall

#endif
