#include "tanagerstall/process/presence/tanagerstall_leave_recorder.hpp"

#include <utility>

namespace tanagerstall {

namespace {

/// A leader that is lost may hold a proposal for longer than callers wait.
constexpr Duration kMaxProposalTime = std::chrono::milliseconds(300);

} // namespace

LeaveRecorder::LeaveRecorder(ProposeHook aPropose)
  : propose_(std::move(aPropose))
{
}

void
LeaveRecorder::Record(const Replica& aReplica, TimePoint aNow)
{
  waiting_.push_back(aReplica);
  Tick(aNow);
}

void
LeaveRecorder::Tick(TimePoint aNow)
{
  if (waiting_.empty() || aNow < pendingUntil_) {
    return;
  }
  pendingUntil_ = aNow + kMaxProposalTime;
  propose_(std::exchange(waiting_, {}),
           [this, number = ++number_](TimePoint aDoneAt) {
             OnProposed(number, aDoneAt);
           });
}

void
LeaveRecorder::OnProposed(std::uint64_t aNumber, TimePoint aNow)
{
  if (aNumber == number_) {
    pendingUntil_ = aNow;
    Tick(aNow);
  }
}

} // namespace tanagerstall
