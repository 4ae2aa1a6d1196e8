#ifndef TANAGERSTALL_DISPATCHER_HPP_INCLUDED
#define TANAGERSTALL_DISPATCHER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace tanagerstall {

/// Takes a request that still waits for a place out of the queue. Safe from
/// any thread, also after the wait has ended.
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

/// The scheduler as fibers use it: waits for a place, tells it of progress.
/// Safe from any thread.
class Dispatcher
{
public:
  using SnapshotHook = std::function<std::shared_ptr<const RoutingSnapshot>()>;

  /// Entries should differ in `aSeed`, so that they don't choose alike.
  Dispatcher(Clock aClock,
             SnapshotHook aSnapshot,
             PolicyOptions aOptions = {},
             std::uint64_t aSeed = 1);

  /// Waits until an upstream may take the request, or gives the refusal. The
  /// caller's going away is told through `aCancel`, which ends the wait with
  /// a refusal.
  tl::expected<Dispatch, Refusal> Acquire(Fiber& aFiber,
                                          const RequestTraits& aTraits,
                                          AcquireCancel* aCancel = nullptr);
  /// Tells of tokens or body bytes that arrived; the first call is the first
  /// token.
  void OnProgress(const Dispatch& aDispatch, std::uint64_t aTokens);
  /// Ends an attempt. Exactly once for each.
  void Release(const Dispatch& aDispatch, AttemptEnd aEnd);
  /// How long an attempt may make no progress before it counts as lost.
  Duration ProgressTimeout(const Dispatch& aDispatch) const;
  /// Calls `aMove` when an attempt that waits for its first part should be
  /// given up for one elsewhere: at most once, on the fiber's thread, and not
  /// after the attempt's release. The move is then taken from the budget.
  void WatchFirstPart(Fiber& aFiber,
                      const Dispatch& aDispatch,
                      std::function<void()> aMove);
  /// Takes one retry from the budget; false when it is spent.
  bool TakeRetry();
  /// Whether the upstream may still get new work; asked right before sending.
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
