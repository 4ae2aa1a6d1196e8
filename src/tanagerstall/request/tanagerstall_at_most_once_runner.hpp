#ifndef TANAGERSTALL_AT_MOST_ONCE_RUNNER_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_RUNNER_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_at_most_once_attempt.hpp"
#include "tanagerstall/request/tanagerstall_ledger_client.hpp"

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace tanagerstall {

/// One non-idempotent request that runs on this entry.
struct AtMostOnceJob
{
  /// Organisation, key and request to record.
  LedgerCommand accept_;
  RequestTraits traits_;
  HttpRequest upstreamRequest_;
  TimePoint deadline_ = TimePoint::max();
  /// The record of an asynchronous request; empty for a waiting caller.
  std::optional<LedgerRecord> record_;
  std::function<bool()> isCallerDisconnected_ = [] { return false; };
  /// Whether an attempt may be running. Set by the fiber that runs the job.
  bool isSending_ = false;
};

/// Runs at-most-once requests: performs the actions of their state machines and
/// passes the resulting events back.
class AtMostOnceRunner
{
public:
  struct Hooks
  {
    std::function<bool(const std::string& aEntry)> isAlive_;
    std::function<bool()> isDraining_;
  };

  AtMostOnceRunner(std::string aEntry,
                   Clock aClock,
                   Dispatcher& aDispatcher,
                   LedgerClient aLedger,
                   Hooks aHooks);

  /// Runs a job until it has an outcome. If its answer couldn't be recorded in
  /// time, recording continues in the background.
  Finish Run(Fiber& aFiber, AtMostOnceJob& aJob);
  /// The number of unfinished jobs.
  std::size_t Running() const { return running_; }

private:
  Finish RunStateMachine(Fiber& aFiber, AtMostOnceJob& aJob);
  AtMostOnceEvent Perform(Fiber& aFiber,
                          AtMostOnceJob& aJob,
                          AtMostOnceAttempt& aAttempt,
                          const AtMostOnceAction& aAction);
  AtMostOnceEvent LookUpRecord(Fiber& aFiber, const LookUp& aLookUp);
  void RecordLate(Fiber& aFiber, const LedgerCommand& aComplete);

  AtMostOnceRequestSettings settings_;
  Clock clock_;
  Dispatcher& dispatcher_;
  LedgerClient ledger_;
  Hooks hooks_;
  std::atomic<std::size_t> running_{ 0 };
};

} // namespace tanagerstall

#endif
