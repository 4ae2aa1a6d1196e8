#ifndef TANAGERSTALL_REQUEST_RECOVERY_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_RECOVERY_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

#include <functional>
#include <map>
#include <string>

namespace tanagerstall {

/// What is to be done about a record that nobody carries on.
enum class RecoveryAction
{
  None,
  /// Run it here.
  Run,
  Withdraw,
  MarkUnknown
};

/// Finds the records whose entry has died. A plain state machine.
class RequestRecovery
{
public:
  using AliveHook = std::function<bool(const std::string& aEntry)>;

  explicit RequestRecovery(AliveHook aIsAlive);

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
