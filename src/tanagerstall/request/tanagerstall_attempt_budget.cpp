#include "tanagerstall/request/tanagerstall_attempt_budget.hpp"

#include <algorithm>

namespace tanagerstall {

AttemptBudget::AttemptBudget(double aRatio, double aBurst)
  : ratio_(aRatio)
  , burst_(aBurst)
  , tokens_(aBurst)
{
}

void
AttemptBudget::OnRequest()
{
  tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool
AttemptBudget::Take()
{
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

} // namespace tanagerstall
