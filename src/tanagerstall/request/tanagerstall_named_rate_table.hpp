#ifndef TANAGERSTALL_NAMED_RATE_TABLE_HPP_INCLUDED
#define TANAGERSTALL_NAMED_RATE_TABLE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/request/tanagerstall_named_rate.hpp"

#include <map>

namespace tanagerstall {

/// The rate limits of replicas as all entries together know them, kept by the
/// leader: what was learnt last counts. Only replicas that name a limit, or did
/// so a short while ago, are in it. Does no I/O and reads no clock.
class NamedRateTable
{
public:
  /// The revisions of a table begin behind `aFirstRevision`, so that those of
  /// another leader differ.
  explicit NamedRateTable(std::uint64_t aFirstRevision);

  /// Records what an entry reported.
  void Record(const NamedRates& aRates, TimePoint aNow);
  /// Forgets what no entry has reported for a while.
  void Update(TimePoint aNow);
  /// Changes whenever the content does.
  std::uint64_t Revision() const { return revision_; }
  NamedRates Rates(TimePoint aNow) const;

private:
  struct Known
  {
    std::uint64_t startTimeMs_ = 0;
    std::optional<double> perSecond_;
    TimePoint learntAt_;
    TimePoint reportedAt_;
  };

  std::uint64_t revision_;
  std::map<std::string, Known> rates_;
};

} // namespace tanagerstall

#endif
