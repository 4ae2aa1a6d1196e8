#ifndef TANAGERSTALL_LEDGER_HPP_INCLUDED
#define TANAGERSTALL_LEDGER_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace tanagerstall {

/// Bounds on what a ledger keeps; the same on every member of its group.
struct LedgerLimits
{
  std::size_t maxRecords_ = 200'000;
  std::uint64_t maxAnswerBytes_ = 64ULL * 1024 * 1024;
};

/// The replicated state of the ledger group: one record per organisation and
/// idempotency key. A dispatch grant is for one attempt and is given once.
///
/// A record is dropped when its retention has passed since it was answered or
/// withdrawn. Where the answers take too many bytes, the bodies of the oldest
/// are dropped first; their keys stay, so that they never run again. Other
/// records are never dropped.
class Ledger
{
public:
  explicit Ledger(LedgerLimits aLimits = {});

  /// The view of this ledger that a replicated group drives.
  StateMachine AsStateMachine();

  LedgerResult Apply(const LedgerCommand& aCommand);

private:
  using IndexKey = std::pair<std::string, std::string>;
  using Records = std::map<IndexKey, LedgerRecord>;

  Bytes ApplyBytes(BytesView aCommand);
  Bytes Query(BytesView aQuery) const;
  std::vector<LedgerRecord> List(const LedgerFilter& aFilter) const;
  Bytes TakeSnapshot() const;
  void InstallSnapshot(BytesView aSnapshot);

  bool ApplyTo(LedgerRecord& aRecord, const LedgerCommand& aCommand);
  bool Accept(LedgerRecord& aRecord, const LedgerCommand& aCommand);
  bool Grant(LedgerRecord& aRecord, const LedgerCommand& aCommand);
  bool Withdraw(LedgerRecord& aRecord);
  bool Answer(LedgerRecord& aRecord, const RecordedAnswer& aAnswer);

  void AdvanceTime(WallTime aTime);
  void DropExpired();
  void DropOldestAnswerBodies();
  void Index(Records::iterator aPosition);
  void Unindex(Records::iterator aPosition);

  LedgerLimits limits_;
  std::uint64_t lastVersion_ = 0;
  WallTime time_{};
  Records records_;
  /// The records that are neither answered nor withdrawn.
  std::set<IndexKey> open_;
  /// Answered and withdrawn records by the time at which they are dropped,
  /// then by version.
  std::map<std::pair<WallTime, std::uint64_t>, Records::iterator> expiries_;
  /// Records with an answer's body by version: the oldest first.
  std::map<std::uint64_t, Records::iterator> answers_;
  std::uint64_t answerBytes_ = 0;
};

} // namespace tanagerstall

#endif
