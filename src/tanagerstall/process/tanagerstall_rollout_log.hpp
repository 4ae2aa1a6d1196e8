#ifndef TANAGERSTALL_ROLLOUT_LOG_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_LOG_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_rollout_controller.hpp"

namespace tanagerstall {

/// Logs a step or the end of a roll-out with the counts that decided.
void
LogRolloutStep(const RolloutStep& aStep);

} // namespace tanagerstall

#endif
