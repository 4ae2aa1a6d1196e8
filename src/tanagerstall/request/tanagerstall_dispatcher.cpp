#include "tanagerstall/request/tanagerstall_dispatcher.hpp"

namespace tanagerstall {

namespace {

constexpr Duration kProgressTimeout = std::chrono::seconds(10);
/// Interval of periodic decisions; the scheduler requires at most 100 ms.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

} // namespace

void
AcquireCancel::Cancel()
{
  std::function<void()> cancel;
  {
    std::lock_guard lock(mutex_);
    isCancelled_ = true;
    cancel = std::move(cancel_);
    cancel_ = nullptr;
  }
  if (cancel) {
    cancel();
  }
}

Dispatcher::Dispatcher(Clock aClock,
                       SnapshotHook aSnapshot,
                       PolicyOptions aOptions,
                       std::uint64_t aSeed)
  : clock_(std::move(aClock))
  , snapshot_(std::move(aSnapshot))
  , scheduler_(std::move(aOptions), aSeed)
{
}

tl::expected<Dispatch, Refusal>
Dispatcher::Acquire(Fiber& aFiber,
                    const RequestTraits& aTraits,
                    AcquireCancel* aCancel)
{
  auto result = aFiber.Await<std::shared_ptr<Result>>(
    [&](const std::function<void(std::shared_ptr<Result>)>& aResume) {
      Enqueue(aTraits, aCancel, [aResume](Result aResult) {
        aResume(std::make_shared<Result>(std::move(aResult)));
      });
      StartTicking(aFiber);
    });
  if (aCancel != nullptr) {
    std::lock_guard lock(aCancel->mutex_);
    aCancel->cancel_ = nullptr;
  }
  return std::move(*result);
}

void
Dispatcher::Enqueue(const RequestTraits& aTraits,
                    AcquireCancel* aCancel,
                    Completion aCompletion)
{
  std::unique_lock lock(mutex_);
  if (auto configuration = snapshot_()->configuration_) {
    scheduler_.SetRetryRatio(configuration->policy_.retryRatio_);
  }
  std::uint64_t ticket = scheduler_.Enqueue(aTraits, clock_.Now());
  waiting_.emplace(ticket, std::move(aCompletion));
  bool isCancelled = false;
  if (aCancel != nullptr) {
    std::lock_guard cancelLock(aCancel->mutex_);
    isCancelled = aCancel->isCancelled_;
    aCancel->cancel_ = [this, ticket] { Cancel(ticket); };
  }
  if (isCancelled) {
    lock.unlock();
    Cancel(ticket);
  } else {
    DecideAndResume(std::move(lock));
  }
}

void
Dispatcher::Cancel(std::uint64_t aTicket)
{
  Completion completion;
  {
    std::lock_guard lock(mutex_);
    auto it = waiting_.find(aTicket);
    if (it == waiting_.end()) {
      return;
    }
    completion = std::move(it->second);
    waiting_.erase(it);
    scheduler_.Cancel(aTicket);
  }
  completion(tl::make_unexpected(
    Refusal{ RefusalReason::DeadlineTooNear, std::chrono::seconds(1) }));
}

/// Makes all decisions that are due, then resumes their fibers without holding
/// the lock.
void
Dispatcher::DecideAndResume(std::unique_lock<std::mutex> aLock)
{
  std::vector<std::pair<Completion, Result>> decided;
  for (auto& decision : scheduler_.Decide(*snapshot_(), clock_.Now())) {
    auto it = waiting_.find(decision.ticket_);
    decided.emplace_back(std::move(it->second), std::move(decision.result_));
    waiting_.erase(it);
  }
  aLock.unlock();
  for (auto& [completion, result] : decided) {
    completion(std::move(result));
  }
}

void
Dispatcher::OnProgress(const Dispatch& aDispatch, std::uint64_t aTokens)
{
  std::lock_guard lock(mutex_);
  scheduler_.OnProgress(aDispatch.attempt_, aTokens, clock_.Now());
}

void
Dispatcher::Release(const Dispatch& aDispatch, AttemptEnd aEnd)
{
  std::unique_lock lock(mutex_);
  scheduler_.Finish(aDispatch.attempt_, aEnd, clock_.Now());
  DecideAndResume(std::move(lock));
}

Duration
Dispatcher::ProgressTimeout(const Dispatch& /*aDispatch*/) const
{
  return kProgressTimeout;
}

void
Dispatcher::WatchFirstPart(Fiber& aFiber,
                           const Dispatch& aDispatch,
                           std::function<void()> aMove)
{
  auto attempt = aDispatch.attempt_;
  aFiber.Spawn([this, attempt, move = std::move(aMove)](Fiber& aWatch) {
    while (auto timeout = FirstPartTimeout(attempt)) {
      aWatch.Sleep(*timeout);
      if (TakeMove(attempt)) {
        move();
        return;
      }
    }
  });
}

/// How long an attempt may wait for its first part; nothing once it arrived.
std::optional<Duration>
Dispatcher::FirstPartTimeout(std::uint64_t aAttempt) const
{
  std::lock_guard lock(mutex_);
  if (!scheduler_.IsAwaitingFirstPart(aAttempt)) {
    return std::nullopt;
  }
  return scheduler_.ProgressTimeout(aAttempt);
}

bool
Dispatcher::TakeMove(std::uint64_t aAttempt)
{
  auto snapshot = snapshot_();
  std::lock_guard lock(mutex_);
  return scheduler_.IsAwaitingFirstPart(aAttempt) &&
         scheduler_.TakeMove(aAttempt, *snapshot, clock_.Now());
}

bool
Dispatcher::TakeRetry()
{
  std::lock_guard lock(mutex_);
  return scheduler_.TakeRetry();
}

bool
Dispatcher::IsPresent(const Dispatch& aDispatch) const
{
  auto snapshot = snapshot_();
  for (const auto& upstream :
       snapshot->UpstreamsOf(aDispatch.upstream_.service_)) {
    if (upstream.info_->id_ == aDispatch.upstream_.id_) {
      return upstream.presentUntil_ > clock_.Now();
    }
  }
  return false;
}

/// Starts periodic decisions while requests wait, since stalls, deadlines and
/// recovered upstreams cause no events.
void
Dispatcher::StartTicking(Fiber& aFiber)
{
  {
    std::lock_guard lock(mutex_);
    if (isTicking_ || waiting_.empty()) {
      return;
    }
    isTicking_ = true;
  }
  aFiber.Spawn([this](Fiber& aTicker) {
    do {
      aTicker.Sleep(kTickInterval);
    } while (Tick());
  });
}

bool
Dispatcher::Tick()
{
  std::unique_lock lock(mutex_);
  if (waiting_.empty()) {
    isTicking_ = false;
    return false;
  }
  DecideAndResume(std::move(lock));
  return true;
}

} // namespace tanagerstall
