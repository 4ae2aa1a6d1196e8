#ifndef TANAGERSTALL_LEADER_LEASE_HPP_INCLUDED
#define TANAGERSTALL_LEADER_LEASE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"

namespace tanagerstall {

/// Decides whether this member may act for the whole cluster. The leader of a
/// term holds the lease once it has led for as long as an earlier holder could
/// have gone on; the term is the fencing token. A plain state machine.
class LeaderLease
{
public:
  explicit LeaderLease(Duration aLease);

  /// Notes whether this member leads now, and in which term.
  void Observe(bool aIsLeader, Term aTerm, TimePoint aNow);
  /// Notes that a quorum confirmed the leader of a term, asked at
  /// `aRequestedAt`.
  void Confirm(Term aTerm, TimePoint aRequestedAt);
  /// Whether this member leads and has done so for a moment without a pause, in
  /// which another one may have been elected.
  bool IsSteadyLeader(TimePoint aNow) const;
  /// The fencing token to act with right now, or nothing.
  std::optional<Term> Token(TimePoint aNow) const;

private:
  Duration lease_;
  bool isLeader_ = false;
  Term term_ = 0;
  TimePoint leaderSince_;
  TimePoint observedAt_;
  std::optional<TimePoint> confirmedAt_;
};

} // namespace tanagerstall

#endif
