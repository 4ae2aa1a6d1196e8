#ifndef TANAGERSTALL_RAFT_CHECKER_HPP_INCLUDED
#define TANAGERSTALL_RAFT_CHECKER_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_group.hpp"
#include "tanagerstall_fake_disk.hpp"

#include <algorithm>
#include <set>

namespace tanagerstall {

enum class Step
{
  Propose,
  Append,
  Sync,
  Replicate,
  Commit,
  Apply,
  Answer,
  Snapshot,
  Install,
  MemberChange
};

/// Thrown inside a member's call to crash the member at that point.
struct SimulatedCrash
{
  bool isTorn_ = false;
  bool isDiskLost_ = false;
};

struct SimulatedMember
{
  MemberKey key_ = 0;
  FakeDisk disk_;
  std::map<std::string, std::string> values_;
  std::unique_ptr<RaftGroup> group_;
  bool isFrozen_ = false;
  /// Runs for a quarter of the time.
  bool isSlow_ = false;
  /// Set while the member is suspended, when its clock does not go on.
  std::optional<TimePoint> suspendedAt_;
  /// How far its clock is behind because of suspensions.
  Duration clockLag_{ 0 };
  /// Handles messages but never starts an election.
  bool isElectionDisabled_ = false;
  bool isFlushDue_ = false;
  std::vector<std::function<void()>> inbox_;
  LogIndex checkedCommit_ = 0;
  LogIndex checkedLast_ = 0;
  Term ledTerm_ = 0;
};

/// Checks Raft's safety invariants: at most one leader per term, logs match at
/// the same index and term, and committed entries are never replaced.
class SafetyChecker
{
public:
  std::vector<std::string> violations_;

  /// Checks a member; returns whether its commit index has advanced.
  bool Check(SimulatedMember& aMember)
  {
    const Raft& core = aMember.group_->Core();
    CheckLog(aMember, core.Log());
    bool hasCommitted = core.CommitIndex() > aMember.checkedCommit_;
    while (aMember.checkedCommit_ < core.CommitIndex()) {
      LogIndex index = ++aMember.checkedCommit_;
      auto term = core.Log().TermAt(index);
      if (term && index > core.Log().BaseIndex()) {
        auto [it, isNew] = committed_.emplace(index, *term);
        if (it->second != *term) {
          AddViolation(
            aMember, "two different entries were committed at the same index");
        }
      }
    }
    if (core.Role() == RaftRole::Leader &&
        aMember.ledTerm_ != core.CurrentTerm()) {
      aMember.ledTerm_ = core.CurrentTerm();
      CheckNewLeader(aMember, core);
    }
    return hasCommitted;
  }

private:
  void AddViolation(const SimulatedMember& aMember, const std::string& aWhat)
  {
    violations_.push_back("member " + std::to_string(aMember.key_) + ": " +
                          aWhat);
  }

  /// Checks that entries of the same index and term are equal in all logs.
  void CheckLog(SimulatedMember& aMember, const RaftLog& aLog)
  {
    LogIndex from = std::min(aMember.checkedLast_, aLog.LastIndex());
    from = std::max(aLog.BaseIndex(), from - std::min<LogIndex>(from, 8));
    for (LogIndex index = from + 1; index <= aLog.LastIndex(); ++index) {
      const LogEntry& entry = aLog.At(index);
      auto [it, isNew] =
        entries_.emplace(std::pair(index, entry.term_), entry.command_);
      if (it->second != entry.command_) {
        AddViolation(aMember, "logs differ at the same index and term");
      }
    }
    aMember.checkedLast_ = aLog.LastIndex();
  }

  void CheckNewLeader(SimulatedMember& aMember, const Raft& aCore)
  {
    auto [it, isNew] = leaders_.emplace(aCore.CurrentTerm(), aMember.key_);
    if (it->second != aMember.key_) {
      AddViolation(aMember, "two leaders in one term");
    }
    if (aCore.CurrentTerm() < leaders_.rbegin()->first) {
      return;
    }
    for (const auto& [index, term] : committed_) {
      if (index > aCore.Log().BaseIndex() &&
          aCore.Log().TermAt(index) != term) {
        AddViolation(aMember, "a new leader lacks a committed entry");
        return;
      }
    }
  }

  std::map<Term, MemberKey> leaders_;
  std::map<LogIndex, Term> committed_;
  std::map<std::pair<LogIndex, Term>, Bytes> entries_;
};

} // namespace tanagerstall

#endif
