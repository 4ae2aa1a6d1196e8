#include "tanagerstall/request/tanagerstall_at_most_once_runner.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

namespace tanagerstall {

namespace {

constexpr Duration kLateRecordInterval = std::chrono::seconds(1);
constexpr unsigned kMaxLateRecordAttempts = 600;
constexpr std::size_t kNonceBytes = 12;

} // namespace

AtMostOnceRunner::AtMostOnceRunner(std::string aEntry,
                                   Clock aClock,
                                   Dispatcher& aDispatcher,
                                   LedgerClient aLedger,
                                   Hooks aHooks)
  : clock_(std::move(aClock))
  , dispatcher_(aDispatcher)
  , ledger_(std::move(aLedger))
  , hooks_(std::move(aHooks))
{
  settings_.entry_ = std::move(aEntry);
}

Finish
AtMostOnceRunner::Run(Fiber& aFiber, AtMostOnceJob& aJob)
{
  struct Count
  {
    explicit Count(std::atomic<std::size_t>& aRunning)
      : running_(aRunning)
    {
      ++running_;
    }
    ~Count() { --running_; }
    Count(const Count&) = delete;
    Count& operator=(const Count&) = delete;

    std::atomic<std::size_t>& running_;
  };
  Count count(running_);
  Finish finish = RunStateMachine(aFiber, aJob);
  if (finish.unrecordedCompletion_) {
    aFiber.Spawn([this, command = *finish.unrecordedCompletion_](
                   Fiber& aRecordFiber) { RecordLate(aRecordFiber, command); });
  }
  return finish;
}

Finish
AtMostOnceRunner::RunStateMachine(Fiber& aFiber, AtMostOnceJob& aJob)
{
  AtMostOnceAttempt attempt(clock_, dispatcher_, aJob.traits_);
  AtMostOnceRequest request(settings_,
                            { [&] { return attempt.IsPresent(); },
                              hooks_.isAlive_,
                              hooks_.isDraining_ },
                            aJob.accept_,
                            RandomHex(kNonceBytes),
                            aJob.deadline_);
  AtMostOnceAction action = aJob.record_
                              ? request.Resume(*aJob.record_, clock_.Now())
                              : request.Start();
  while (!std::holds_alternative<Finish>(action)) {
    AtMostOnceEvent event = Perform(aFiber, aJob, attempt, action);
    if (aJob.isCallerDisconnected_()) {
      request.ExpireDeadline(clock_.Now());
    }
    action = request.On(event, clock_.Now());
  }
  return std::get<Finish>(action);
}

AtMostOnceEvent
AtMostOnceRunner::Perform(Fiber& aFiber,
                          AtMostOnceJob& aJob,
                          AtMostOnceAttempt& aAttempt,
                          const AtMostOnceAction& aAction)
{
  if (const auto* propose = std::get_if<ProposeCommand>(&aAction)) {
    auto result = ledger_.Propose(aFiber, propose->command_);
    return LedgerReply{ result ? std::optional(*result) : std::nullopt };
  }
  if (std::holds_alternative<SendRequest>(aAction)) {
    aJob.isSending_ = true;
    AtMostOnceEvent event = aAttempt.Send(aJob.upstreamRequest_);
    aJob.isSending_ = false;
    return event;
  }
  if (const auto* pause = std::get_if<Pause>(&aAction)) {
    aFiber.Sleep(pause->duration_);
    return PauseEnded{};
  }
  if (const auto* prepare = std::get_if<PrepareUpstream>(&aAction)) {
    return aAttempt.Prepare(aFiber, prepare->requiredUpstream_);
  }
  aAttempt.ReleaseUnsent();
  return LookUpRecord(aFiber, std::get<LookUp>(aAction));
}

AtMostOnceEvent
AtMostOnceRunner::LookUpRecord(Fiber& aFiber, const LookUp& aLookUp)
{
  auto record = ledger_.Find(aFiber, { aLookUp.organisation_, aLookUp.key_ });
  if (!record) {
    return LedgerReply{};
  }
  LedgerResult result;
  result.record_ = record->value_or(LedgerRecord{});
  return LedgerReply{ result };
}

/// Keeps trying to record an answer that the caller has already received. Until
/// it is recorded, other callers with the same key can't get it.
void
AtMostOnceRunner::RecordLate(Fiber& aFiber, const LedgerCommand& aComplete)
{
  for (unsigned i = 0; i < kMaxLateRecordAttempts; ++i) {
    if (ledger_.Propose(aFiber, aComplete)) {
      return;
    }
    aFiber.Sleep(kLateRecordInterval);
  }
  LogEvent(
    Severity::Error,
    "answer not recorded",
    { { "organisation", aComplete.organisation_ }, { "key", aComplete.key_ } });
}

} // namespace tanagerstall
