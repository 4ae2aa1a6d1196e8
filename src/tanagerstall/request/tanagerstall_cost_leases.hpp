#ifndef TANAGERSTALL_COST_LEASES_HPP_INCLUDED
#define TANAGERSTALL_COST_LEASES_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_cost_limits.hpp"

#include <map>
#include <set>
#include <string>

namespace tanagerstall {

/// Enforces the organisations' limits over all entries at the leader: one token
/// bucket per organisation, from which entries get grants. The work of a report
/// or a grant doesn't depend on the number of entries: what is summed over all
/// of them is summed at intervals.
class CostLeases
{
public:
  /// `aSlack` is the cost that may be admitted beyond the burst in any window.
  void SetLimit(const std::string& aOrganisation,
                const CostLimit& aLimit,
                double aSlack);
  /// Resets all state for a new leadership. The grants of an earlier leader are
  /// unknown, but affect the limit less the longer ago they were made.
  void StartLeading(TimePoint aNow);
  /// Records contact with an entry, the cost that it returns and the cost that
  /// it took without a grant. The cost that an unreachable entry may take is
  /// withheld from the others; it depends on the entry's share divisor.
  void RecordReport(const std::string& aEntry,
                    std::uint32_t aShareDivisor,
                    const CostGrantRequests& aRequests,
                    TimePoint aNow);
  /// Returns what an entry is granted of what it requests.
  CostByName Grant(const std::string& aEntry,
                   const CostGrantRequests& aRequests,
                   TimePoint aNow);
  /// Returns the organisations of whose limits so little is left that requests
  /// must not be admitted before their cost is granted.
  std::set<std::string> NearlyExhausted(TimePoint aNow);

private:
  /// An entry's part of a limit, as last reported.
  struct Share
  {
    double held_ = 0.0;
    TimePoint reportedAt_;
    /// The part of the entry's unreachable time for which it has reported the
    /// cost that it took.
    Duration settledTime_{ 0 };
  };

  struct Contact
  {
    TimePoint at_;
    std::uint32_t shareDivisor_ = 1;
    /// How long the entry was unreachable before its last report, in total.
    Duration unreachableTime_{ 0 };
  };

  struct Bucket
  {
    CostLimit limit_;
    double slack_ = 0.0;
    /// Cost that can be granted, as of `refilledAt_`.
    double level_ = 0.0;
    TimePoint refilledAt_;
    /// Whether the level was initialised for this leadership.
    bool isFilled_ = false;
    std::map<std::string, Share> shares_;
    /// What all entries hold: their sum at `heldAt_`, and the changes since.
    double held_ = 0.0;
    TimePoint heldAt_;
  };

  static double SizeOf(const Bucket& aBucket);
  static bool IsCurrent(const Share& aShare, TimePoint aNow);
  void Refill(Bucket& aBucket, TimePoint aNow);
  double Held(Bucket& aBucket, TimePoint aNow) const;
  double ReservedSince(const Bucket& aBucket, TimePoint aNow) const;
  static double ReservedFor(const Contact& aContact,
                            const Share& aShare,
                            const CostLimit& aLimit);
  void SumUnreachable(TimePoint aNow);

  TimePoint leaderSince_;
  /// The last report of each entry to this leader.
  std::map<std::string, Contact> contacts_;
  /// The sum of the shares of the entries that were unreachable at `summedAt_`.
  double unreachableShare_ = 0.0;
  TimePoint summedAt_;
  std::map<std::string, Bucket> buckets_;
};

} // namespace tanagerstall

#endif
