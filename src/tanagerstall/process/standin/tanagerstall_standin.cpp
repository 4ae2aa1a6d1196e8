#include "tanagerstall/process/standin/tanagerstall_standin.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_model.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_work.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_shutdown_signal.hpp"
#include "tanagerstall/request/tanagerstall_announcement.hpp"

#include <atomic>
#include <boost/json.hpp>
#include <future>
#include <map>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
constexpr Duration kHoldOpenPollInterval = std::chrono::milliseconds(20);

/// The runs of one idempotency key at a plain service, and the latest answer.
struct PlainRun
{
  unsigned executions_ = 0;
  std::string answer_;
};

/// A stand-in upstream. Its one traffic thread owns all state that is not
/// atomic.
struct Standin
{
  explicit Standin(StandinSettings aSettings)
    : settings_(std::move(aSettings))
    , threads_(1)
    , work_(settings_.faults_)
    , server_(threads_, {}, [this](HttpExchange& aExchange) {
      Handle(aExchange);
    })
  {
  }

  void Handle(HttpExchange& aExchange)
  {
    const std::string& target = aExchange.Request().target_;
    if (target == "/executions") {
      ReportExecutions(aExchange);
    } else if (target == "/faults") {
      ChangeFaults(aExchange);
    } else if (work_.Faults().refuses_) {
      ++refused_;
      aExchange.Respond(
        WithAnswerHeader(JsonResponse(503, R"({"error":"refused"})")));
    } else {
      work_.AcquireSlot(aExchange.GetFiber());
      Run(aExchange, work_.DrawBreak());
      work_.ReleaseSlot();
    }
  }

  HttpResponse WithAnswerHeader(HttpResponse aResponse)
  {
    const std::string& header = work_.Faults().answerHeader_;
    if (auto colon = header.find(": "); colon != std::string::npos) {
      aResponse.headers_.push_back(
        { header.substr(0, colon), header.substr(colon + 2) });
    }
    return aResponse;
  }

  void Run(HttpExchange& aExchange, StandinBreak aBreak)
  {
    work_.Wait(aExchange.GetFiber(), {});
    if (aExchange.IsCallerDisconnected()) {
      return;
    }
    if (aBreak == StandinBreak::ResetBeforeExecution) {
      aExchange.Abort();
    } else if (settings_.isModel_) {
      RunCompletion(aExchange, aBreak);
    } else {
      RunPlain(aExchange, aBreak);
    }
  }

  /// Reports the runs of each idempotency key and each body, and the numbers of
  /// tokens generated and of requests refused.
  void ReportExecutions(HttpExchange& aExchange)
  {
    json::object keys;
    for (const auto& [key, run] : runs_) {
      keys[key] = run.executions_;
    }
    json::object bodies;
    for (const auto& [body, count] : bodies_) {
      bodies[body] = count;
    }
    json::object report{ { "keys", keys },
                         { "bodies", bodies },
                         { "tokens", tokens_ },
                         { "refused", refused_ } };
    aExchange.Respond(JsonResponse(200, json::serialize(report)));
  }

  void ChangeFaults(HttpExchange& aExchange)
  {
    auto faults =
      ReadStandinFaults(aExchange.Request().body_.Text(), work_.Faults());
    if (!faults) {
      json::object body{ { "error", faults.error() } };
      aExchange.Respond(JsonResponse(400, json::serialize(body)));
      return;
    }
    work_.SetFaults(*faults, clock_.Now());
    aExchange.Respond(JsonResponse(200, "{}"));
  }

  /// Runs a request of a plain service, unless the stand-in deduplicates and
  /// the idempotency key ran before.
  void RunPlain(HttpExchange& aExchange, StandinBreak aBreak)
  {
    const HttpRequest& request = aExchange.Request();
    std::string key(request.Header("Idempotency-Key"));
    PlainRun withoutKey;
    PlainRun& run = key.empty() ? withoutKey : runs_[key];
    if (run.executions_ == 0 || !work_.Faults().deduplicates_) {
      ++run.executions_;
      ++bodies_[request.body_];
      json::object body{ { "method", request.method_ },
                         { "target", request.target_ },
                         { "echo", request.body_.Text() },
                         { "executions", key.empty() ? 0 : run.executions_ } };
      run.answer_ = json::serialize(body);
      work_.WaitForFirstToken(aExchange.GetFiber(), work_.DrawSlowdown());
    }
    SendBody(aExchange, aBreak, run.answer_);
  }

  void RunCompletion(HttpExchange& aExchange, StandinBreak aBreak)
  {
    const HttpRequest& request = aExchange.Request();
    auto completion = ReadStandinCompletion(
      request.target_ == "/v1/chat/completions", request.body_.Text());
    if (!completion) {
      aExchange.Respond(JsonResponse(400, R"({"error":"malformed"})"));
      return;
    }
    ++bodies_[request.body_];
    double slowdown = work_.DrawSlowdown();
    work_.WaitForFirstToken(aExchange.GetFiber(), slowdown);
    if (completion->isStreamed_) {
      StreamTokens(aExchange, aBreak, *completion, slowdown);
    } else {
      SendCompletion(aExchange, aBreak, *completion, slowdown);
    }
  }

  std::string NextToken(Fiber& aFiber,
                        const StandinCompletion& aCompletion,
                        std::int64_t aIndex,
                        double aSlowdown)
  {
    if (aIndex > 0) {
      work_.WaitForToken(aFiber, aSlowdown);
    }
    ++tokens_;
    return StandinToken(aCompletion.prompt_, aCompletion.firstIndex_ + aIndex);
  }

  void StreamTokens(HttpExchange& aExchange,
                    StandinBreak aBreak,
                    const StandinCompletion& aCompletion,
                    double aSlowdown)
  {
    if (BreakBeforeAnswer(aExchange, aBreak)) {
      return;
    }
    aExchange.StartStream(
      { 200, { { "Content-Type", "text/event-stream" } }, "" });
    std::int64_t breakAt = work_.Faults().breakAfterTokens_;
    for (std::int64_t i = 0; i < aCompletion.maxTokens_; ++i) {
      if (i == breakAt && BreakMidAnswer(aExchange, aBreak)) {
        return;
      }
      std::string token =
        NextToken(aExchange.GetFiber(), aCompletion, i, aSlowdown);
      if (!aExchange.WritePart(TokenEvent(aCompletion, token))) {
        return;
      }
    }
    aExchange.WritePart(FinalEvents(aCompletion));
    aExchange.EndStream();
  }

  void SendCompletion(HttpExchange& aExchange,
                      StandinBreak aBreak,
                      const StandinCompletion& aCompletion,
                      double aSlowdown)
  {
    std::string text;
    for (std::int64_t i = 0; i < aCompletion.maxTokens_; ++i) {
      if (aExchange.IsCallerDisconnected()) {
        return;
      }
      text += NextToken(aExchange.GetFiber(), aCompletion, i, aSlowdown);
    }
    SendBody(aExchange, aBreak, CompletionBody(aCompletion, text));
  }

  /// Sends an answer that is not streamed, or breaks it off as given by
  /// `aBreak`.
  void SendBody(HttpExchange& aExchange,
                StandinBreak aBreak,
                const std::string& aBody)
  {
    work_.Wait(aExchange.GetFiber(), work_.Faults().lateAnswer_);
    if (BreakBeforeAnswer(aExchange, aBreak)) {
      return;
    }
    if (aBreak == StandinBreak::None) {
      aExchange.Respond(WithAnswerHeader(JsonResponse(200, aBody)));
      return;
    }
    aExchange.StartStream(
      { 200, { { "Content-Type", "application/json" } }, "" });
    aExchange.WritePart(aBody.substr(0, aBody.size() / 2));
    BreakMidAnswer(aExchange, aBreak);
  }

  /// Returns whether the connection was broken.
  bool BreakBeforeAnswer(HttpExchange& aExchange, StandinBreak aBreak)
  {
    if (aBreak == StandinBreak::ResetAfterExecution) {
      aExchange.Abort();
      return true;
    }
    if (aBreak == StandinBreak::SilentBeforeAnswer) {
      HoldOpen(aExchange);
      return true;
    }
    return false;
  }

  /// Returns whether the connection was broken.
  bool BreakMidAnswer(HttpExchange& aExchange, StandinBreak aBreak)
  {
    if (aBreak == StandinBreak::ResetMidAnswer) {
      aExchange.Abort();
      return true;
    }
    if (aBreak == StandinBreak::SilentMidAnswer) {
      HoldOpen(aExchange);
      return true;
    }
    return false;
  }

  /// Keeps the connection open without sending until the other side closes it
  /// or the stand-in stops.
  void HoldOpen(HttpExchange& aExchange)
  {
    while (!aExchange.IsCallerDisconnected() && !isLeaving_) {
      aExchange.GetFiber().Sleep(kHoldOpenPollInterval);
    }
    aExchange.Abort();
  }

  void AnnounceTo(Fiber& aFiber, const Address& aEntry, UpstreamInfo aInfo)
  {
    HttpRequest request{ "POST",
                         "/v1/upstreams",
                         { { "Content-Type", "application/json" } },
                         WriteAnnouncement(aInfo) };
    if (!settings_.token_.empty()) {
      request.headers_.push_back(
        { "Authorization", "Bearer " + settings_.token_ });
    }
    auto answer =
      FetchHttp(aFiber, aEntry, std::move(request), kAnnounceTimeout);
    if (!answer) {
      LogEvent(Severity::Debug,
               "announcement failed",
               { { "entry", aEntry.ToString() },
                 { "error", answer.error().detail_ } });
    }
  }

  UpstreamInfo NextAnnouncement(bool aIsLeaving)
  {
    UpstreamInfo info = settings_.info_;
    info.sequence_ = ++sequence_;
    info.isLeaving_ = aIsLeaving;
    info.deduplicates_ = work_.Faults().deduplicates_;
    info.reportedLoad_ = work_.ReportLoad(clock_.Now());
    if (work_.Faults().slots_ > 0) {
      info.capacity_ = work_.Faults().slots_;
    }
    return info;
  }

  void AnnouncePeriodically(Fiber& aFiber)
  {
    while (!isLeaving_) {
      UpstreamInfo info = NextAnnouncement(false);
      for (const auto& entry : settings_.entries_) {
        AnnounceTo(aFiber, entry, info);
      }
      aFiber.Sleep(kAnnounceInterval);
    }
  }

  /// Announces that the stand-in leaves, then waits for requests in progress.
  void Drain(Fiber& aFiber)
  {
    isLeaving_ = true;
    UpstreamInfo info = NextAnnouncement(true);
    for (const auto& entry : settings_.entries_) {
      AnnounceTo(aFiber, entry, info);
    }
    while (server_.ActiveExchanges() > 0) {
      aFiber.Sleep(std::chrono::milliseconds(50));
    }
    stopped_.set_value();
  }

  StandinSettings settings_;
  ShutdownSignal signal_;
  TrafficThreads threads_;
  std::atomic<bool> isLeaving_{ false };
  std::atomic<std::uint64_t> sequence_{ 0 };
  std::promise<void> stopped_;
  Clock clock_;
  StandinWork work_;
  std::map<std::string, PlainRun> runs_;
  std::map<std::string, unsigned> bodies_;
  std::uint64_t tokens_ = 0;
  std::uint64_t refused_ = 0;
  HttpServer server_;
};

} // namespace

int
RunStandin(StandinSettings aSettings)
{
  Standin standin(std::move(aSettings));
  auto address = ListenOrLog(standin.server_, standin.settings_.address_);
  if (!address) {
    return 1;
  }
  UpstreamInfo& info = standin.settings_.info_;
  info.address_ = address->ToString();
  info.id_ = info.service_ + "@" + info.address_;
  info.incarnation_ =
    static_cast<std::uint64_t>(ReadWallTime().time_since_epoch().count());
  LogEvent(Severity::Info, "listening", { { "address", info.address_ } });
  standin.threads_.Spawn(
    [&](Fiber& aFiber) { standin.AnnouncePeriodically(aFiber); });
  standin.signal_.Start([&] {
    if (!standin.isLeaving_) {
      standin.threads_.Spawn([&](Fiber& aFiber) { standin.Drain(aFiber); });
    }
  });
  standin.stopped_.get_future().wait();
  standin.threads_.Stop();
  return 0;
}

} // namespace tanagerstall
