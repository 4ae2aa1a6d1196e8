#ifndef TANAGERSTALL_REQUEST_RECOVERY_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_RECOVERY_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

#include <functional>
#include <map>
#include <string>

namespace tanagerstall {

/// What to do about an unfinished record.
enum class RecoveryAction
{
  None,
  /// Run the request on this entry.
  Run,
  Withdraw,
  MarkUnknown
};

/// Decides which unfinished requests were abandoned by their entry, and what
/// to do about them. Performs no I/O.
class RequestRecovery
{
public:
  using AliveHook = std::function<bool(const std::string& aEntry)>;

  /// `aIsAlive` reports whether an entry, as "id/incarnation", is present.
  explicit RequestRecovery(AliveHook aIsAlive);

  /// `aNow` measures how long an entry has been absent; `aWallNow` is compared
  /// with the times in the record.
  RecoveryAction Decide(const LedgerRecord& aRecord,
                        TimePoint aNow,
                        WallTime aWallNow);

private:
  bool IsLost(const std::string& aEntry, TimePoint aNow);

  AliveHook isAlive_;
  std::map<std::string, TimePoint> absentSince_;
};

} // namespace tanagerstall

#endif
