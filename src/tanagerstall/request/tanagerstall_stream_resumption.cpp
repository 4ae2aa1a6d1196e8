#include "tanagerstall/request/tanagerstall_stream_resumption.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <utility>

namespace tanagerstall {

namespace {

/// The streams that an entry remembers.
constexpr std::size_t kMaxStreams = 1UL << 15U;
/// The longest wait for the leader. The entry at which the stream began reports
/// it within this time.
constexpr Duration kMaxWait = std::chrono::milliseconds(400);
constexpr Duration kAskInterval = std::chrono::milliseconds(60);
constexpr Duration kPollInterval = std::chrono::milliseconds(15);

bool
IsServiceOf(const Route& aRoute, const std::string& aService)
{
  return std::any_of(
    aRoute.services_.begin(), aRoute.services_.end(), [&](const auto& aIt) {
      return aIt.service_ == aService && aIt.weight_ > 0;
    });
}

} // namespace

StreamResumption::StreamResumption(Clock aClock,
                                   std::function<void()> aAskLeader)
  : clock_(std::move(aClock))
  , askLeader_(std::move(aAskLeader))
  , directory_(kMaxStreams)
{
}

bool
StreamResumption::Prepare(HttpExchange& aExchange,
                          const CallerProtocol& aProtocol,
                          ForwardedRequest& aRequest)
{
  const HttpRequest& http = aExchange.Request();
  bool isResumption = aRequest.route_->kind_ == RequestKind::Stream &&
                      aRequest.route_->isResumable_ &&
                      !http.Header(kLastEventId).empty();
  if (!isResumption) {
    return true;
  }
  std::string_view begunBy = http.Header(aProtocol.resumedRequest_);
  // A request that names no other one is certain only where one version is.
  StreamKey stream = StreamKeyOf(begunBy.empty() ? aRequest.id_ : begunBy);
  auto origin = Await(aExchange, stream, aRequest.service_);
  if (!origin || !IsServiceOf(*aRequest.route_, origin->service_)) {
    return false;
  }
  aRequest.service_ = origin->service_;
  aRequest.streamVersion_ = origin->version_;
  LogEvent(
    Severity::Info,
    "stream resumed",
    { { "request", aRequest.id_ },
      { "resumes", begunBy },
      { "service", origin->service_ },
      { "version", origin->version_ },
      { "waited_ms", WholeMilliseconds(clock_.Now() - aRequest.arrivedAt_) } });
  return true;
}

std::optional<StreamOrigin>
StreamResumption::Await(HttpExchange& aExchange,
                        StreamKey aStream,
                        const std::string& aService)
{
  TimePoint begin = clock_.Now();
  TimePoint askAt = begin;
  while (true) {
    TimePoint now = clock_.Now();
    auto origin = directory_.Find(aStream);
    if (origin || now - begin >= kMaxWait || aExchange.IsCallerDisconnected()) {
      wanted_.erase(aStream);
      return origin;
    }
    if (now >= askAt) {
      askAt = now + kAskInterval;
      wanted_[aStream] = { aService, begin };
      askLeader_();
    }
    aExchange.GetFiber().Sleep(kPollInterval);
  }
}

void
StreamResumption::RecordStart(const ForwardedRequest& aRequest)
{
  if (aRequest.route_->isResumable_ && aRequest.streamVersion_) {
    directory_.Record(StreamKeyOf(aRequest.id_),
                      { aRequest.service_, *aRequest.streamVersion_ },
                      clock_.Now());
  }
}

StreamGroups
StreamResumption::Wanted() const
{
  TimePoint now = clock_.Now();
  StreamGroups wanted;
  for (const auto& [stream, resumed] : wanted_) {
    wanted.push_back(
      { { resumed.service_, "" }, { stream }, now - resumed.at_ });
  }
  return wanted;
}

void
StreamResumption::Adopt(const StreamGroups& aFound)
{
  directory_.Adopt(aFound, clock_.Now());
}

} // namespace tanagerstall
