#ifndef TANAGERSTALL_COST_LIMITS_HPP_INCLUDED
#define TANAGERSTALL_COST_LIMITS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tanagerstall {

/// An organisation's rate limit over all entries, in the unit of its costs.
struct CostLimit
{
  double ratePerSecond_ = 0.0;
  double burst_ = 0.0;
};

/// An entry's request to the leader for a part of an organisation's limit, and
/// its report of what it holds, admitted and returns.
struct CostGrantRequest
{
  /// Cost that the entry may still admit.
  double held_ = 0.0;
  /// Cost of the requests that wait for a grant.
  double due_ = 0.0;
  /// Cost that the entry wants to be granted, including `due_`.
  double need_ = 0.0;
  /// Cost that the entry allowed itself without a grant since the last answer.
  double taken_ = 0.0;
  /// Granted cost that the entry returns unused.
  double returned_ = 0.0;

  /// Whether a grant is wanted; otherwise this only reports or returns cost.
  bool HasDemand() const { return need_ > 0.0; }

  bool operator==(const CostGrantRequest&) const = default;
};

/// The part of its share of the rate that an entry may admit without a grant
/// while the leader is lost.
inline constexpr double kLeaderLostShare = 0.6;

/// Cost by organisation.
using CostByName = std::map<std::string, double>;
using CostGrantRequests = std::map<std::string, CostGrantRequest>;

/// How long after an entry's report the permission of the leader's answer to it
/// holds. It is longer than the time between two reports of a busy entry and
/// their way.
inline constexpr Duration kAdvanceTime = std::chrono::milliseconds(300);
/// The time between two reports of a busy entry to the leader.
inline constexpr Duration kBusyReportInterval = std::chrono::milliseconds(200);

/// The leader's permission to admit requests before their cost is granted. An
/// entry asks for the cost with its next report.
struct AdvanceAdmission
{
  /// When the permission ends.
  TimePoint until_;
  /// The organisations that are excepted, because little of their limits is
  /// left.
  std::set<std::string> nearlyExhausted_;
};

/// Whether a request may be admitted.
enum class CostDecision
{
  Admitted,
  /// The entry holds too little, but the leader may grant more.
  InsufficientGrant,
  /// The limit over all entries is used up.
  Exhausted
};

/// Admits requests at an entry against grants from the leader, which enforces
/// the limit over all entries. While much of a limit is left, requests are
/// admitted first and granted afterwards. Designed for organisations that send
/// many times their usual load and for small ones with large requests.
/// Thread-safe.
class CostLimits
{
public:
  explicit CostLimits(std::uint64_t aSeed = 0)
    : random_(aSeed)
  {
  }

  /// Adds a waiting request of `aCost` to the demand.
  void AddWaiting(const std::string& aOrganisation, double aCost);
  /// Records that a request of `aCost` no longer waits.
  void RemoveWaiting(const std::string& aOrganisation, double aCost);
  /// Admits a request and deducts `aCost` if the entry holds as much. Without
  /// a limit, all requests are admitted.
  CostDecision TryAdmit(const std::string& aOrganisation,
                        const CostLimit& aLimit,
                        double aCost,
                        TimePoint aNow);
  /// Takes a token for an immediate request to the leader; false if none is
  /// left, or if a request for the organisation is pending or has just found
  /// its limit exhausted. This bounds the rate of such requests over all
  /// entries, and the part that one organisation can take.
  bool TakeRequestToken(const std::string& aOrganisation, TimePoint aNow);
  /// Returns the requests to send to the leader now. One that is pending isn't
  /// repeated before its timeout.
  CostGrantRequests NextGrantRequests(TimePoint aNow);
  /// Applies the leader's answer. `aShareDivisor` is the number by which this
  /// entry divides what all entries share.
  void ApplyGrants(const CostByName& aGrants,
                   std::uint32_t aShareDivisor,
                   const AdvanceAdmission& aAdvance = {});

private:
  struct Account
  {
    CostLimit limit_;
    /// Negative for cost that was admitted before it was granted.
    double held_ = 0.0;
    /// Smoothed demand, in cost per second.
    double rate_ = 0.0;
    /// Cost of the requests that wait for a grant.
    double waiting_ = 0.0;
    /// Smoothed cost of one request.
    double requestCost_ = 0.0;
    /// Demand since `recentSince_`.
    double recent_ = 0.0;
    TimePoint recentSince_;
    TimePoint refilledAt_;
    TimePoint requestedAt_;
    /// The `due_` of the last request.
    double requestedDue_ = 0.0;
    /// What the leader takes this entry to hold.
    double reportedHeld_ = 0.0;
    /// Cost added without a grant since the last answer.
    double taken_ = 0.0;
    /// The part of `taken_` that the last request reported.
    double reportedTaken_ = 0.0;
    bool hasPendingRequest_ = false;
    /// Whether no answer has arrived since a request at `unansweredSince_`.
    bool isUnanswered_ = false;
    TimePoint unansweredSince_;
    /// The part of a request's cost that suffices while the leader is lost.
    double lostThreshold_ = 1.0;
    /// Whether the last grant was less than the waiting requests needed.
    bool isExhausted_ = false;
  };

  bool AdmitsInAdvance(const std::string& aOrganisation,
                       const Account& aAccount,
                       TimePoint aNow) const;
  double TargetOf(const std::string& aOrganisation,
                  const Account& aAccount,
                  TimePoint aNow) const;
  static bool IsPending(const Account& aAccount, TimePoint aNow);
  std::optional<TimePoint> LeaderLostAt(const Account& aAccount,
                                        TimePoint aNow) const;
  static bool ShouldRequest(const Account& aAccount, TimePoint aNow);
  void RefillWithoutLeader(Account& aAccount, TimePoint aNow) const;
  bool Suffices(const std::string& aOrganisation,
                Account& aAccount,
                double aCost,
                TimePoint aNow);

  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, Account> accounts_;
  std::uint32_t shareDivisor_ = 1;
  AdvanceAdmission advance_;
  /// When the first request was sent that no answer of the leader followed.
  std::optional<TimePoint> unansweredSince_;
  /// Tokens for immediate requests to the leader, as of `requestTokensAt_`.
  double requestTokens_ = kGrantRequestBurst;
  TimePoint requestTokensAt_;

  static constexpr double kGrantRequestBurst = 4.0;
};

} // namespace tanagerstall

#endif
