#ifndef TANAGERSTALL_LEADER_LEASE_HPP_INCLUDED
#define TANAGERSTALL_LEADER_LEASE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"

namespace tanagerstall {

/// Decides whether this member may run the leader tasks. A leader holds the
/// lease once it has led for a whole lease time, by when an earlier holder must
/// have stopped; its term is the fencing token. Performs no input or output.
class LeaderLease
{
public:
  explicit LeaderLease(Duration aLease);

  /// Records whether this member is the leader now, and in which term.
  void Observe(bool aIsLeader, Term aTerm, TimePoint aNow);
  /// Records that a quorum confirmed the leader of a term, in reply to a
  /// request sent at `aRequestedAt`.
  void Confirm(Term aTerm, TimePoint aRequestedAt);
  /// Returns whether this member has been the leader for a short time without
  /// an interruption in which another one may have been elected.
  bool IsSteadyLeader(TimePoint aNow) const;
  /// Returns the fencing token if this member holds the lease at `aNow`.
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
