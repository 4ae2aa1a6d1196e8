#include "tanagerstall/process/raft/tanagerstall_duty_lease.hpp"

namespace tanagerstall {

namespace {

/// Shorter than any election, so that no successor can have begun.
constexpr Duration kConfirmedFor = std::chrono::milliseconds(500);
/// Long enough to hear of a new leader after a pause.
constexpr Duration kSteady = std::chrono::milliseconds(250);
/// A member that was frozen for longer begins anew.
constexpr Duration kMaxPause = std::chrono::milliseconds(400);

} // namespace

DutyLease::DutyLease(Duration aLease)
  : lease_(aLease)
{
}

void
DutyLease::Observe(bool aLeads, Term aTerm, TimePoint aNow)
{
  bool isNew = !leads_ || aTerm != term_ || aNow - observedAt_ > kMaxPause;
  if (aLeads && isNew) {
    since_ = aNow;
    confirmedAt_.reset();
  }
  leads_ = aLeads;
  term_ = aTerm;
  observedAt_ = aNow;
}

void
DutyLease::Confirm(Term aTerm, TimePoint aAskedAt)
{
  if (leads_ && aTerm == term_) {
    confirmedAt_ = aAskedAt;
  }
}

bool
DutyLease::LeadsSteadily(TimePoint aNow) const
{
  return leads_ && aNow - observedAt_ <= kMaxPause && aNow - since_ >= kSteady;
}

std::optional<Term>
DutyLease::Token(TimePoint aNow) const
{
  bool holds = leads_ && aNow - since_ >= lease_ && confirmedAt_ &&
               aNow - *confirmedAt_ <= kConfirmedFor &&
               aNow - observedAt_ <= kMaxPause;
  return holds ? std::optional(term_) : std::nullopt;
}

} // namespace tanagerstall
