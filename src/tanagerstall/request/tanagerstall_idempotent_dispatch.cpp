#include "tanagerstall/request/tanagerstall_idempotent_dispatch.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/request/tanagerstall_answer_relay.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <algorithm>
#include <utility>

namespace tanagerstall {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kSendTimeout = std::chrono::seconds(5);
/// The maximum number of attempts that reach an upstream.
constexpr unsigned kMaxSentAttempts = 4;
/// The maximum number of attempts, including those that did not reach an
/// upstream.
constexpr unsigned kMaxTotalAttempts = 10;
constexpr Duration kFirstReusePause = std::chrono::milliseconds(50);
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// The result of one attempt.
enum class AttemptStatus
{
  /// The caller has received the whole answer.
  Answered,
  /// The upstream refused the request without running it.
  Refused,
  /// The connection failed or the upstream stalled.
  Lost,
  /// Connecting failed, so nothing was sent.
  Unreachable,
  /// The upstream had left or has no valid address; no connection was tried.
  NeverSent
};

bool
HasReachedUpstream(AttemptStatus aResult)
{
  return aResult != AttemptStatus::NeverSent &&
         aResult != AttemptStatus::Unreachable;
}

struct AttemptReport
{
  AttemptStatus status_;
  std::string reason_;
};

AttemptEnd
ToEnd(const AttemptReport& aReport, bool aIsCallerGone)
{
  if (aReport.status_ == AttemptStatus::Answered) {
    return AttemptEnd::Completed;
  }
  if (aIsCallerGone) {
    return AttemptEnd::Cancelled;
  }
  return aReport.status_ == AttemptStatus::NeverSent ? AttemptEnd::NeverSent
                                                     : AttemptEnd::Failed;
}

/// Runs the attempts of one request.
class IdempotentRequest
{
public:
  IdempotentRequest(const Clock& aClock,
                    Dispatcher& aDispatcher,
                    const DispatchObserver& aObserver,
                    HttpExchange& aExchange,
                    ServiceCall aCall)
    : clock_(aClock)
    , dispatcher_(aDispatcher)
    , observer_(aObserver)
    , exchange_(aExchange)
    , call_(std::move(aCall))
    , relay_(aExchange, call_)
  {
  }

  void Run()
  {
    startedAt_ = clock_.Now();
    TryAttempts();
    if (hasAnswered_) {
      observer_.onMeasurement_(
        call_, Measure::Whole, clock_.Now() - startedAt_);
    }
  }

private:
  void TryAttempts()
  {
    while (sentAttempts_ < kMaxSentAttempts &&
           totalAttempts_ < kMaxTotalAttempts) {
      auto dispatch = Acquire();
      if (!dispatch) {
        if (!exchange_.IsCallerDisconnected()) {
          Refuse(dispatch.error());
        }
        return;
      }
      if (totalAttempts_ == 0) {
        observer_.onMeasurement_(
          call_, Measure::Waiting, clock_.Now() - startedAt_);
      }
      PauseBeforeReuse(dispatch->upstream_.id_);
      AttemptReport report = RunAttempt(*dispatch);
      dispatcher_.Release(*dispatch,
                          ToEnd(report, exchange_.IsCallerDisconnected()));
      hasAnswered_ = report.status_ == AttemptStatus::Answered;
      if (hasAnswered_ || exchange_.IsCallerDisconnected()) {
        return;
      }
      lastReason_ = report.reason_;
      call_.traits_.avoid_.push_back(dispatch->upstream_.id_);
      if (!TakeRetry(report)) {
        break;
      }
    }
    GiveUp();
  }

  /// Returns `aBound`, or the time left until the deadline if that is shorter;
  /// at least 1 ms.
  Duration LimitToDeadline(Duration aBound) const
  {
    Duration left = call_.traits_.deadline_ - clock_.Now();
    return std::clamp(left, Duration(std::chrono::milliseconds(1)), aBound);
  }

  bool IsOutOfTime() const { return clock_.Now() >= call_.traits_.deadline_; }

  /// Waits in the scheduler's queue for an upstream. The request leaves the
  /// queue if its caller disconnects.
  tl::expected<Dispatch, Refusal> Acquire()
  {
    AcquireCancel cancel;
    exchange_.OnCallerDisconnect([&cancel] { cancel.Cancel(); });
    auto dispatch =
      dispatcher_.Acquire(exchange_.GetFiber(), call_.traits_, &cancel);
    exchange_.OnCallerDisconnect(nullptr);
    return dispatch;
  }

  /// Sleeps before an upstream is retried that an earlier attempt has used.
  /// Gives it time to recover instead of spending all attempts at once.
  void PauseBeforeReuse(const std::string& aUpstream)
  {
    const auto& used = call_.traits_.avoid_;
    if (std::find(used.begin(), used.end(), aUpstream) != used.end()) {
      exchange_.GetFiber().Sleep(LimitToDeadline(reusePause_));
      reusePause_ *= 2;
    }
  }

  AttemptReport RunAttempt(const Dispatch& aDispatch)
  {
    ++totalAttempts_;
    auto address = ParseAddress(aDispatch.upstream_.address_);
    if (!address || !dispatcher_.IsPresent(aDispatch)) {
      return { AttemptStatus::NeverSent, "upstream is leaving" };
    }
    auto connection = HttpConnection::Connect(
      exchange_.GetFiber(), *address, LimitToDeadline(kConnectTimeout));
    if (!connection) {
      return { AttemptStatus::Unreachable,
               ToString(connection.error().fault_) };
    }
    if (exchange_.DetectCallerDisconnect()) {
      return { AttemptStatus::NeverSent, "caller left" };
    }
    HttpConnection& upstream = **connection;
    exchange_.OnCallerDisconnect([&upstream] { upstream.Cancel(); });
    bool isModel = call_.service_.protocol_ == ServiceProtocol::Model;
    if (isModel && sentAttempts_ + 1 < kMaxSentAttempts) {
      dispatcher_.WatchFirstPart(exchange_.GetFiber(), aDispatch, [&] {
        isMoved_ = true;
        upstream.Cancel();
      });
    }
    AttemptReport report = Exchange(upstream, aDispatch);
    exchange_.OnCallerDisconnect(nullptr);
    return report;
  }

  /// Sends the request on an open connection and relays the answer.
  AttemptReport Exchange(HttpConnection& aUpstream, const Dispatch& aDispatch)
  {
    hasSent_ = true;
    ++sentAttempts_;
    auto sent = aUpstream.Send(relay_.NextRequest(aDispatch.priority_),
                               LimitToDeadline(kSendTimeout));
    if (!sent) {
      return EndLostAttempt(sent.error());
    }
    Duration headTimeout = dispatcher_.ProgressTimeout(aDispatch);
    auto head = aUpstream.ReadFinalHead(LimitToDeadline(headTimeout));
    if (!head) {
      return EndLostAttempt(head.error());
    }
    if (head->status_ == kTooManyRequests || head->status_ == kUnavailable) {
      return { AttemptStatus::Refused, "upstream refused" };
    }
    relay_.OnHead(std::move(*head));
    for (;;) {
      auto part = aUpstream.ReadBody(
        LimitToDeadline(dispatcher_.ProgressTimeout(aDispatch)));
      if (!part) {
        return EndLostAttempt(part.error());
      }
      if (!*part) {
        break;
      }
      std::uint64_t before = relay_.GeneratedTokens();
      bool isUsable = relay_.OnBodyPart(**part);
      RecordProgress(aDispatch, relay_.GeneratedTokens() - before);
      if (!isUsable) {
        return EndLostAttempt(
          { TransportFault::Malformed, "answer of no use" });
      }
    }
    if (relay_.Finish()) {
      return { AttemptStatus::Answered, "" };
    }
    return { AttemptStatus::Lost, "answer ended early" };
  }

  /// Reports the arrival of a part to the dispatcher and the observer. A part
  /// without parsed tokens counts as one token.
  void RecordProgress(const Dispatch& aDispatch, std::uint64_t aTokens)
  {
    dispatcher_.OnProgress(aDispatch, std::max<std::uint64_t>(aTokens, 1));
    TimePoint now = clock_.Now();
    if (!hasProgress_) {
      observer_.onMeasurement_(call_, Measure::FirstToken, now - startedAt_);
    } else if (aTokens > 0) {
      observer_.onMeasurement_(
        call_, Measure::BetweenTokens, now - progressAt_);
    }
    hasProgress_ = true;
    progressAt_ = now;
  }

  /// Ends a lost attempt. It still counts as answered if the relay could
  /// complete the answer without another attempt.
  AttemptReport EndLostAttempt(const TransportError& aError)
  {
    if (!exchange_.IsCallerDisconnected() && relay_.OnAttemptLost()) {
      return { AttemptStatus::Answered, "" };
    }
    return { AttemptStatus::Lost, ToString(aError.fault_) };
  }

  /// Returns whether the request may be retried, and if so takes the retry
  /// from the budget and reports it.
  bool TakeRetry(const AttemptReport& aReport)
  {
    if (IsOutOfTime() || !relay_.CanRetry()) {
      return false;
    }
    // An attempt that reached no upstream put no load on one, and a move to
    // another upstream was taken from the budget already.
    bool isFree =
      !HasReachedUpstream(aReport.status_) || std::exchange(isMoved_, false);
    if (!isFree && !dispatcher_.TakeRetry()) {
      return false;
    }
    bool hasRun = aReport.status_ == AttemptStatus::Lost;
    observer_.onRetry_(call_,
                       { aReport.reason_,
                         call_.traits_.avoid_.back(),
                         relay_.HasGenerated(),
                         hasRun ? relay_.TokensToRecompute() : 0 });
    return true;
  }

  void Refuse(const Refusal& aRefusal)
  {
    if (hasSent_ || relay_.HasStarted()) {
      GiveUp();
      return;
    }
    observer_.onRefusal_(call_, ToString(aRefusal.reason_));
    exchange_.Respond(ResponseTo(aRefusal));
  }

  /// Ends a request whose attempts all failed. If anything was sent, the
  /// request may have run. An answer that has started is aborted, so that the
  /// caller can't mistake it for a complete one.
  void GiveUp()
  {
    std::string reason = IsOutOfTime() ? "deadline passed" : lastReason_;
    observer_.onRefusal_(call_, reason);
    if (exchange_.HasStarted()) {
      exchange_.Abort();
    } else if (!hasSent_) {
      exchange_.Respond(NoUpstreamResponse());
    } else {
      exchange_.Respond(
        RefusalResponse(IsOutOfTime() ? 504 : 502,
                        Outcome::Unknown,
                        "attempts_failed",
                        "no attempt gave a whole answer: " + reason,
                        std::chrono::seconds(1)));
    }
  }

  const Clock& clock_;
  Dispatcher& dispatcher_;
  const DispatchObserver& observer_;
  HttpExchange& exchange_;
  ServiceCall call_;
  AnswerRelay relay_;
  TimePoint startedAt_;
  TimePoint progressAt_;
  bool hasProgress_ = false;
  bool hasAnswered_ = false;
  bool hasSent_ = false;
  /// Whether the current attempt was cancelled in favour of another upstream.
  bool isMoved_ = false;
  unsigned sentAttempts_ = 0;
  unsigned totalAttempts_ = 0;
  Duration reusePause_ = kFirstReusePause;
  std::string lastReason_;
};

} // namespace

IdempotentDispatch::IdempotentDispatch(Clock aClock,
                                       Dispatcher& aDispatcher,
                                       DispatchObserver aObserver)
  : clock_(std::move(aClock))
  , dispatcher_(aDispatcher)
  , observer_(std::move(aObserver))
{
}

void
IdempotentDispatch::Forward(HttpExchange& aExchange, ServiceCall aCall)
{
  IdempotentRequest(clock_, dispatcher_, observer_, aExchange, std::move(aCall))
    .Run();
}

} // namespace tanagerstall
