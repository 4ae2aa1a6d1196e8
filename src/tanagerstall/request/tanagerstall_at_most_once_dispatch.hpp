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

/// What non-idempotent dispatch asks of the entry around it; safe to call
/// from any thread.
struct AtMostOnceDispatchHooks
{
  /// Whether an entry, as "id/incarnation", is heard of.
  std::function<bool(const std::string& aEntry)> isAlive_;
  /// Whether this entry is draining.
  std::function<bool()> isDraining_;
  /// Whether this entry looks after the records of lost entries.
  std::function<bool()> recoversAbandoned_;
  /// How long answers are kept.
  std::function<std::chrono::milliseconds()> retention_;
};

/// Carries non-idempotent requests to upstreams: each is recorded and granted
/// in the ledger before a byte of it is sent, and runs at most once.
class AtMostOnceDispatch
{
public:
  /// `aEntry` is this entry as "id/incarnation".
  AtMostOnceDispatch(std::string aEntry,
                     Clock aClock,
                     Dispatcher& aDispatcher,
                     LedgerClient aLedger,
                     AtMostOnceDispatchHooks aHooks);

  /// Answers one exchange, whole or with a truthful refusal.
  void Forward(HttpExchange& aExchange, const ServiceCall& aCall);
  /// Answers GET /v1/requests/KEY for an organisation.
  void Fetch(HttpExchange& aExchange, const LedgerLookup& aLookup);
  /// Looks after the records of lost entries, from now on.
  void RecoverAbandonedRequests(Fiber& aFiber);
  /// Requests with a key that this entry carries, with a caller or without.
  std::size_t Running() const { return runner_.Running(); }

private:
  /// A caller that waits for the end of its request. Of one traffic thread.
  struct CallerWait
  {
    void End(const Finish& aFinish);

    /// Empty once the caller has its response.
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
  /// The keys of requests that run here without a caller.
  std::set<std::pair<std::string, std::string>> asyncKeys_;
};

} // namespace tanagerstall

#endif
