#include "tanagerstall/request/tanagerstall_forward_attempt.hpp"

#include <algorithm>
#include <charconv>

namespace tanagerstall {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/// The maximum idle time of a pooled connection for a request that can't be
/// retried. A replica may have closed a connection that was idle for longer,
/// and the request would be lost on it.
constexpr Duration kMaxNonIdempotentIdle = std::chrono::seconds(3);
constexpr std::uint64_t kMaxAnswerBytes = 16ULL << 20U;
/// The number of response heads that are read in search of the one that
/// belongs to the request. Interim responses and, on a pooled connection, late
/// responses to earlier requests can precede it.
constexpr int kMaxResponseHeads = 3;
constexpr int kMisdirected = 421;
/// The first status that reports a failure of the server.
constexpr int kServerError = 500;
/// Limits for the body of a response that is discarded to keep the connection.
constexpr std::size_t kMaxSkippedBytes = 64UL << 10U;
constexpr Duration kMaxSkipTime = std::chrono::milliseconds(200);
/// An event that is longer counts as bytes that never end.
constexpr std::size_t kMaxEventBytes = 1UL << 20U;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

AttemptResult
MakeAbandoned(bool aIsSent)
{
  AttemptResult result;
  result.outcome_ = AttemptOutcome::Abandoned;
  result.isSent_ = aIsSent;
  return result;
}

AttemptResult
MakeWithdrawn(const char* aReason)
{
  AttemptResult result;
  result.outcome_ = AttemptOutcome::Withdrawn;
  result.detail_ = aReason;
  return result;
}

/// Returns the length that a response declares; 0 if it declares none.
std::uint64_t
DeclaredLength(const HttpResponse& aHead)
{
  std::string_view text = aHead.Header("Content-Length");
  std::uint64_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

/// Returns the id of a server-sent event, or "" if it has none.
std::string_view
EventIdOf(std::string_view aEvent)
{
  std::size_t begin = 0;
  while (begin < aEvent.size()) {
    auto end = std::min(aEvent.find('\n', begin), aEvent.size());
    std::string_view line = aEvent.substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      return line.starts_with(' ') ? line.substr(1) : line;
    }
    begin = end + 1;
  }
  return {};
}

} // namespace

bool
AttemptResult::MayHaveRun() const
{
  switch (outcome_) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::Failed:
    case AttemptOutcome::Broken:
      return true;
    case AttemptOutcome::Abandoned:
      return isSent_;
    case AttemptOutcome::Refused:
    case AttemptOutcome::Misdirected:
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Withdrawn:
      return false;
  }
  return true;
}

ForwardAttempt::ForwardAttempt(ForwardResources aResources,
                               HttpExchange& aExchange,
                               ForwardedRequest& aRequest,
                               Hooks aHooks)
  : resources_(std::move(aResources))
  , exchange_(aExchange)
  , request_(aRequest)
  , hooks_(std::move(aHooks))
{
}

Duration
ForwardAttempt::RemainingTime() const
{
  return std::max<Duration>(request_.deadline_ - resources_.clock_.Now(),
                            std::chrono::milliseconds(1));
}

AttemptResult
ForwardAttempt::MakeFailure(const TransportError& aError, bool aIsSent) const
{
  AttemptResult result;
  result.isSent_ = aIsSent;
  result.detail_ = std::string(ToString(aError.fault_)) + ": " + aError.detail_;
  result.isLate_ = resources_.clock_.Now() >= request_.deadline_;
  if (aError.fault_ == TransportFault::Cancelled || result.isLate_) {
    result.outcome_ = AttemptOutcome::Abandoned;
  } else if (!aIsSent) {
    result.outcome_ = AttemptOutcome::Unreachable;
  } else {
    result.isConnectionLost_ = aError.fault_ == TransportFault::ConnectionLost;
  }
  return result;
}

tl::expected<ConnectionPool::Lease, TransportError>
ForwardAttempt::Open(const Replica& aReplica)
{
  Duration maxIdle =
    request_.route_->IsIdempotent() ? Duration::max() : kMaxNonIdempotentIdle;
  if (auto kept = resources_.pool_.TakeIdle(
        exchange_.GetFiber(), aReplica.id_, maxIdle)) {
    return std::move(*kept);
  }
  auto address = ParseAddress(aReplica.address_);
  if (!address) {
    return tl::make_unexpected(TransportError{ TransportFault::ConnectFailed,
                                               address.error().message_ });
  }
  return resources_.pool_.Connect(
    exchange_.GetFiber(),
    *address,
    std::min<Duration>(kConnectTimeout, RemainingTime()));
}

/// Whether a response belongs to the request. A response without a request id
/// is assumed to on a new connection. On a kept one it may be a late copy of an
/// earlier response, so that its id has to match.
bool
ForwardAttempt::IsForThisRequest(const HttpResponse& aHead,
                                 bool aIsReused) const
{
  std::string_view id = aHead.Header(resources_.protocol_.requestId_);
  return id == request_.id_ || (id.empty() && !aIsReused);
}

/// Waits for the next part of the body, until the deadline. A body whose parts
/// arrive without a pause ends there as well.
HttpConnection::Result<std::optional<std::string>>
ForwardAttempt::ReadBodyPart()
{
  if (resources_.clock_.Now() >= request_.deadline_) {
    return tl::make_unexpected(
      TransportError{ TransportFault::Timeout, "the deadline has passed" });
  }
  return connection_->ReadBody(RemainingTime());
}

/// Reads the response body to its end and discards it. Fails if that takes too
/// long; the connection can't be reused then.
HttpConnection::Result<void>
ForwardAttempt::SkipBody()
{
  TimePoint end = resources_.clock_.Now() + kMaxSkipTime;
  std::size_t skipped = 0;
  while (skipped <= kMaxSkippedBytes && resources_.clock_.Now() < end) {
    auto part =
      connection_->ReadBody(std::min<Duration>(kMaxSkipTime, RemainingTime()));
    if (!part) {
      return tl::make_unexpected(part.error());
    }
    if (!*part) {
      return {};
    }
    skipped += (*part)->size();
  }
  return tl::make_unexpected(TransportError{
    TransportFault::TooLarge, "the body to discard is too large" });
}

/// Passes on what the replica says of itself, also in a late response to
/// another request.
ReplicaNotice
ForwardAttempt::ReadNotice(const HttpResponse& aHead)
{
  if (!resources_.protocol_.readNotice_) {
    return {};
  }
  ReplicaNotice notice = resources_.protocol_.readNotice_(aHead);
  isLeaving_ = isLeaving_ || notice.isLeaving_;
  if (!notice.IsEmpty()) {
    hooks_.onNotice_(notice);
  }
  return notice;
}

/// Reads the head of the response to this request and skips the responses that
/// precede it: interim ones, and on a pooled connection late ones to earlier
/// requests.
HttpConnection::Result<HttpResponse>
ForwardAttempt::ReadMatchingHead(bool aIsReused)
{
  for (int i = 0; i < kMaxResponseHeads; ++i) {
    auto head = connection_->ReadHead(RemainingTime());
    if (!head) {
      return head;
    }
    ReplicaNotice notice = ReadNotice(*head);
    bool isInterim = head->IsInterim();
    if (!isInterim && IsForThisRequest(*head, aIsReused)) {
      hooks_.onOwnNotice_(notice, sentAt_);
      return head;
    }
    if (!isInterim && !aIsReused) {
      break;
    }
    if (auto skipped = SkipBody(); !skipped) {
      return tl::make_unexpected(skipped.error());
    }
  }
  return tl::make_unexpected(TransportError{
    TransportFault::Malformed, "the answer belongs to another request" });
}

AttemptResult
ForwardAttempt::Run(const Replica& aReplica, bool aReturnsFailures)
{
  replicaId_ = aReplica.id_;
  replicaVersion_ = aReplica.version_;
  MemoryBudget::Part held(
    resources_.memory_, MemoryBudget::Holder::Upstream, aReplica.id_);
  if (!held.Resize(exchange_.Request().body_.size())) {
    return MakeWithdrawn("requests to the replica hold too much memory");
  }
  auto lease = Open(aReplica);
  if (!lease) {
    return MakeFailure(lease.error(), false);
  }
  if (exchange_.DetectCallerDisconnect()) {
    resources_.pool_.Keep(
      aReplica.id_, std::move(lease->connection_), std::chrono::seconds(1));
    return MakeAbandoned(false);
  }
  if (isStopped_ || !hooks_.maySend_()) {
    return MakeWithdrawn("the replica takes no requests any more");
  }
  connection_ = lease->connection_.get();
  exchange_.OnCallerDisconnect([this] { connection_->Cancel(); });
  ++request_.sends_;
  sentAt_ = resources_.clock_.Now();
  connection_->StartSend(MakeUpstreamRequest(exchange_.Request(),
                                             request_,
                                             aReplica,
                                             resources_.protocol_,
                                             resources_.clock_.Now()),
                         RemainingTime());
  auto head = ReadMatchingHead(lease->isReused_);
  bool hasHead = head.has_value();
  Duration keepFor = head ? KeepAliveTimeOf(*head) : Duration::zero();
  AttemptResult result = head
                           ? HandleResponse(std::move(*head), aReturnsFailures)
                           : MakeFailure(head.error(), true);
  result.hasHead_ = hasHead;
  result.begunAt_ = begunAt_;
  exchange_.OnCallerDisconnect(nullptr);
  if (connection_->IsReusable() && !isLeaving_) {
    resources_.pool_.Keep(aReplica.id_, std::move(lease->connection_), keepFor);
  }
  connection_ = nullptr;
  return result;
}

void
ForwardAttempt::Stop()
{
  isStopped_ = true;
  if (connection_ != nullptr) {
    connection_->Cancel();
  }
}

/// Relays a response to the caller unless its head states that the request has
/// not run or shows that the response can't be trusted. Without that statement
/// the replica may have run the request, whatever its status.
AttemptResult
ForwardAttempt::HandleResponse(HttpResponse aHead, bool aReturnsFailures)
{
  bool isGood = IsSuccess(aHead.status_);
  if (aHead.status_ == kMisdirected ||
      !aHead.Header(resources_.protocol_.notRun_).empty()) {
    // An error here can be ignored: the request has not run either way, and a
    // connection whose body was not read to its end is not reused.
    (void)SkipBody();
    AttemptResult result;
    result.outcome_ = aHead.status_ == kMisdirected
                        ? AttemptOutcome::Misdirected
                        : AttemptOutcome::Refused;
    result.isSent_ = true;
    result.detail_ = "status " + std::to_string(aHead.status_);
    return result;
  }
  if (isGood && aHead.Header(resources_.protocol_.seal_).empty()) {
    AttemptResult result;
    result.isSent_ = true;
    result.detail_ = "an answer without a seal";
    return result;
  }
  if (isGood && request_.route_->kind_ == RequestKind::Stream) {
    return RelayStream(aHead);
  }
  return RelayWholeBody(std::move(aHead), aReturnsFailures);
}

AttemptResult
ForwardAttempt::RelayWholeBody(HttpResponse aHead, bool aReturnsFailures)
{
  BufferBudget::Share buffered(resources_.buffers_, replicaId_);
  // Without this the body would be held twice whenever it outgrows its buffer.
  aHead.body_.reserve(std::min(DeclaredLength(aHead), kMaxAnswerBytes));
  while (true) {
    auto part = ReadBodyPart();
    if (!part) {
      return MakeFailure(part.error(), true);
    }
    if (!*part) {
      break;
    }
    aHead.body_ += **part;
    if (aHead.body_.size() > kMaxAnswerBytes ||
        !buffered.Take((*part)->size())) {
      return MakeFailure(
        { TransportFault::TooLarge, "the answer is too large" }, true);
    }
  }
  hooks_.onFirstPart_();
  AttemptResult result;
  result.outcome_ = AttemptOutcome::Answered;
  result.isSent_ = true;
  result.isServerError_ = aHead.status_ >= kServerError;
  result.isSuccess_ = IsSuccess(aHead.status_);
  int status = aHead.status_;
  if (exchange_.HasStarted()) {
    // The caller has part of a stream already, and the replica that should
    // resume it did not return a stream.
    result.outcome_ = AttemptOutcome::Broken;
    result.detail_ = "status " + std::to_string(status);
    return result;
  }
  auto response = MakeCallerResponse(std::move(aHead), *request_.route_);
  if (!response) {
    result.detail_ =
      "status " + std::to_string(status) + " after the request may have run";
  } else if (aReturnsFailures && result.isServerError_) {
    result.failure_ = std::move(response);
  } else {
    exchange_.Respond(*response);
    result.isRelayed_ = true;
  }
  return result;
}

void
ForwardAttempt::StartStream(const HttpResponse& aHead)
{
  request_.streamVersion_ = replicaVersion_;
  hooks_.onFirstPart_();
  request_.streamType_ = aHead.Header("Content-Type");
  exchange_.StartStream(MakeCallerResponse(aHead, *request_.route_).value());
}

/// Relays the complete events among the bytes. Returns false if the caller has
/// disconnected.
bool
ForwardAttempt::RelayEvents(const HttpResponse& aHead, std::string_view aBytes)
{
  for (const auto& event : events_.Feed(aBytes)) {
    if (!exchange_.HasStarted()) {
      StartStream(aHead);
    }
    if (!exchange_.WritePart(event)) {
      return false;
    }
    TimePoint now = resources_.clock_.Now();
    begunAt_ = begunAt_.value_or(now);
    hooks_.onEvent_(now - *begunAt_);
    if (request_.lastPartAt_ != TimePoint()) {
      request_.longestGap_ =
        std::max(request_.longestGap_, now - request_.lastPartAt_);
    }
    request_.lastPartAt_ = now;
    if (auto id = EventIdOf(event); !id.empty()) {
      request_.lastEventId_ = id;
    }
  }
  return true;
}

AttemptResult
ForwardAttempt::RelayStream(const HttpResponse& aHead)
{
  BufferBudget::Share buffered(resources_.buffers_, replicaId_);
  std::size_t mostBuffered = 0;
  if (exchange_.HasStarted() &&
      aHead.Header("Content-Type") != request_.streamType_) {
    AttemptResult result;
    result.isSent_ = true;
    result.detail_ = "an answer that doesn't continue the stream";
    return result;
  }
  while (true) {
    auto part = ReadBodyPart();
    if (!part) {
      return MakeFailure(part.error(), true);
    }
    if (!*part) {
      break;
    }
    if (!RelayEvents(aHead, **part)) {
      return MakeAbandoned(true);
    }
    std::size_t partial = events_.PartialBytes();
    bool isBuffered =
      partial <= mostBuffered || buffered.Take(partial - mostBuffered);
    mostBuffered = std::max(mostBuffered, partial);
    if (partial > kMaxEventBytes || !isBuffered) {
      return MakeFailure({ TransportFault::TooLarge, "an event doesn't end" },
                         true);
    }
  }
  if (events_.PartialBytes() > 0) {
    return MakeFailure(
      { TransportFault::ConnectionLost, "the last event is incomplete" }, true);
  }
  if (!begunAt_ && connection_->EndsWithConnection()) {
    // A replica that crashed looks the same as one that has nothing to say.
    return MakeFailure(
      { TransportFault::ConnectionLost, "the stream has no event" }, true);
  }
  if (!exchange_.HasStarted()) {
    StartStream(aHead);
  }
  exchange_.EndStream();
  AttemptResult result;
  result.outcome_ = AttemptOutcome::Answered;
  result.isSent_ = true;
  result.isRelayed_ = true;
  result.isSuccess_ = true;
  return result;
}

} // namespace tanagerstall
