#include "tanagerstall/request/tanagerstall_request_recovery.hpp"

namespace tanagerstall {

namespace {

/// How long an entry must be absent before its requests are recovered.
constexpr Duration kEntryAbsenceTimeout = std::chrono::seconds(10);
/// Time after the caller's deadline in which the request's own entry still
/// ends it; recovery acts only afterwards.
constexpr std::chrono::milliseconds kDeadlineGrace = std::chrono::minutes(2);
/// An asynchronous request that remains without a grant for this long is run
/// again.
constexpr std::chrono::milliseconds kIdleTimeout = std::chrono::seconds(30);

bool
IsLongOverdue(const LedgerRecord& aRecord, WallTime aWallNow)
{
  WallTime deadline = aRecord.request_.deadline_;
  return deadline != WallTime{} && aWallNow > deadline + kDeadlineGrace;
}

} // namespace

RequestRecovery::RequestRecovery(AliveHook aIsAlive)
  : isAlive_(std::move(aIsAlive))
{
}

RecoveryAction
RequestRecovery::Decide(const LedgerRecord& aRecord,
                        TimePoint aNow,
                        WallTime aWallNow)
{
  const LedgerRequest& request = aRecord.request_;
  if (aRecord.state_ == RequestState::Accepted && request.isAsync_) {
    bool isIdle = aWallNow > aRecord.changedAt_ + kIdleTimeout;
    return isIdle || IsLost(request.entry_, aNow) ? RecoveryAction::Run
                                                  : RecoveryAction::None;
  }
  if (aRecord.state_ == RequestState::Accepted) {
    return IsLongOverdue(aRecord, aWallNow) ? RecoveryAction::Withdraw
                                            : RecoveryAction::None;
  }
  if (aRecord.state_ == RequestState::Granted) {
    return IsLost(aRecord.grant_.entry_, aNow) ||
               IsLongOverdue(aRecord, aWallNow)
             ? RecoveryAction::MarkUnknown
             : RecoveryAction::None;
  }
  return RecoveryAction::None;
}

bool
RequestRecovery::IsLost(const std::string& aEntry, TimePoint aNow)
{
  if (isAlive_(aEntry)) {
    absentSince_.erase(aEntry);
    return false;
  }
  auto since = absentSince_.try_emplace(aEntry, aNow).first->second;
  return aNow - since >= kEntryAbsenceTimeout;
}

} // namespace tanagerstall
