#ifndef TANAGERSTALL_ATTEMPT_BUDGET_HPP_INCLUDED
#define TANAGERSTALL_ATTEMPT_BUDGET_HPP_INCLUDED

namespace tanagerstall {

/// Extra attempts, earned by first attempts. Their number never exceeds the
/// ratio of requests by more than a fixed burst, so retries can't amplify an
/// overload.
class AttemptBudget
{
public:
  static constexpr double kDefaultBurst = 10;

  /// `aBurst`: attempts that may be saved up.
  explicit AttemptBudget(double aRatio, double aBurst = kDefaultBurst);

  void SetRatio(double aRatio) { ratio_ = aRatio; }
  void SetBurst(double aBurst) { burst_ = aBurst; }
  /// Earns for one request.
  void OnRequest();
  /// Takes one extra attempt; false when the budget is spent.
  bool Take();

private:
  double ratio_;
  double burst_;
  double tokens_;
};

} // namespace tanagerstall

#endif
