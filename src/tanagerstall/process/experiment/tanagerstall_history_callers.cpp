#include "tanagerstall/process/experiment/tanagerstall_history_callers.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"

#include <boost/json.hpp>
#include <future>
#include <random>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr Duration kShortTimeout = std::chrono::milliseconds(300);
constexpr Duration kLongTimeout = std::chrono::seconds(5);
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr unsigned kMaxAttempts = 100;
/// An outcome that is still unknown after this many answers is not retried,
/// because only an operator can settle it.
constexpr unsigned kMaxUnknownOutcomes = 3;
/// Out of 10 requests: the number sent twice at once, the number sent
/// asynchronously, and the number whose first attempt has a short timeout.
constexpr unsigned kDuplicated = 2;
constexpr unsigned kAsynchronous = 2;
constexpr unsigned kWithShortTimeout = 2;

ObservedOutcome
OutcomeOf(const HttpResponse& aResponse)
{
  std::string_view text = aResponse.Header("Tanagerstall-Outcome");
  if (text == "answered") {
    return ObservedOutcome::Answered;
  }
  if (text == "not_run") {
    return ObservedOutcome::NotRun;
  }
  return text == "accepted" ? ObservedOutcome::Accepted
                            : ObservedOutcome::Unknown;
}

/// The callers, as fibers of one traffic thread, which owns all state.
class Callers
{
public:
  explicit Callers(const HistorySettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
    , runningFibers_(aSettings.callers_)
    , threads_(1)
  {
  }

  CallerHistory Run()
  {
    for (unsigned i = 0; i < settings_.callers_; ++i) {
      threads_.Spawn([this, i](Fiber& aFiber) { RunCaller(aFiber, i); });
    }
    done_.get_future().wait();
    threads_.Stop();
    return history_;
  }

private:
  void RunCaller(Fiber& aFiber, unsigned aCaller)
  {
    for (unsigned i = 0; i < settings_.requestsPerCaller_; ++i) {
      RunRequest(aFiber,
                 "h" + std::to_string(settings_.seed_) + "-" +
                   std::to_string(aCaller) + "-" + std::to_string(i));
    }
    FinishFiber(aFiber);
  }

  /// Collects the runs from the stand-ins when the last fiber ends.
  void FinishFiber(Fiber& aFiber)
  {
    if (--runningFibers_ == 0) {
      CountExecutions(aFiber);
      done_.set_value();
    }
  }

  void RunRequest(Fiber& aFiber, const std::string& aKey)
  {
    auto kind = random_() % 10;
    if (kind < kDuplicated) {
      ++runningFibers_;
      aFiber.Spawn([this, aKey](Fiber& aDuplicate) {
        Submit(aDuplicate, aKey, kLongTimeout, false);
        FinishFiber(aDuplicate);
      });
    }
    bool isAsynchronous =
      kind >= kDuplicated && kind < kDuplicated + kAsynchronous;
    bool hasShortTimeout = kind >= 10 - kWithShortTimeout;
    Duration timeout = hasShortTimeout ? kShortTimeout : kLongTimeout;
    unsigned unknown = 0;
    for (unsigned i = 0; i < kMaxAttempts; ++i) {
      auto outcome = Submit(aFiber, aKey, timeout, isAsynchronous);
      if (outcome == ObservedOutcome::Answered) {
        return;
      }
      if (outcome == ObservedOutcome::Unknown &&
          ++unknown == kMaxUnknownOutcomes) {
        return;
      }
      timeout = kLongTimeout;
      aFiber.Sleep(kRetryInterval);
    }
  }

  ObservedOutcome Submit(Fiber& aFiber,
                         const std::string& aKey,
                         Duration aTimeout,
                         bool aIsAsynchronous)
  {
    json::object body{ { "order", aKey } };
    HttpRequest request{ "POST",
                         settings_.target_,
                         { { "Authorization", "Bearer " + settings_.token_ },
                           { "Content-Type", "application/json" },
                           { "Idempotency-Key", aKey } },
                         json::serialize(body) };
    if (aIsAsynchronous) {
      request.headers_.push_back({ "Prefer", "respond-async" });
    }
    Submission submission{ aKey, ObservedOutcome::NoAnswer, "", request.body_ };
    const Address& entry =
      settings_.entries_[random_() % settings_.entries_.size()];
    auto response = FetchHttp(aFiber, entry, std::move(request), aTimeout);
    if (response) {
      submission.outcome_ = OutcomeOf(*response);
      submission.answer_ = response->body_;
    }
    history_.submissions_.push_back(submission);
    return submission.outcome_;
  }

  void CountExecutions(Fiber& aFiber)
  {
    std::string prefix = settings_.organisation_ + "/";
    for (const auto& standin : settings_.standins_) {
      auto response = FetchHttp(
        aFiber, standin, { "GET", "/executions", {}, "" }, kLongTimeout);
      if (!response) {
        continue;
      }
      json::value counts = json::parse(response->body_);
      for (const auto& [key, count] : counts.at("keys").as_object()) {
        std::string name(key);
        if (name.starts_with(prefix)) {
          history_.executions_[name.substr(prefix.size())] +=
            count.to_number<unsigned>();
        }
      }
    }
  }

  const HistorySettings& settings_;
  std::mt19937_64 random_;
  unsigned runningFibers_;
  CallerHistory history_;
  std::promise<void> done_;
  TrafficThreads threads_;
};

} // namespace

CallerHistory
RunHistoryCallers(const HistorySettings& aSettings)
{
  return Callers(aSettings).Run();
}

} // namespace tanagerstall
