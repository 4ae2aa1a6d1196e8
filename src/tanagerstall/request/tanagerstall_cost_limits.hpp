#ifndef TANAGERSTALL_COST_LIMITS_HPP_INCLUDED
#define TANAGERSTALL_COST_LIMITS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <map>
#include <mutex>
#include <string>

namespace tanagerstall {

/// The rate that an organisation may use over all entries, in its own unit.
struct CostLimit
{
  double ratePerSecond_ = 0.0;
  double burst_ = 0.0;
};

/// What an entry asks of an organisation's limit.
struct CostGrantRequest
{
  /// Cost that it may still admit.
  double held_ = 0.0;
  /// Cost of requests that wait for it.
  double due_ = 0.0;
  /// Cost that it would like to be granted, what is due included.
  double need_ = 0.0;
  /// Cost that it took for itself since it was last answered.
  double taken_ = 0.0;
  /// Cost that it was granted and gives back.
  double returned_ = 0.0;

  /// Whether a grant is wanted, and not only something told.
  bool HasDemand() const { return need_ > 0.0; }

  bool operator==(const CostGrantRequest&) const = default;
};

/// Cost by organisation.
using CostByName = std::map<std::string, double>;
using CostGrantRequests = std::map<std::string, CostGrantRequest>;

enum class CostDecision
{
  Admitted,
  /// Nothing is held here, but control may grant more.
  InsufficientGrant,
  /// The limit over all entries is used up.
  Exhausted
};

/// Admits requests at an entry against grants from control, which keeps the
/// limit over all entries. For organisations that send many times their usual,
/// and for small ones whose requests are large. Safe from any thread.
class CostLimits
{
public:
  /// Notes that a request asks for `aCost`, and that it no longer waits.
  void AddWaiting(const std::string& aOrganisation, double aCost);
  void RemoveWaiting(const std::string& aOrganisation, double aCost);
  /// Takes `aCost` if as much is held. Without a limit everything is admitted.
  CostDecision TryAdmit(const std::string& aOrganisation,
                        const CostLimit& aLimit,
                        double aCost,
                        TimePoint aNow);
  /// Whether the leader may be asked at once for what requests wait for. All
  /// entries together ask a bounded number of times in a second.
  bool TakeRequestToken(TimePoint aNow);
  /// What to ask the leader for now. An ask that is under way isn't repeated.
  CostGrantRequests NextGrantRequests(TimePoint aNow);
  /// Takes in the leader's answer to asks.
  void ApplyGrants(const CostByName& aGrants, std::uint32_t aEntries);

private:
  struct Account
  {
    CostLimit limit_;
    double held_ = 0.0;
    /// Cost a second that was asked for lately, and the largest request.
    double rate_ = 0.0;
    double waiting_ = 0.0;
    double recent_ = 0.0;
    TimePoint recentSince_;
    TimePoint refilledAt_;
    TimePoint requestedAt_;
    /// What requests waited for at the last ask.
    double requestedDue_ = 0.0;
    /// What the account grew by without a grant, and how much of that the last
    /// ask told.
    double taken_ = 0.0;
    double reportedTaken_ = 0.0;
    bool hasPendingRequest_ = false;
    /// Whether the last asks found no leader, and since when.
    bool isUnanswered_ = false;
    TimePoint unansweredSince_;
    bool isExhausted_ = false;
  };

  static double TargetOf(const Account& aAccount);
  void RefillWithoutLeader(Account& aAccount, TimePoint aNow) const;

  std::mutex mutex_;
  std::map<std::string, Account> accounts_;
  std::uint32_t entries_ = 1;
  /// Asks that may be made at once, as of a time.
  double requestTokens_ = kGrantRequestBurst;
  TimePoint requestTokensAt_;

  static constexpr double kGrantRequestBurst = 4.0;
};

/// Keeps the organisations' limits over all entries at the leader. A token
/// bucket each, out of which entries are granted what they ask for.
class CostLeases
{
public:
  /// `aSlack`: cost that may be admitted beyond a burst, in any window.
  void SetLimit(const std::string& aOrganisation,
                const CostLimit& aLimit,
                double aSlack);
  /// Begins anew as leader. What an earlier leader granted isn't known, but the
  /// longer ago that was, the less of it counts.
  void StartLeading(TimePoint aNow);
  /// Notes that an entry is in touch, and what it gives back and took. What
  /// one that isn't in touch takes for itself is kept back from the others.
  void RecordReport(const std::string& aEntry,
                    const CostGrantRequests& aRequests,
                    TimePoint aNow);
  /// What an entry gets of what it asks for.
  CostByName Grant(const std::string& aEntry,
                   const CostGrantRequests& aRequests,
                   TimePoint aNow);

private:
  /// What is known of an entry's part of a limit.
  struct Share
  {
    double held_ = 0.0;
    TimePoint reportedAt_;
    /// Kept back for it while it was out of touch.
    double reserved_ = 0.0;
  };

  struct Bucket
  {
    CostLimit limit_;
    double slack_ = 0.0;
    double level_ = 0.0;
    TimePoint refilledAt_;
    bool isFilled_ = false;
    std::map<std::string, Share> shares_;
  };

  void Refill(Bucket& aBucket, TimePoint aNow) const;
  double ReserveForUnreachable(Bucket& aBucket, TimePoint aNow) const;

  TimePoint leaderSince_;
  /// When each entry was last in touch with this leader.
  std::map<std::string, TimePoint> contactedAt_;
  std::map<std::string, Bucket> buckets_;
};

} // namespace tanagerstall

#endif
