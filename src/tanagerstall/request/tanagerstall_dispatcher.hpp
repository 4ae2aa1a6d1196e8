#ifndef TANAGERSTALL_DISPATCHER_HPP_INCLUDED
#define TANAGERSTALL_DISPATCHER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace tanagerstall {

/// Cancels a request that waits in Dispatcher::Acquire(). Thread-safe; has no
/// effect after the wait has ended.
class AcquireCancel
{
public:
  void Cancel();

private:
  friend class Dispatcher;

  std::mutex mutex_;
  bool isCancelled_ = false;
  std::function<void()> cancel_;
};

/// Thread-safe interface to the scheduler for fibers, which wait here for a
/// dispatch and report the progress of their attempts.
class Dispatcher
{
public:
  using SnapshotHook = std::function<std::shared_ptr<const RoutingSnapshot>()>;

  /// `aSeed` should differ between entries, so that they make different
  /// choices.
  Dispatcher(Clock aClock,
             SnapshotHook aSnapshot,
             PolicyOptions aOptions = {},
             std::uint64_t aSeed = 1);

  /// Waits until an upstream can take the request or it is refused. If the
  /// caller disconnects, `aCancel` can end the wait with a refusal.
  tl::expected<Dispatch, Refusal> Acquire(Fiber& aFiber,
                                          const RequestTraits& aTraits,
                                          AcquireCancel* aCancel = nullptr);
  /// Records that tokens or body bytes arrived; the first call marks the first
  /// token.
  void OnProgress(const Dispatch& aDispatch, std::uint64_t aTokens);
  /// Ends an attempt; must be called exactly once for each dispatch.
  void Release(const Dispatch& aDispatch, AttemptEnd aEnd);
  /// The time without progress after which an attempt counts as lost.
  Duration ProgressTimeout(const Dispatch& aDispatch) const;
  /// Calls `aMove` when an attempt that waits for its first part should be
  /// moved to another upstream: at most once, on the fiber's thread, and not
  /// after the attempt's release. The move has then been taken from the budget.
  void WatchFirstPart(Fiber& aFiber,
                      const Dispatch& aDispatch,
                      std::function<void()> aMove);
  /// Takes one retry from the budget; false if the budget is spent.
  bool TakeRetry();
  /// Whether the upstream is still present; to be checked right before sending.
  bool IsPresent(const Dispatch& aDispatch) const;

private:
  using Result = tl::expected<Dispatch, Refusal>;
  using Completion = std::function<void(Result)>;

  void Enqueue(const RequestTraits& aTraits,
               AcquireCancel* aCancel,
               Completion aCompletion);
  void Cancel(std::uint64_t aTicket);
  void DecideAndResume(std::unique_lock<std::mutex> aLock);
  void StartTicking(Fiber& aFiber);
  bool Tick();
  std::optional<Duration> FirstPartTimeout(std::uint64_t aAttempt) const;
  bool TakeMove(std::uint64_t aAttempt);

  Clock clock_;
  SnapshotHook snapshot_;
  mutable std::mutex mutex_;
  Scheduler scheduler_;
  std::map<std::uint64_t, Completion> waiting_;
  bool isTicking_ = false;
};

} // namespace tanagerstall

#endif
