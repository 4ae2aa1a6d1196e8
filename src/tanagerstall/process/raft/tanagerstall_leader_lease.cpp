#include "tanagerstall/process/raft/tanagerstall_leader_lease.hpp"

namespace tanagerstall {

namespace {

/// Shorter than the election timeout of members that know the leader, so that
/// they can't have elected a successor since the confirmation.
constexpr Duration kConfirmationValidity = std::chrono::milliseconds(500);
/// After a pause, a message from a new leader arrives within this time.
constexpr Duration kSteadyAfter = std::chrono::milliseconds(250);
/// A longer gap between observations means that the process was paused; its
/// time as the leader then counts from zero.
constexpr Duration kMaxObservationGap = std::chrono::milliseconds(400);

} // namespace

LeaderLease::LeaderLease(Duration aLease)
  : lease_(aLease)
{
}

void
LeaderLease::Observe(bool aIsLeader, Term aTerm, TimePoint aNow)
{
  bool isNew =
    !isLeader_ || aTerm != term_ || aNow - observedAt_ > kMaxObservationGap;
  if (aIsLeader && isNew) {
    leaderSince_ = aNow;
    confirmedAt_.reset();
  }
  isLeader_ = aIsLeader;
  term_ = aTerm;
  observedAt_ = aNow;
}

void
LeaderLease::Confirm(Term aTerm, TimePoint aRequestedAt)
{
  if (isLeader_ && aTerm == term_) {
    confirmedAt_ = aRequestedAt;
  }
}

bool
LeaderLease::IsSteadyLeader(TimePoint aNow) const
{
  return isLeader_ && aNow - observedAt_ <= kMaxObservationGap &&
         aNow - leaderSince_ >= kSteadyAfter;
}

std::optional<Term>
LeaderLease::Token(TimePoint aNow) const
{
  bool holds = isLeader_ && aNow - leaderSince_ >= lease_ && confirmedAt_ &&
               aNow - *confirmedAt_ <= kConfirmationValidity &&
               aNow - observedAt_ <= kMaxObservationGap;
  return holds ? std::optional(term_) : std::nullopt;
}

} // namespace tanagerstall
