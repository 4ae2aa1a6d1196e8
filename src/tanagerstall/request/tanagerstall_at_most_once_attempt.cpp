#include "tanagerstall/request/tanagerstall_at_most_once_attempt.hpp"

namespace tanagerstall {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kSendTimeout = std::chrono::seconds(5);
constexpr Duration kProgressTimeout = std::chrono::seconds(30);
constexpr std::uint64_t kMaxAnswerBytes = 4ULL * 1024 * 1024;
constexpr unsigned kMaxAcquisitions = 8;
/// How long one call of Acquire waits for a slot if the request has no
/// deadline.
constexpr Duration kAcquireTimeout = std::chrono::seconds(60);

} // namespace

AtMostOnceAttempt::AtMostOnceAttempt(Clock aClock,
                                     Dispatcher& aDispatcher,
                                     RequestTraits aTraits)
  : clock_(std::move(aClock))
  , dispatcher_(aDispatcher)
  , traits_(std::move(aTraits))
{
}

AtMostOnceAttempt::~AtMostOnceAttempt()
{
  ReleaseUnsent();
}

AtMostOnceEvent
AtMostOnceAttempt::Prepare(Fiber& aFiber, const std::string& aRequiredUpstream)
{
  ReleaseUnsent();
  if (!Acquire(aFiber, aRequiredUpstream)) {
    return NoUpstream{};
  }
  const UpstreamInfo& upstream = dispatch_->upstream_;
  auto address = ParseAddress(upstream.address_);
  auto connection =
    address ? HttpConnection::Connect(aFiber, *address, kConnectTimeout)
            : tl::make_unexpected(
                TransportError{ TransportFault::ConnectFailed, "no address" });
  if (!connection) {
    traits_.avoid_.push_back(upstream.id_);
    End(AttemptEnd::NeverSent);
    return NoUpstream{};
  }
  connection_ = std::move(*connection);
  return UpstreamReady{ upstream.id_,
                        upstream.incarnation_,
                        upstream.deduplicates_ };
}

/// Acquires a slot. The scheduler can't be asked for a certain upstream, so the
/// others are added to the list to avoid until it chooses the required one, at
/// most `kMaxAcquisitions` times.
bool
AtMostOnceAttempt::Acquire(Fiber& aFiber, const std::string& aRequiredUpstream)
{
  RequestTraits traits = traits_;
  if (traits.deadline_ == TimePoint::max()) {
    traits.deadline_ = clock_.Now() + kAcquireTimeout;
  }
  if (!aRequiredUpstream.empty()) {
    traits.avoid_.clear();
  }
  for (unsigned i = 0; i < kMaxAcquisitions; ++i) {
    auto dispatch = dispatcher_.Acquire(aFiber, traits);
    if (!dispatch) {
      traits_.avoid_.clear();
      return false;
    }
    if (aRequiredUpstream.empty() ||
        dispatch->upstream_.id_ == aRequiredUpstream) {
      dispatch_ = std::move(*dispatch);
      return true;
    }
    dispatcher_.Release(*dispatch, AttemptEnd::NeverSent);
    traits.avoid_.push_back(dispatch->upstream_.id_);
  }
  return false;
}

AtMostOnceEvent
AtMostOnceAttempt::Send(const HttpRequest& aRequest)
{
  auto sent = connection_->Send(aRequest, kSendTimeout);
  auto answer =
    sent
      ? connection_->ReadWhole({ kProgressTimeout }, kMaxAnswerBytes)
      : HttpConnection::Result<HttpResponse>(tl::make_unexpected(sent.error()));
  connection_.reset();
  End(answer ? AttemptEnd::Completed : AttemptEnd::Failed);
  if (!answer) {
    return AttemptLost{ ToString(answer.error().fault_) };
  }
  return AttemptAnswered{ { answer->status_,
                            std::string(answer->Header("Content-Type")),
                            std::move(answer->body_) } };
}

void
AtMostOnceAttempt::ReleaseUnsent()
{
  connection_.reset();
  if (dispatch_) {
    End(AttemptEnd::NeverSent);
  }
}

void
AtMostOnceAttempt::End(AttemptEnd aEnd)
{
  dispatcher_.Release(*dispatch_, aEnd);
  dispatch_.reset();
}

bool
AtMostOnceAttempt::IsPresent() const
{
  return dispatch_ && dispatcher_.IsPresent(*dispatch_);
}

} // namespace tanagerstall
