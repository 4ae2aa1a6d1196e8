#include "tanagerstall/request/tanagerstall_at_most_once_dispatch.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_response.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

constexpr Duration kRecoveryInterval = std::chrono::seconds(1);
constexpr std::uint32_t kRecoveryBatchSize = 500;
constexpr std::size_t kMaxAsyncRequests = 1000;
/// How late a caller may be informed that its deadline has passed.
constexpr Duration kDeadlinePoll = std::chrono::milliseconds(500);

/// Prefixes the idempotency key with the organisation, because two
/// organisations may use the same key at the same upstream.
HttpRequest
ScopeKey(HttpRequest aRequest, const LedgerLookup& aLookup)
{
  for (auto& header : aRequest.headers_) {
    if (EqualsIgnoringCase(header.name_, "Idempotency-Key")) {
      header.value_ = aLookup.organisation_ + "/" + aLookup.key_;
    }
  }
  return aRequest;
}

HttpRequest
RequestOf(const LedgerRecord& aRecord)
{
  HttpRequest request{ aRecord.request_.method_,
                       aRecord.request_.target_,
                       { { "Idempotency-Key", aRecord.key_ } },
                       aRecord.request_.body_ };
  if (!aRecord.request_.contentType_.empty()) {
    request.headers_.push_back(
      { "Content-Type", aRecord.request_.contentType_ });
  }
  return ScopeKey(std::move(request), { aRecord.organisation_, aRecord.key_ });
}

/// Creates the job that runs an asynchronous request from its record.
AtMostOnceJob
JobOf(const LedgerRecord& aRecord)
{
  AtMostOnceJob job;
  job.accept_.organisation_ = aRecord.organisation_;
  job.accept_.key_ = aRecord.key_;
  job.traits_.service_ = aRecord.request_.service_;
  job.traits_.organisation_ = aRecord.organisation_;
  job.upstreamRequest_ = RequestOf(aRecord);
  job.record_ = aRecord;
  return job;
}

HttpResponse
TooManyAsyncResponse()
{
  return RefusalResponse(503,
                         Outcome::NotRun,
                         "too_many_async",
                         "too many requests wait without their callers",
                         std::chrono::seconds(1));
}

LedgerCommand
CommandFor(const LedgerRecord& aRecord, LedgerAction aAction)
{
  LedgerCommand command;
  command.organisation_ = aRecord.organisation_;
  command.key_ = aRecord.key_;
  command.action_ = aAction;
  command.version_ = aRecord.version_;
  return command;
}

} // namespace

AtMostOnceDispatch::AtMostOnceDispatch(std::string aEntry,
                                       Clock aClock,
                                       Dispatcher& aDispatcher,
                                       LedgerClient aLedger,
                                       AtMostOnceDispatchHooks aHooks)
  : entry_(std::move(aEntry))
  , clock_(aClock)
  , dispatcher_(aDispatcher)
  , ledger_(aLedger)
  , hooks_(std::move(aHooks))
  , runner_(entry_,
            aClock,
            aDispatcher,
            aLedger,
            { hooks_.isAlive_, hooks_.isDraining_ })
{
}

LedgerCommand
AtMostOnceDispatch::MakeAccept(const ServiceCall& aCall) const
{
  auto untilDeadline = ToMilliseconds(aCall.traits_.deadline_ - clock_.Now());
  LedgerCommand accept;
  accept.organisation_ = aCall.traits_.organisation_;
  accept.key_ = aCall.idempotencyKey_;
  LedgerRequest& request = accept.request_;
  request.service_ = aCall.service_.name_;
  request.method_ = aCall.upstreamRequest_.method_;
  request.target_ = aCall.upstreamRequest_.target_;
  request.bodyHash_ = Checksum(ViewOf(aCall.upstreamRequest_.body_.Text()));
  request.contentType_ =
    std::string(aCall.upstreamRequest_.Header("Content-Type"));
  request.entry_ = entry_;
  request.isAsync_ = aCall.isAsyncPreferred_;
  request.retention_ = hooks_.retention_();
  if (request.isAsync_) {
    request.body_ = aCall.upstreamRequest_.body_;
  } else {
    request.deadline_ = ReadWallTime() + untilDeadline;
  }
  return accept;
}

void
AtMostOnceDispatch::Forward(HttpExchange& aExchange, const ServiceCall& aCall)
{
  if (aCall.idempotencyKey_.empty()) {
    ForwardWithoutKey(aExchange, aCall);
    return;
  }
  if (aCall.isAsyncPreferred_ && CountAsync() >= kMaxAsyncRequests) {
    aExchange.Respond(TooManyAsyncResponse());
    return;
  }
  LedgerLookup lookup{ aCall.traits_.organisation_, aCall.idempotencyKey_ };
  auto job = std::make_shared<AtMostOnceJob>();
  job->accept_ = MakeAccept(aCall);
  job->traits_ = aCall.traits_;
  job->upstreamRequest_ = ScopeKey(aCall.upstreamRequest_, lookup);
  job->deadline_ = aCall.traits_.deadline_;
  Finish finish = RunForCaller(aExchange, job);
  if (finish.outcome_ == AtMostOnceOutcome::Pending &&
      aCall.isAsyncPreferred_) {
    aExchange.GetFiber().Spawn(
      [this, lookup](Fiber& aFiber) { RunAsync(aFiber, lookup); });
  }
  aExchange.Respond(ResponseTo(finish, aCall.idempotencyKey_));
}

/// Runs a job on its own fiber, so that a running attempt continues until its
/// answer is recorded even if the caller's deadline passes first.
Finish
AtMostOnceDispatch::RunForCaller(HttpExchange& aExchange,
                                 const std::shared_ptr<AtMostOnceJob>& aJob)
{
  auto callerWait = std::make_shared<CallerWait>();
  aJob->isCallerDisconnected_ = [callerWait, &aExchange] {
    return callerWait->done_ && aExchange.IsCallerDisconnected();
  };
  Fiber& fiber = aExchange.GetFiber();
  return fiber.Await<Finish>([&](std::function<void(Finish)> aDone) {
    callerWait->done_ = std::move(aDone);
    fiber.Spawn([this, aJob, callerWait](Fiber& aJobFiber) {
      Finish finish;
      try {
        finish = runner_.Run(aJobFiber, *aJob);
      } catch (const std::exception& error) {
        LogEvent(Severity::Error,
                 "request failed",
                 { { "key", aJob->accept_.key_ }, { "error", error.what() } });
      }
      callerWait->End(finish);
    });
    fiber.Spawn([this, aJob, callerWait](Fiber& aWatchFiber) {
      WatchDeadline(aWatchFiber, *aJob, *callerWait);
    });
  });
}

void
AtMostOnceDispatch::CallerWait::End(const Finish& aFinish)
{
  if (auto done = std::exchange(done_, nullptr)) {
    done(aFinish);
  }
}

/// Ends the caller's wait with an unknown outcome if the deadline passes while
/// an attempt is running. Before an attempt is sent the job ends by itself at
/// the deadline and can report that the request did not run.
void
AtMostOnceDispatch::WatchDeadline(Fiber& aFiber,
                                  const AtMostOnceJob& aJob,
                                  CallerWait& aCallerWait) const
{
  while (aCallerWait.done_ &&
         !(aJob.isSending_ && clock_.Now() >= aJob.deadline_)) {
    auto left = std::max(aJob.deadline_ - clock_.Now(), Duration::zero());
    bool hasExpired = left == Duration::zero();
    aFiber.Sleep(hasExpired ? kDeadlinePoll : std::min(left, kDeadlinePoll));
  }
  aCallerWait.End(Finish{});
}

/// Makes a single attempt without a ledger record: without a key, a repeated
/// request can't be recognised.
void
AtMostOnceDispatch::ForwardWithoutKey(HttpExchange& aExchange,
                                      const ServiceCall& aCall)
{
  AtMostOnceAttempt attempt(clock_, dispatcher_, aCall.traits_);
  AtMostOnceEvent ready = attempt.Prepare(aExchange.GetFiber(), "");
  if (std::holds_alternative<NoUpstream>(ready) || !attempt.IsPresent()) {
    aExchange.Respond(NoUpstreamResponse());
    return;
  }
  AtMostOnceEvent event = attempt.Send(aCall.upstreamRequest_);
  Finish finish;
  if (auto* answered = std::get_if<AttemptAnswered>(&event)) {
    finish = { AtMostOnceOutcome::Answered, answered->answer_, std::nullopt };
  }
  aExchange.Respond(ResponseTo(finish, ""));
}

void
AtMostOnceDispatch::RunAsync(Fiber& aFiber, const LedgerLookup& aLookup)
{
  std::pair<std::string, std::string> key(aLookup.organisation_, aLookup.key_);
  {
    std::lock_guard lock(mutex_);
    if (!asyncKeys_.insert(key).second) {
      return;
    }
  }
  auto record = ledger_.Find(aFiber, aLookup);
  if (record && *record) {
    AtMostOnceJob job = JobOf(**record);
    runner_.Run(aFiber, job);
  }
  std::lock_guard lock(mutex_);
  asyncKeys_.erase(key);
}

std::size_t
AtMostOnceDispatch::CountAsync() const
{
  std::lock_guard lock(mutex_);
  return asyncKeys_.size();
}

void
AtMostOnceDispatch::Fetch(HttpExchange& aExchange, const LedgerLookup& aLookup)
{
  auto record = ledger_.Find(aExchange.GetFiber(), aLookup);
  if (!record) {
    aExchange.Respond(RefusalResponse(503,
                                      Outcome::Unknown,
                                      "ledger_unavailable",
                                      "the outcome can't be read now",
                                      std::chrono::seconds(1)));
  } else if (!*record) {
    aExchange.Respond(RefusalResponse(
      404, Outcome::Unknown, "unknown_request", "no such key is recorded"));
  } else {
    aExchange.Respond(RecordedOutcomeResponse(**record));
  }
}

void
AtMostOnceDispatch::RecoverAbandonedRequests(Fiber& aFiber)
{
  RequestRecovery recovery(hooks_.isAlive_);
  for (;;) {
    if (hooks_.recoversAbandoned_() && !hooks_.isDraining_()) {
      RecoverOnce(aFiber, recovery);
    }
    aFiber.Sleep(kRecoveryInterval);
  }
}

void
AtMostOnceDispatch::RecoverOnce(Fiber& aFiber, RequestRecovery& aRecovery)
{
  for (auto state : { RequestState::Accepted, RequestState::Granted }) {
    auto records = ledger_.List(aFiber, { state, "", kRecoveryBatchSize });
    if (!records) {
      return;
    }
    for (const auto& record : *records) {
      auto action = aRecovery.Decide(record, clock_.Now(), ReadWallTime());
      RecoverRecord(aFiber, record, action);
    }
  }
}

void
AtMostOnceDispatch::RecoverRecord(Fiber& aFiber,
                                  const LedgerRecord& aRecord,
                                  RecoveryAction aAction)
{
  if (aAction == RecoveryAction::None) {
    return;
  }
  if (aAction == RecoveryAction::Run) {
    LedgerLookup lookup{ aRecord.organisation_, aRecord.key_ };
    if (CountAsync() < kMaxAsyncRequests) {
      aFiber.Spawn(
        [this, lookup](Fiber& aJobFiber) { RunAsync(aJobFiber, lookup); });
    }
    return;
  }
  LedgerCommand command =
    CommandFor(aRecord,
               aAction == RecoveryAction::Withdraw ? LedgerAction::Withdraw
                                                   : LedgerAction::MarkUnknown);
  command.reason_ = "the entry " + aRecord.grant_.entry_ + " was lost";
  ledger_.Propose(aFiber, command);
}

} // namespace tanagerstall
