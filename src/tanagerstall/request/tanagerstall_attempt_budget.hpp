#ifndef TANAGERSTALL_ATTEMPT_BUDGET_HPP_INCLUDED
#define TANAGERSTALL_ATTEMPT_BUDGET_HPP_INCLUDED

namespace tanagerstall {

/// Token bucket for extra attempts (retries and moves), refilled by requests.
/// Their number never exceeds `ratio * requests` by more than a fixed burst, so
/// retries can't amplify an overload.
class AttemptBudget
{
public:
  static constexpr double kDefaultBurst = 10;

  /// `aRatio` is the number of extra attempts per request and `aBurst` the
  /// largest number that can be saved up.
  explicit AttemptBudget(double aRatio, double aBurst = kDefaultBurst);

  void SetRatio(double aRatio) { ratio_ = aRatio; }
  void SetBurst(double aBurst) { burst_ = aBurst; }
  /// Refills the budget for one new request.
  void OnRequest();
  /// Takes one extra attempt; false if the budget is spent.
  bool Take();

private:
  double ratio_;
  double burst_;
  double tokens_;
};

} // namespace tanagerstall

#endif
