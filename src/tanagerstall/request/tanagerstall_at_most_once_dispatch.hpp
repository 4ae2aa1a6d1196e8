#ifndef TANAGERSTALL_AT_MOST_ONCE_DISPATCH_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_DISPATCH_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_at_most_once_runner.hpp"
#include "tanagerstall/request/tanagerstall_dispatcher.hpp"
#include "tanagerstall/request/tanagerstall_ledger_client.hpp"
#include "tanagerstall/request/tanagerstall_request_recovery.hpp"
#include "tanagerstall/request/tanagerstall_service_call.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace tanagerstall {

/// State of the entry and its settings that at-most-once dispatch depends on.
/// The hooks must be safe to call from any thread.
struct AtMostOnceDispatchHooks
{
  /// Whether an entry, as "id/incarnation", is present.
  std::function<bool(const std::string& aEntry)> isAlive_;
  /// Whether this entry is draining.
  std::function<bool()> isDraining_;
  /// Whether this entry recovers the requests that other entries abandoned.
  std::function<bool()> recoversAbandoned_;
  /// How long answered requests are kept in the ledger.
  std::function<std::chrono::milliseconds()> retention_;
};

/// Forwards non-idempotent requests to upstreams. A request with an idempotency
/// key is recorded and granted in the ledger before any byte of it is sent, so
/// that it runs at most once.
class AtMostOnceDispatch
{
public:
  /// `aEntry` identifies this entry as "id/incarnation".
  AtMostOnceDispatch(std::string aEntry,
                     Clock aClock,
                     Dispatcher& aDispatcher,
                     LedgerClient aLedger,
                     AtMostOnceDispatchHooks aHooks);

  /// Runs the caller's request and responds with its whole answer, or with a
  /// refusal that states whether the request may have run.
  void Forward(HttpExchange& aExchange, const ServiceCall& aCall);
  /// Responds to GET /v1/requests/KEY with the recorded outcome.
  void Fetch(HttpExchange& aExchange, const LedgerLookup& aLookup);
  /// Periodically recovers requests that their entries abandoned. Does not
  /// return.
  void RecoverAbandonedRequests(Fiber& aFiber);
  /// The number of requests with a key that run on this entry, synchronous
  /// and asynchronous.
  std::size_t Running() const { return runner_.Running(); }

private:
  /// A caller that waits for the outcome of its request. Used by the fibers of
  /// one traffic thread, so it needs no lock.
  struct CallerWait
  {
    void End(const Finish& aFinish);

    /// Resumes the caller's fiber; empty once it was called.
    std::function<void(Finish)> done_;
  };

  void ForwardWithoutKey(HttpExchange& aExchange, const ServiceCall& aCall);
  LedgerCommand MakeAccept(const ServiceCall& aCall) const;
  Finish RunForCaller(HttpExchange& aExchange,
                      const std::shared_ptr<AtMostOnceJob>& aJob);
  void WatchDeadline(Fiber& aFiber,
                     const AtMostOnceJob& aJob,
                     CallerWait& aCallerWait) const;
  void RunAsync(Fiber& aFiber, const LedgerLookup& aLookup);
  std::size_t CountAsync() const;
  void RecoverOnce(Fiber& aFiber, RequestRecovery& aRecovery);
  void RecoverRecord(Fiber& aFiber,
                     const LedgerRecord& aRecord,
                     RecoveryAction aAction);

  std::string entry_;
  Clock clock_;
  Dispatcher& dispatcher_;
  LedgerClient ledger_;
  AtMostOnceDispatchHooks hooks_;
  AtMostOnceRunner runner_;
  mutable std::mutex mutex_;
  /// Organisation and key of the asynchronous requests that run on this entry.
  std::set<std::pair<std::string, std::string>> asyncKeys_;
};

} // namespace tanagerstall

#endif
