#include "tanagerstall/request/tanagerstall_retry_budgets.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// An entry uses less than its full share of the slack, because one time window
/// can contain both the retries that an entry saved up and the initial budget
/// of the entry after a restart.
constexpr double kSlackShare = 0.7;

} // namespace

RetryBudgets::RetryBudgets(double aRatio, double aSlack)
  : ratio_(aRatio)
  , slack_(aSlack)
{
}

double
RetryBudgets::Burst() const
{
  return kSlackShare * slack_ / shareDivisor_;
}

AttemptBudget&
RetryBudgets::BudgetOf(const std::string& aService)
{
  return budgets_.try_emplace(aService, ratio_, Burst()).first->second;
}

void
RetryBudgets::SetShareDivisor(std::uint32_t aDivisor)
{
  shareDivisor_ = std::max(aDivisor, 1U);
  for (auto& [service, budget] : budgets_) {
    budget.SetBurst(Burst());
  }
}

void
RetryBudgets::OnRequest(const std::string& aService)
{
  BudgetOf(aService).OnRequest();
}

bool
RetryBudgets::Take(const std::string& aService)
{
  return BudgetOf(aService).Take();
}

} // namespace tanagerstall
