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

/// Size limits of a ledger. Every member of a group must use the same limits,
/// because they decide which records are refused or dropped.
struct LedgerLimits
{
  std::size_t maxRecords_ = 200'000;
  std::uint64_t maxAnswerBytes_ = 64ULL * 1024 * 1024;
};

/// The replicated state machine of the ledger group. It holds one record per
/// organisation and idempotency key, and issues each dispatch grant once, for
/// one attempt.
///
/// A record is removed when its retention has passed since it was answered or
/// withdrawn. If the stored answers exceed `maxAnswerBytes_`, the oldest bodies
/// are dropped; their keys stay, so that these requests never run again.
/// Records in any other state are never removed.
class Ledger
{
public:
  explicit Ledger(LedgerLimits aLimits = {});

  /// The interface through which a replicated group uses this ledger, which
  /// must outlive it.
  StateMachine AsStateMachine();

  /// Applies a committed command and returns the record after it.
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
  /// Keys of the records that are neither answered nor withdrawn.
  std::set<IndexKey> open_;
  /// Answered and withdrawn records, ordered by the time at which they are
  /// removed and then by version.
  std::map<std::pair<WallTime, std::uint64_t>, Records::iterator> expiries_;
  /// Records that hold an answer body, ordered by version (oldest first).
  std::map<std::uint64_t, Records::iterator> answers_;
  std::uint64_t answerBytes_ = 0;
};

} // namespace tanagerstall

#endif
