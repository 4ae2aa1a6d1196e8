#ifndef TANAGERSTALL_COST_LIMITS_HPP_INCLUDED
#define TANAGERSTALL_COST_LIMITS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// The rate that an organisation may use over all entries, in its own unit.
struct CostLimit
{
  double ratePerSecond_ = 0.0;
  double burst_ = 0.0;
};

/// Admits requests within this entry's part of each organisation's rate, for
/// an organisation that sends many times its usual. A token bucket whose size
/// follows the part that control leases. Plain state machine.
class CostLimits
{
public:
  /// The part of each organisation's limit that this entry may use until
  /// `aUntil`; `aFallback` from then on, and for those that aren't named.
  void SetShares(std::map<std::string, double> aShares,
                 double aFallback,
                 TimePoint aUntil);
  /// Takes `aCost`; otherwise gives the time until it would be there.
  std::optional<Duration> Take(const std::string& aOrganisation,
                               const CostLimit& aLimit,
                               double aCost,
                               TimePoint aNow);
  /// The cost that was asked for lately, a second.
  const CountsByName& Wanted(TimePoint aNow);

private:
  struct Bucket
  {
    double level_ = 0.0;
    TimePoint at_;
    bool isFilled_ = false;
    double wanted_ = 0.0;
  };

  double ShareOf(const std::string& aOrganisation, TimePoint aNow) const;

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, double> shares_;
  double fallback_ = 0.0;
  TimePoint sharesUntil_;
  TimePoint wantedSince_;
  CountsByName wanted_;
};

} // namespace tanagerstall

#endif
