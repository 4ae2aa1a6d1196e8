#ifndef TANAGERSTALL_RETRY_BUDGETS_HPP_INCLUDED
#define TANAGERSTALL_RETRY_BUDGETS_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_attempt_budget.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// The retries that an entry may make, by service: its part of those that all
/// entries together may make.
class RetryBudgets
{
public:
  /// Retries per request, and retries beyond that ratio, of all entries.
  RetryBudgets(double aRatio, double aSlack);

  /// Sets the number by which the slack of all entries is divided.
  void SetShareDivisor(std::uint32_t aDivisor);
  void OnRequest(const std::string& aService);
  /// Takes a retry from the budget; false if it is exhausted.
  bool Take(const std::string& aService);

private:
  /// The divisor that is assumed until control reports it.
  static constexpr std::uint32_t kAssumedShareDivisor = 20;

  double Burst() const;
  AttemptBudget& BudgetOf(const std::string& aService);

  double ratio_;
  double slack_;
  std::uint32_t shareDivisor_ = kAssumedShareDivisor;
  std::map<std::string, AttemptBudget> budgets_;
};

} // namespace tanagerstall

#endif
